//! An upstream crashes and starts again at its address with a new id. It sheds part of its requests, and
//! sends a second copy of some answers, late.

#[path = "rig.rs"]
#[allow(dead_code)]
mod rig;

use rig::*;
use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Share of the answers of which a second copy is sent.
const COPIED_SHARE: f64 = 0.03;
/// Share of its requests that the upstream sheds.
const SHED_SHARE: f64 = 0.45;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The upstream, over all its lifetimes.
struct Server {
    address: SocketAddr,
    id: Mutex<String>,
    born: Mutex<u64>,
    open: Mutex<Vec<TcpStream>>,
    is_up: AtomicBool,
    /// Whether it sheds requests and copies answers.
    sheds: AtomicBool,
    count: AtomicU32,
    copies: AtomicU32,
    runs: Mutex<HashMap<String, u32>>,
    record: Arc<Record>,
}

impl Server {
    fn listen(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("upstream address");
        self.is_up.store(true, Ordering::SeqCst);
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !server.is_up.load(Ordering::SeqCst) {
                    return;
                }
                server.open.lock().unwrap().push(stream.try_clone().expect("clone"));
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
    }

    fn publish(&self, store: &Store) {
        let entry = format!(
            "{{\"service\":\"dispatcher\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold-remaining-s\":0,\"sequence\":1,\"born\":{}}}",
            self.address,
            self.born.lock().unwrap()
        );
        store.put(&format!("servers/{}", self.id.lock().unwrap()), &entry);
    }

    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            close(&stream);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut wire: Wire) -> Option<()> {
        let id = self.id.lock().unwrap().clone();
        // Second copy of an answer, which comes where the next answer is expected.
        let mut copy: Option<Vec<u8>> = None;
        loop {
            let request = wire.read_message().ok()??;
            let attempt = request.attempt();
            if request.field("Expect-Instance").is_some_and(|expected| expected != id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                wire.stream.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let number = self.count.fetch_add(1, Ordering::SeqCst);
            let place = f64::from(number.wrapping_mul(2_246_822_519)) / f64::from(u32::MAX);
            let sheds = self.sheds.load(Ordering::SeqCst) && place < SHED_SHARE;
            if let Some(copy) = copy.take() {
                self.record.say(format!("{id} sends a late second copy, after it has read {attempt}"));
                wire.stream.write_all(&copy).ok()?;
            }
            let answer = if sheds {
                self.record.say(format!("{id} sheds {attempt}"));
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                )
            } else {
                *self.runs.lock().unwrap().entry(attempt.clone()).or_default() += 1;
                self.record.say(format!("{id} runs {attempt}: {}", request.first_line));
                thread::sleep(Duration::from_millis(30));
                format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{number}\r\n\
                     Content-Length: 0\r\n\r\n"
                )
            };
            wire.stream.write_all(answer.as_bytes()).ok()?;
            let copied = self.copies.fetch_add(1, Ordering::SeqCst);
            // Spread evenly, without a fixed distance.
            let place = f64::from(copied.wrapping_mul(2_654_435_769)) / f64::from(u32::MAX);
            if has_trouble() && self.sheds.load(Ordering::SeqCst) && place < COPIED_SHARE {
                copy = Some(answer.into_bytes());
            }
        }
    }
}

fn main() {
    let record = Record::new();
    guard(&record);
    let folder = folder();
    let ports = Ports::free(7);
    let store = Store::start(ports.at(0, ports.store));
    let server = Arc::new(Server {
        address: ports.at(1, ports.app),
        id: Mutex::new("i-1".into()),
        born: Mutex::new(now_ms()),
        open: Mutex::default(),
        is_up: AtomicBool::new(false),
        sheds: AtomicBool::new(false),
        count: AtomicU32::new(0),
        copies: AtomicU32::new(0),
        runs: Mutex::default(),
        record: Arc::clone(&record),
    });
    server.listen();
    server.publish(&store);
    // One of seven upstreams is in trouble: a share of 0.14.
    let gateboard: Behaviour = Arc::new(|_: &Message| Plan::default());
    for machine in 2..8 {
        let (id, zone) = (format!("i-{machine}"), format!("z{machine}"));
        let behaviour = Arc::clone(&gateboard);
        let other = Upstream::start(&record, "gateboard", &id, &zone, &ports, machine, 64, behaviour);
        other.keep_published(&store);
    }
    let routes = [route("tug-assign", "/tug/", "unsafe", 5.0, &[("dispatcher", "1")], 2)];
    store.put("op/config", &config(3, &routes, &["dispatcher", "gateboard"]));
    let daemons: Vec<_> = [1, 2, 3, 4, 5, 6, 7]
        .map(|machine| {
            let service = if machine == 1 { "dispatcher" } else { "gateboard" };
            let zone = format!("z{machine}");
            Daemon::start(&record, &folder, &ports, machine, &zone, service, &[1, 2])
        })
        .into();
    wait_ready(&record, &daemons, Duration::from_secs(15));
    thread::sleep(Duration::from_secs(1));
    let (mut refused, mut doubled) = (0, 0);
    let mut sent = 0;
    for round in 0..8 {
        // The entry of the lifetime that crashed stays for three heartbeat intervals.
        let old_id = server.id.lock().unwrap().clone();
        record.say(format!("{old_id} crashes"));
        server.crash();
        thread::sleep(Duration::from_millis(500));
        *server.id.lock().unwrap() = format!("i-1-{}", round + 1);
        *server.born.lock().unwrap() = now_ms();
        server.sheds.store(true, Ordering::SeqCst);
        server.listen();
        server.publish(&store);
        record.say(format!("{} starts at the same address", server.id.lock().unwrap()));
        thread::sleep(Duration::from_millis(200));
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            let (mut runs, mut attempts) = (0, 0);
            while attempts < 2 {
                attempts += 1;
                sent += 1;
                let answer = send(&record, daemons[sent % 7].outbound());
                let run = server.runs.lock().unwrap().get(&answer.0).copied().unwrap_or(0);
                runs += run;
                if !matches!(answer.1, 408 | 421 | 429 | 503) {
                    break;
                }
                if run > 0 {
                    refused += 1;
                    record.say(format!("{} was answered {} and has run", answer.0, answer.1));
                }
            }
            doubled += u32::from(runs > 1);
            thread::sleep(Duration::from_millis(10));
        }
        server.sheds.store(false, Ordering::SeqCst);
        thread::sleep((HEARTBEAT * 3).saturating_sub(Duration::from_millis(3_700)));
        store.delete(&format!("servers/{old_id}"));
        thread::sleep(Duration::from_millis(500));
    }
    let twice = server.runs.lock().unwrap().values().filter(|runs| **runs > 1).count();
    let is_broken = refused > 0 || twice > 0;
    record.say(format!(
        "{}: {refused} unsafe requests were refused and had run, {twice} ran twice; the work of {doubled} \
         callers was done twice",
        if is_broken { "BROKEN (REFUSED)" } else { "HELD" }
    ));
    finish(&record, i32::from(is_broken));
}

fn send(record: &Record, address: SocketAddr) -> (String, u16) {
    let (attempt, answer) = ask(record, address, "POST", "/tug/a", 5_000, b"tug");
    let status = answer.unwrap_or_else(|_: io::Error| None).map_or(0, |answer| answer.status());
    (attempt, status)
}
