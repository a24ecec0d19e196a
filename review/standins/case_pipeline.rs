//! Clients send many safe requests on one connection before the first one is answered.

use crate::{
    Stage,
    http::read_message,
    machine::{Daemon, Ports, machine_ip, wait_until_ready},
    store::Store,
    upstream::{Behaviour, Upstream},
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time budget of the clients.
const DEADLINE_MS: u64 = 6_000;

/// `timeout-s` of the route.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time after it by which a request has its final answer.
const LATENESS: Duration = Duration::from_millis(500);

/// Time for which a client waits for each answer.
const WAIT: Duration = Duration::from_secs(6);

/// Mean work of a request.
const WORK: Duration = Duration::from_millis(160);

const CLIENTS: usize = 3;

/// Requests that a client sends at once, with and without trouble.
const PIPELINED: usize = 100;
const FEW_PIPELINED: usize = 32;

/// Plays the case; returns the violations.
pub fn play(stage: &Stage) -> io::Result<Vec<String>> {
    let ports = Ports::find()?;
    let address = |machine, port| SocketAddr::new(machine_ip(machine), port);
    let store = Store::start(address(0, ports.store))?;
    store.put("op/config", Some(config()));
    let behaviour = Behaviour {
        work: WORK,
        body: Arc::new(b"itinerary".to_vec()),
        document: Arc::default(),
    };
    let mut daemons = Vec::new();
    for (machine, zone, service) in [
        (1, "kgn-a", "bookings"),
        (2, "kgn-b", "catalogue"),
        (3, "kgn-c", "catalogue"),
    ] {
        let id = format!("i-{machine}");
        let app = address(machine, ports.app);
        let upstream = Upstream::start(&id, service, zone, app, behaviour.clone(), &stage.record)?;
        store.put(&upstream.key(), Some(upstream.entry("ready", 1)));
        let daemon = Daemon::start(machine, zone, service, ports, ports.peer, &stage.folder)?;
        daemons.push(daemon);
    }
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(4));
    let count = if stage.has_trouble {
        PIPELINED
    } else {
        FEW_PIPELINED
    };
    let mut violations = Vec::new();
    for client in 0..CLIENTS {
        let times = send_pipelined(stage, client, daemons[0].outbound, count)?;
        let is_open_after =
            |limit: Duration| move |time: &Option<Duration>| time.is_none_or(|time| time > limit);
        let at_timeout = times.iter().copied().filter(is_open_after(TIMEOUT)).count();
        let late = times
            .iter()
            .copied()
            .filter(is_open_after(TIMEOUT + LATENESS))
            .count();
        let never = times.iter().filter(|time| time.is_none()).count();
        stage.record.line(&format!(
            "client   c{client}: of {count} requests {at_timeout} had no answer at timeout-s, {late} \
             half a second later, {never} never"
        ));
        if late * 2 > at_timeout && late >= 8 {
            violations.push(format!(
                "CONFIG: of {at_timeout} requests of client c{client} that had no answer at \
                 timeout-s, {late} had none half a second later, and {never} never got one"
            ));
        }
    }
    Ok(violations)
}

/// Sends requests at once on one connection; returns after which time each got its answer.
fn send_pipelined(
    stage: &Stage,
    client: usize,
    address: SocketAddr,
    count: usize,
) -> io::Result<Vec<Option<Duration>>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let attempts: Vec<String> = (0..count)
        .map(|number| format!("c{client}-{number:03}"))
        .collect();
    let requests: Vec<String> = attempts
        .iter()
        .map(|attempt| {
            format!(
                "GET /browse/{attempt} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\n\
                 Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
            )
        })
        .collect();
    let sent_at = Instant::now();
    stream.write_all(requests.concat().as_bytes())?;
    stage.record.line(&format!(
        "sent     c{client}-000 to c{client}-{:03}",
        count - 1
    ));
    let mut times = vec![None; count];
    for (attempt, time) in attempts.iter().zip(&mut times) {
        let left = WAIT.saturating_sub(sent_at.elapsed());
        if left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left))?;
        let Ok((answer, _)) = read_message(&mut stream) else {
            break;
        };
        if answer.field("Attempt-Id") != Some(attempt) {
            return Err(io::Error::other("an answer is out of order"));
        }
        *time = Some(sent_at.elapsed());
        let line = format!("answered {attempt} {}", answer.status());
        stage.record.line(&line);
    }
    Ok(times)
}

fn config() -> String {
    r#"{"version":"r7","routes":[{"name":"r-browse","hostname":"review.example","prefix":"/browse/","route-type":"safe","timeout-s":1,"target-latency-s":1.5,"priority":2,"service":"catalogue","max-attempts":2}],"services":[{"name":"catalogue","health-path":"/health","max-connections":574,"protocol":"h1","tls":false},{"name":"bookings","health-path":"/health","max-connections":694,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#.to_owned()
}
