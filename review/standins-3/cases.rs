//! Cases of the third review. `cases NAME RECORD FOLDER` plays one; its exit code is that of the case.

mod lab;

use lab::*;
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record, folder] = arguments.as_slice() else {
        eprintln!("cases NAME RECORD FOLDER");
        std::process::exit(2);
    };
    open_record(Path::new(record));
    let folder = PathBuf::from(folder);
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        say("COULD NOT RUN: the case took too long");
        std::process::exit(2);
    });
    let code = match name.as_str() {
        "uploads" => uploads(&folder),
        "chunks" => chunks(&folder),
        "reset-readers" => reset_readers(&folder),
        _ => could_not_run("no such case"),
    };
    say(match code {
        0 => "The rule held.",
        1 => "The rule was broken.",
        _ => "The case could not run.",
    });
    std::process::exit(code);
}

static SENDERS: Mutex<BTreeMap<String, IpAddr>> = Mutex::new(BTreeMap::new());

fn record_sender(id: &str, machine: IpAddr) {
    SENDERS.lock().unwrap().insert(id.to_owned(), machine);
}

/// Returns the machine at which a client sent a request.
fn sent_at(id: &str) -> Option<IpAddr> {
    SENDERS.lock().unwrap().get(id).copied()
}

/// Returns the address of the machine that calls the store at an address.
fn machine_ip(store: IpAddr) -> IpAddr {
    match store {
        IpAddr::V4(ip) => {
            let [first, net, _, number] = ip.octets();
            IpAddr::from([first, net, 3, number])
        }
        IpAddr::V6(_) => store,
    }
}

/// Takes a connection that has been idle for less than four fifths of `idle-timeout-s`.
fn take_kept(pool: &Mutex<Vec<(Connection, Instant)>>) -> Option<Connection> {
    const MAX_IDLE: Duration = Duration::from_secs(12);
    let mut pool = pool.lock().unwrap();
    pool.retain(|(_, since)| since.elapsed() < MAX_IDLE);
    pool.pop().map(|(connection, _)| connection)
}

/// Sends requests of one route at a machine at even intervals, each on a kept connection that is free.
struct Traffic {
    is_stopping: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    answers: Arc<Mutex<HashMap<u16, usize>>>,
}

impl Traffic {
    fn start(machines: &[Machine], per_s: f64, make: impl Fn() -> Ask + Send + Sync + 'static) -> Self {
        let make = Arc::new(make);
        let traffic = Self {
            is_stopping: Arc::default(),
            open: Arc::default(),
            answers: Arc::default(),
        };
        for machine in machines {
            let address = machine.outbound();
            let make = Arc::clone(&make);
            let is_stopping = Arc::clone(&traffic.is_stopping);
            let open = Arc::clone(&traffic.open);
            let answers = Arc::clone(&traffic.answers);
            let pool: Arc<Mutex<Vec<(Connection, Instant)>>> = Arc::default();
            thread::spawn(move || {
                let start = Instant::now();
                let mut count = 0;
                while !is_stopping.load(Ordering::Relaxed) {
                    let due = start + Duration::from_secs_f64(f64::from(count) / per_s);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    count += 1;
                    let (make, pool) = (Arc::clone(&make), Arc::clone(&pool));
                    let (open, answers) = (Arc::clone(&open), Arc::clone(&answers));
                    open.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || {
                        let request = make();
                        let kept = take_kept(&pool);
                        let seen = match kept.map_or_else(|| Connection::open(address), Ok) {
                            Ok(mut connection) => {
                                note(&format!(
                                    "client at {} sends {} {}",
                                    address.ip(),
                                    request.id,
                                    request.path
                                ));
                                record_sender(&request.id, address.ip());
                                let seen = connection.ask(&request);
                                if let Seen::Answer(answer) = &seen
                                    && answer.header("Connection") != Some("close")
                                {
                                    pool.lock().unwrap().push((connection, Instant::now()));
                                }
                                seen
                            }
                            Err(error) => Seen::Nothing(format!("cannot connect: {error}")),
                        };
                        note(&format!("client got for {}: {}", request.id, seen.text()));
                        *answers.lock().unwrap().entry(seen.status()).or_default() += 1;
                        open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
            });
        }
        traffic
    }

    /// Stops sending, and waits for the answers.
    fn finish(&self, limit: Duration) {
        self.is_stopping.store(true, Ordering::Relaxed);
        let until = Instant::now() + limit;
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            sleep_ms(20);
        }
        let mut answers: Vec<_> = self.answers.lock().unwrap().clone().into_iter().collect();
        answers.sort_unstable();
        say(&format!("answers by status (0: none): {answers:?}"));
    }
}

/// An upstream's chunked answer ends early in bytes that are no chunk.
fn chunks(folder: &Path) -> i32 {
    let places = [("a", "front"), ("a", "desk")];
    let (machines, store) = machines(&places, folder);
    let routes = [Route {
        name: "manual",
        kind: "download",
        service: "desk",
        timeout_s: 3.0,
        target_s: 1.0,
        priority: 1,
        max_attempts: 2,
    }];
    store.put("op/config", Some(&config(12, &routes, &["front", "desk"])));
    let count: Arc<AtomicUsize> = Arc::default();
    let whole: Vec<u8> = (0..6_000u32).map(|at| b'a' + (at % 26) as u8).collect();
    let mut upstreams = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let (count, whole) = (Arc::clone(&count), whole.clone());
        let work: Box<Work> = Box::new(move |upstream, request| {
            sleep_ms(20);
            let number = count.fetch_add(1, Ordering::Relaxed);
            let is_spoilt = has_trouble() && number % 20 == 19;
            let mut bytes = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Signature: {}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                request.header("Attempt-Id").unwrap_or_default(),
                upstream.signature(request)
            )
            .into_bytes();
            for (place, chunk) in whole.chunks(1_000).enumerate() {
                if is_spoilt && place == 3 {
                    // The answer is broken off; what follows is no chunk.
                    bytes.extend_from_slice(b"\r\n\r\n");
                    note(&format!("upstream {} spoils this answer", upstream.id));
                    return Some((bytes, false));
                }
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
            Some((bytes, true))
        });
        let id = format!("i-{number}{:06x}", std::process::id());
        let upstream = Upstream::start(&id, &machine.service, &machine.zone, machine, 20, work);
        upstream.register(&store, "ready");
        upstreams.push(upstream);
    }
    let daemons: Vec<_> = machines.iter().map(Daemon::start).collect();
    if !wait_ready(&daemons, Duration::from_secs(10)) {
        return could_not_run("the daemons are not ready");
    }
    sleep_ms(1_000);
    let (mut served, mut wrong) = (0, 0);
    for _ in 0..100 {
        let request = Ask::new("GET", "/manual/x", 1_500);
        let seen = ask(machines[0].outbound(), &request);
        note(&format!("client got for {}: {}", request.id, seen.text()));
        let Seen::Answer(answer) = &seen else { continue };
        if answer.status() != 200 {
            continue;
        }
        served += 1;
        if answer.body != whole {
            wrong += 1;
            say(&format!(
                "client got 200 for {} with signature {:?} and {} of {} bytes, stated as whole",
                request.id,
                answer.header("Server-Signature"),
                answer.body.len(),
                whole.len()
            ));
        }
    }
    say(&format!("{served} successes, {wrong} of them with a body that is not whole"));
    if served < 50 {
        return could_not_run("hardly any request was served");
    }
    i32::from(wrong > 0)
}

/// The store connections of some machines are reset, and an upstream leaves that never reports
/// `draining`.
fn reset_readers(folder: &Path) -> i32 {
    const DRAIN_S: f64 = 2.0;
    // A third of the machines.
    const RESETS: usize = 5;
    let mut places = Vec::new();
    for zone in ["a", "b", "c"] {
        places.extend([(zone, "front"), (zone, "desk"), (zone, "desk"), (zone, "desk"), (zone, "desk")]);
    }
    let (machines, store) = machines(&places, folder);
    let routes = [Route {
        name: "assign",
        kind: "unsafe",
        service: "desk",
        timeout_s: 5.0,
        target_s: 1.5,
        priority: 0,
        max_attempts: 2,
    }];
    store.put("op/config", Some(&config(12, &routes, &["front", "desk"])));
    let mut upstreams = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let work: Box<Work> = Box::new(|upstream, request| {
            sleep_ms(210);
            Some(upstream.ok(request, b"assigned"))
        });
        let id = format!("i-{number}{:06x}", std::process::id());
        let upstream = Upstream::start(&id, &machine.service, &machine.zone, machine, 91, work);
        upstream.register(&store, "ready");
        upstreams.push(upstream);
    }
    let daemons: Vec<_> = machines.iter().map(Daemon::start).collect();
    if !wait_ready(&daemons, Duration::from_secs(10)) {
        return could_not_run("the daemons are not ready");
    }
    sleep_ms(8_000);
    let traffic = Traffic::start(&machines, 8.0, || Ask::new("POST", "/assign/x", 5_000));
    sleep_ms(5_000);
    note(&format!("machines that watch the store: {:?}", store.watching()));
    let mut late = 0;
    // Two upstreams of different zones leave at a time.
    for pair in [[1, 6], [7, 11], [12, 2], [3, 8]] {
        let beside = pair.map(|number: usize| machines[number].store.ip());
        let reset: Vec<IpAddr> = match has_trouble() {
            true => store.reset_watches(RESETS, &beside),
            false => Vec::new(),
        };
        let reset: Vec<IpAddr> = reset.iter().map(|ip| machine_ip(*ip)).collect();
        sleep_ms(200);
        for number in pair {
            store.put(&format!("servers/{}", upstreams[number].id), None);
        }
        let confirmed = seconds();
        note("the store confirmed that both upstreams are gone");
        // They serve for `drain-s` and a little longer.
        sleep_ms(2_350);
        for number in pair {
            let leaving = &upstreams[number];
            leaving.end();
            for run in leaving.runs.lock().unwrap().iter() {
                // Requests that a machine took whose connections were reset do not count.
                let taken_at = sent_at(&run.attempt_id);
                let is_in_touch = taken_at.is_some_and(|ip| !reset.contains(&ip));
                if run.at > confirmed + DRAIN_S && is_in_touch {
                    late += 1;
                    say(&format!(
                        "request {} from {taken_at:?} reached {} {:.3} s after the store confirmed \
                         that it is gone",
                        run.attempt_id,
                        leaving.id,
                        run.at - confirmed
                    ));
                }
            }
        }
        sleep_ms(6_000);
    }
    traffic.finish(Duration::from_secs(8));
    say(&format!("{late} requests reached upstreams later than drain-s"));
    i32::from(late > 0)
}

/// Clients send bodies within the limits of the config, and daemons exceed their memory.
fn uploads(folder: &Path) -> i32 {
    // `memory-mb` is 260; the platform kills a process that exceeds it.
    const MEMORY_KB: u64 = 260 * 1024;
    const ROUNDS: usize = 3;
    const AT_ONCE: usize = 4;
    let body_bytes = if has_trouble() { 60 << 20 } else { 24 << 10 };
    let places = [("a", "front"), ("b", "front"), ("a", "desk"), ("b", "desk")];
    let (machines, store) = machines(&places, folder);
    let routes = [Route {
        name: "assign",
        kind: "unsafe",
        service: "desk",
        timeout_s: 5.0,
        target_s: 1.5,
        priority: 0,
        max_attempts: 2,
    }];
    store.put("op/config", Some(&config(12, &routes, &["front", "desk"])));
    let mut upstreams = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let work: Box<Work> = Box::new(|upstream, request| {
            sleep_ms(210);
            Some(upstream.ok(request, b"assigned"))
        });
        let id = format!("i-{number}{:06x}", std::process::id());
        let upstream = Upstream::start(&id, &machine.service, &machine.zone, machine, 121, work);
        upstream.register(&store, "ready");
        upstreams.push(upstream);
    }
    let daemons: Vec<_> = machines.iter().map(Daemon::start).collect();
    if !wait_ready(&daemons, Duration::from_secs(10)) {
        return could_not_run("the daemons are not ready");
    }
    sleep_ms(2_000);
    let kills: Vec<Arc<AtomicUsize>> = daemons.iter().map(|_| Arc::default()).collect();
    let is_over: Arc<AtomicBool> = Arc::default();
    let watchers: Vec<_> = daemons
        .iter()
        .zip(&kills)
        .map(|(daemon, count)| {
            let (daemon, count) = (Arc::clone(daemon), Arc::clone(count));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut peak = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let used = resident_kb(daemon.pid());
                    peak = peak.max(used);
                    if used > MEMORY_KB {
                        say(&format!("daemon {} holds {used} KiB", daemon.machine.name));
                        daemon.kill();
                        count.fetch_add(1, Ordering::Relaxed);
                        sleep_ms(500);
                        daemon.launch();
                    }
                    sleep_ms(2);
                }
                say(&format!("daemon {} held {peak} KiB at most", daemon.machine.name));
            })
        })
        .collect();
    let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
    for round in 0..ROUNDS {
        for machine in &machines[..2] {
            let clients: Vec<_> = (0..AT_ONCE)
                .map(|_| {
                    let address = machine.outbound();
                    thread::spawn(move || {
                        let mut request = Ask::new("POST", "/assign/x", 5_000);
                        request.body = vec![b'b'; body_bytes];
                        note(&format!(
                            "client at {} sends {} with {body_bytes} bytes",
                            address.ip(),
                            request.id
                        ));
                        let seen = ask(address, &request);
                        note(&format!("client got for {}: {}", request.id, seen.text()));
                        seen.status()
                    })
                })
                .collect();
            for client in clients {
                *answers.entry(client.join().unwrap_or(0)).or_default() += 1;
            }
        }
        note(&format!("round {round} is over"));
        if !wait_ready(&daemons, Duration::from_secs(10)) {
            return could_not_run("a daemon is not ready again");
        }
        sleep_ms(3_000);
    }
    is_over.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let kills: Vec<usize> = kills.iter().map(|count| count.load(Ordering::Relaxed)).collect();
    say(&format!("answers by status (0: none): {answers:?}"));
    say(&format!("ends by memory, by machine: {kills:?}"));
    i32::from(kills.iter().filter(|count| **count >= 3).count() >= 2)
}

/// Returns the resident memory of a process.
fn resident_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}
