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
        "late-work" => late_work(&folder),
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
            let pool: Arc<Mutex<Vec<Connection>>> = Arc::default();
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
                        let kept = pool.lock().unwrap().pop();
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
                                    pool.lock().unwrap().push(connection);
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

/// A draining upstream gets work that waited at its daemon for longer than `drain-s`.
fn late_work(folder: &Path) -> i32 {
    const DRAIN_S: f64 = 2.0;
    const LOOKUP_MS: u64 = 225;
    const SLOWER: u64 = 12;
    let places = [
        ("a", "front"),
        ("b", "front"),
        ("c", "front"),
        ("a", "desk"),
        ("b", "desk"),
        ("c", "desk"),
    ];
    let (machines, store) = machines(&places, folder);
    let routes = [
        Route {
            name: "assign",
            kind: "unsafe",
            service: "front",
            timeout_s: 5.0,
            target_s: 1.5,
            priority: 0,
            max_attempts: 2,
        },
        Route {
            name: "lookup",
            kind: "safe",
            service: "desk",
            timeout_s: 3.0,
            target_s: 1.2,
            priority: 1,
            max_attempts: 2,
        },
    ];
    store.put("op/config", Some(&config(12, &routes, &["front", "desk"])));
    let is_slow: Arc<AtomicBool> = Arc::default();
    let mut upstreams = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let is_front = machine.service == "front";
        let is_first_desk = number == 3;
        let slow = Arc::clone(&is_slow);
        let work: Box<Work> = if is_front {
            Box::new(|upstream, request| {
                sleep_ms(40);
                let call = Ask::new("GET", "/lookup/x", 3_000);
                note(&format!("upstream {} calls {}", upstream.id, call.id));
                let seen = ask(upstream.outbound, &call);
                note(&format!("upstream {} got for {}: {}", upstream.id, call.id, seen.text()));
                match seen.status() {
                    200 => Some(upstream.ok(request, b"assigned")),
                    _ => Some(upstream.reply(request, 500, b"")),
                }
            })
        } else {
            Box::new(move |upstream, request| {
                let is_slow = is_first_desk && slow.load(Ordering::Relaxed);
                let ms = LOOKUP_MS * if is_slow { SLOWER } else { 1 };
                let budget = request.header("Deadline-Ms").and_then(|text| text.parse().ok());
                let budget = budget.unwrap_or(u64::MAX);
                sleep_ms(ms.min(budget));
                match ms < budget {
                    true => Some(upstream.ok(request, b"found")),
                    false => Some(upstream.reply(request, 504, b"")),
                }
            })
        };
        let slots = if is_front { 91 } else { 6 };
        let id = format!("i-{number}{:06x}", std::process::id());
        let upstream = Upstream::start(&id, &machine.service, &machine.zone, machine, slots, work);
        upstream.register(&store, "ready");
        upstreams.push(upstream);
    }
    let daemons: Vec<_> = machines.iter().map(Daemon::start).collect();
    if !wait_ready(&daemons, Duration::from_secs(10)) {
        return could_not_run("the daemons are not ready");
    }
    sleep_ms(3_000);
    let traffic = Traffic::start(&machines, 10.0, || Ask::new("POST", "/assign/x", 5_000));
    sleep_ms(10_000);
    let leaving = &upstreams[3];
    if has_trouble() {
        note(&format!("upstream {} turns slow", leaving.id));
        is_slow.store(true, Ordering::Relaxed);
    }
    sleep_ms(620);
    leaving.register(&store, "draining");
    let confirmed = seconds();
    note(&format!("the store confirmed that {} is draining", leaving.id));
    // It serves for `drain-s` and a little longer.
    sleep_ms(3_500);
    leaving.end();
    store.put(&format!("servers/{}", leaving.id), None);
    traffic.finish(Duration::from_secs(8));
    let runs = leaving.runs.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|run| run.at > confirmed + DRAIN_S).collect();
    let after: usize = runs.iter().filter(|run| run.at > confirmed).count();
    for run in &late {
        say(&format!(
            "request {} reached {} {:.3} s after the store confirmed that it is draining",
            run.attempt_id,
            leaving.id,
            run.at - confirmed
        ));
    }
    say(&format!(
        "{} runs at {}, {after} after the confirmation, {} later than drain-s",
        runs.len(),
        leaving.id,
        late.len()
    ));
    if runs.len() < 20 {
        return could_not_run("hardly any work reached the upstream");
    }
    i32::from(!late.is_empty())
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
            let is_spoilt = has_trouble() && number % 10 == 9;
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
    const RESETS: usize = 4;
    let mut places = Vec::new();
    for zone in ["a", "b", "c"] {
        places.extend([(zone, "front"), (zone, "front"), (zone, "desk"), (zone, "desk")]);
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
    let (mut late, mut lost_at) = (0, Vec::new());
    // Upstreams of three zones leave, one after the other.
    for number in [2, 6, 10] {
        let leaving = &upstreams[number];
        let reset: Vec<IpAddr> = match has_trouble() {
            true => store
                .reset_watches(RESETS, machines[number].store.ip())
                .iter()
                .map(|ip| machine_ip(*ip))
                .collect(),
            false => Vec::new(),
        };
        sleep_ms(200);
        store.put(&format!("servers/{}", leaving.id), None);
        let confirmed = seconds();
        note(&format!("the store confirmed that {} is gone", leaving.id));
        // It serves for `drain-s` and a little longer.
        sleep_ms(2_350);
        leaving.end();
        lost_at.push(leaving.id.clone());
        for run in leaving.runs.lock().unwrap().iter() {
            // Requests that a machine took whose connections were reset do not count.
            let sent_at = sent_at(&run.attempt_id);
            let is_in_touch = sent_at.is_some_and(|ip| !reset.contains(&ip));
            if run.at > confirmed + DRAIN_S && is_in_touch {
                late += 1;
                say(&format!(
                    "request {} from {:?} reached {} {:.3} s after the store confirmed that it is \
                     gone",
                    run.attempt_id,
                    sent_at,
                    leaving.id,
                    run.at - confirmed
                ));
            }
        }
        sleep_ms(6_000);
    }
    traffic.finish(Duration::from_secs(8));
    say(&format!("{late} requests reached upstreams later than drain-s"));
    i32::from(late > 0)
}
