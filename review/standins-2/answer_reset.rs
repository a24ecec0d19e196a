//! Clients that read slowly send a further safe request before they have read the answer to their first
//! one. The daemon that wrote this answer got SIGTERM.

#[path = "rig.rs"]
#[allow(dead_code)]
mod rig;

use rig::*;
use std::{
    io::{Read, Write},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Sizes of the answers and sockets of the clients, one for each client.
const SIZES: [(usize, Socket); 12] = [
    (8_000, Socket::Small),
    (9_000, Socket::Small),
    (12_000, Socket::Small),
    (16_000, Socket::Small),
    (20_000, Socket::Small),
    (24_000, Socket::Small),
    (30_000, Socket::Small),
    (36_000, Socket::Small),
    (400_000, Socket::Plain),
    (700_000, Socket::Plain),
    (1_000_000, Socket::Plain),
    (1_500_000, Socket::Plain),
];

/// Socket of a client: with a receive buffer of 4 kB and the segment size of an ordinary network, or as
/// the system makes it.
#[derive(Clone, Copy)]
enum Socket {
    Small,
    Plain,
}

/// How a client reads: at most this much each 20 ms.
const PIECE: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(20);

/// Body of the answer to the small requests.
const SMALL: usize = 400;

/// Only the first requests are judged: the daemon does not read the second ones, and a client sends them
/// again.
fn main() {
    let record = Record::new();
    guard(&record);
    let folder = folder();
    let ports = Ports::free(4);
    let store = Store::start(ports.at(0, ports.store));
    let behaviour: Behaviour = Arc::new(|request: &Message| {
        let size = request.path().strip_prefix("/docs/").and_then(|text| text.parse().ok());
        Plan {
            work: Duration::from_millis(if size.is_some() { 300 } else { 200 }),
            body: size.unwrap_or(SMALL),
            ..Plan::default()
        }
    });
    let mut upstreams = Vec::new();
    for (machine, service) in [(1, "docvault"), (2, "docvault"), (3, "gateboard")] {
        let (id, zone) = (format!("i-{machine}"), format!("z{machine}"));
        let behaviour = Arc::clone(&behaviour);
        let upstream = Upstream::start(&record, service, &id, &zone, &ports, machine, 64, behaviour);
        upstream.keep_published(&store);
        upstreams.push(upstream);
    }
    let routes = [
        route("manual-fetch", "/docs/", "download", 5.0, &[("docvault", "1")], 2),
        route("manual-index", "/index/", "safe", 5.0, &[("docvault", "1")], 2),
    ];
    store.put("op/config", &config(3, &routes, &["docvault", "gateboard"]));
    let daemons: Vec<_> = [(1, "docvault"), (2, "docvault"), (3, "gateboard")]
        .map(|(machine, service)| {
            let zone = format!("z{machine}");
            Daemon::start(&record, &folder, &ports, machine, &zone, service, &[1, 2, 3])
        })
        .into();
    wait_ready(&record, &daemons, Duration::from_secs(15));
    thread::sleep(Duration::from_secs(1));
    let entry = Arc::clone(&daemons[2]);
    let (_, warm) = ask(&record, entry.outbound(), "GET", "/index/warm", 4_000, b"");
    if !warm.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200)) {
        cannot_run(&record, "no service before the disruption");
    }
    let clients: Vec<_> = SIZES
        .map(|(size, socket)| {
            let (record, address) = (Arc::clone(&record), entry.outbound());
            thread::spawn(move || play_client(&record, address, size, socket))
        })
        .into();
    thread::sleep(Duration::from_millis(100));
    if has_trouble() {
        entry.signal(SIGTERM, "SIGTERM");
    }
    let mut lost = 0;
    for client in clients {
        for (attempt, is_answered) in client.join().expect("client") {
            let runs: Vec<Arrival> =
                upstreams.iter().flat_map(|upstream| upstream.runs(&attempt)).collect();
            for run in &runs {
                record.say(format!(
                    "{attempt} was passed on to {} at {:.3} and {} there at {:.3}; whole answer at the \
                     client: {is_answered}",
                    run.instance,
                    run.at,
                    run.end.map_or("is at work", |end| end.1),
                    run.end.map_or(record.now(), |end| end.0),
                ));
            }
            let is_answer_lost = runs.iter().any(|run| run.end.is_some_and(|end| end.1 == "answered"));
            lost += u32::from(!is_answered && is_answer_lost);
        }
    }
    record.say(if lost > 0 {
        format!("BROKEN (LOST): {lost} answers of upstreams did not reach their clients whole")
    } else {
        "HELD".to_owned()
    });
    finish(&record, i32::from(lost > 0));
}

/// Sends two requests before it reads; returns them, and whether each got its whole answer.
fn play_client(
    record: &Record,
    address: std::net::SocketAddr,
    size: usize,
    socket: Socket,
) -> Vec<(String, bool)> {
    let (first, second) = (next_attempt(), next_attempt());
    let stream = match socket {
        Socket::Small => connect_slowly(address, 4 << 10, 1_448),
        Socket::Plain => std::net::TcpStream::connect(address),
    };
    let Ok(mut stream) = stream else {
        cannot_run(record, "cannot connect");
    };
    let path = format!("/docs/{size}");
    let _ = stream.write_all(&request("GET", &path, &first, 5_000, b""));
    record.say(format!("client sends {first}: GET {path}"));
    thread::sleep(Duration::from_millis(1_800));
    let result = stream.write_all(&request("GET", "/index/x", &second, 4_000, b""));
    record.say(format!(
        "client sends {second}: GET /index/x, behind {first}, of whose answer it has read nothing ({})",
        if result.is_ok() { "sent" } else { "failed" }
    ));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let until = Instant::now() + Duration::from_millis(4_400);
    let mut received = Vec::new();
    let mut end = "still open";
    while Instant::now() < until && !received.ends_with(&body_of(&second, SMALL)) {
        let mut bytes = vec![0; PIECE];
        match stream.read(&mut bytes) {
            Ok(0) => {
                end = "closed by the daemon";
                break;
            }
            Ok(count) => received.extend_from_slice(&bytes[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => {
                end = "reset by the daemon";
                break;
            }
        }
        thread::sleep(PAUSE);
    }
    let head = find(&received, b"\r\n\r\n").map_or(0, |end| end + 4);
    let closes = String::from_utf8_lossy(&received[..head]).contains("Connection: close");
    let is_first_whole = received.len() >= head + size;
    let is_second_whole = received.ends_with(&body_of(&second, SMALL));
    record.say(format!(
        "client: {} bytes, the connection is {end}; {first} whole: {is_first_whole} (with Connection: \
         close: {closes}), {second} whole: {is_second_whole}",
        received.len()
    ));
    vec![(first, is_first_whole), (second, is_second_whole)]
}
