//! Clients send a further safe request before they have read the answers to their first ones. The daemon
//! that took them gets SIGTERM.

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

/// First requests of each client: how many, the size of their answers, and its socket. How much of the
/// answers the daemon has still to write when the next request comes depends on the buffers of the machine.
const FIRST: [(usize, usize, Socket); 18] = [
    (3, 36_000, Socket::Small),
    (3, 30_000, Socket::Small),
    (4, 24_000, Socket::Small),
    (5, 18_000, Socket::Small),
    (6, 15_000, Socket::Small),
    (9, 9_000, Socket::Small),
    (10, 9_000, Socket::Small),
    (12, 9_000, Socket::Small),
    (14, 9_000, Socket::Small),
    (1, 100_000, Socket::Small),
    (1, 200_000, Socket::Small),
    (1, 300_000, Socket::Small),
    (1, 500_000, Socket::Plain),
    (1, 1_000_000, Socket::Plain),
    (1, 1_500_000, Socket::Plain),
    (1, 2_000_000, Socket::Plain),
    (1, 3_000_000, Socket::Plain),
    (1, 4_200_000, Socket::Plain),
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
    let clients: Vec<_> = FIRST
        .map(|(count, size, socket)| {
            let (record, address) = (Arc::clone(&record), entry.outbound());
            thread::spawn(move || play_client(&record, address, count, size, socket))
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
            lost += u32::from(!is_answered && !runs.is_empty());
        }
    }
    record.say(if lost > 0 {
        format!("BROKEN (LOST): {lost} requests were passed on, and got no whole answer")
    } else {
        "HELD".to_owned()
    });
    finish(&record, i32::from(lost > 0));
}

/// Sends all its requests before it reads; returns them, and whether each got its whole answer.
fn play_client(
    record: &Record,
    address: std::net::SocketAddr,
    count: usize,
    size: usize,
    socket: Socket,
) -> Vec<(String, bool)> {
    let stream = match socket {
        Socket::Small => connect_slowly(address, 4 << 10, 1_448),
        Socket::Plain => std::net::TcpStream::connect(address),
    };
    let Ok(mut stream) = stream else {
        cannot_run(record, "cannot connect");
    };
    let mut attempts = Vec::new();
    for _ in 0..count {
        let attempt = next_attempt();
        let path = format!("/docs/{size}");
        let _ = stream.write_all(&request("GET", &path, &attempt, 5_000, b""));
        record.say(format!("client sends {attempt}: GET {path}"));
        attempts.push((attempt, size));
    }
    thread::sleep(Duration::from_millis(550));
    let last = next_attempt();
    let result = stream.write_all(&request("GET", "/index/x", &last, 4_000, b""));
    record.say(format!(
        "client sends {last}: GET /index/x, behind {count} others, of whose answers it has read nothing ({})",
        if result.is_ok() { "sent" } else { "failed" }
    ));
    attempts.push((last, SMALL));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let until = Instant::now() + Duration::from_millis(4_000);
    let end_of_last = body_of(&attempts[count].0, SMALL);
    let mut received = Vec::new();
    let mut end = "still open";
    while Instant::now() < until && !received.ends_with(&end_of_last) {
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
    // The answers come in the order of the requests.
    let mut rest = received.as_slice();
    let mut answers = Vec::new();
    for (attempt, size) in attempts {
        let head = find(rest, b"\r\n\r\n").map_or(rest.len(), |end| end + 4);
        let text = String::from_utf8_lossy(&rest[..head]).into_owned();
        let is_whole = text.contains(&format!("Attempt-Id: {attempt}"))
            && rest[head..].starts_with(&body_of(&attempt, size));
        let closes = text.contains("Connection: close");
        record.say(format!("client: {attempt} got its whole answer: {is_whole} (Connection: close: {closes})"));
        rest = &rest[(head + size).min(rest.len())..];
        answers.push((attempt, is_whole));
    }
    record.say(format!("client: {} bytes, the connection is {end}", received.len()));
    answers
}
