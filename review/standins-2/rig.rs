//! Stand-ins for the clients, the upstreams and the platform's store, and helpers that start, signal
//! and end the project's daemons. Standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "hulo84.example";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Record of a run of a case: what was sent, answered and run, and the verdict.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::default(),
        })
    }

    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        let at = self.start.elapsed();
        println!("{:8.3} {text}", at.as_secs_f64());
        self.lines.lock().unwrap().push((at, text));
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:8.3} {text}\n", at.as_secs_f64()))
            .collect();
        let _ = fs::write(path, text);
    }
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Ends the case with exit code 2: it could not run.
pub fn cannot_run(record: &Record, reason: &str) -> ! {
    record.say(format!("CANNOT RUN: {reason}"));
    finish(record, 2)
}

/// Ends the case with exit code 2 if it panics or takes too long, and its processes with it.
pub fn guard(record: &Arc<Record>) {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        end_all_daemons();
        std::process::exit(2);
    }));
    let record = Arc::clone(record);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(105));
        cannot_run(&record, "it took too long");
    });
}

/// Ends all processes that the case started, writes the record and exits.
pub fn finish(record: &Record, code: i32) -> ! {
    end_all_daemons();
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
    let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into());
    record.write(&PathBuf::from(folder).join("record.txt"));
    std::process::exit(code)
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// Ports and addresses.

/// Addresses of one small deployment on loopback: each machine has its own address, and all have the
/// same ports.
#[derive(Clone)]
pub struct Ports {
    net: [u8; 2],
    pub app: u16,
    pub outbound: u16,
    pub peer: u16,
    pub ready: u16,
    pub store: u16,
}

impl Ports {
    pub fn free(machines: u8) -> Self {
        let seed = std::process::id() as u64 ^ now_ms();
        for turn in 0..200u64 {
            let x = seed.wrapping_mul(6364136223846793005).wrapping_add(turn * 7919);
            let net = [60 + (x >> 20) as u8 % 150, (x >> 30) as u8 % 250];
            let base = 10_000 + ((x >> 40) % 2_000) as u16 * 8;
            let ports = Self {
                net,
                app: base,
                outbound: base + 1,
                peer: base + 2,
                ready: base + 3,
                store: base + 4,
            };
            let all_free = (0..=machines).all(|machine| {
                (base..base + 5)
                    .all(|port| TcpListener::bind(SocketAddr::new(ports.ip(machine), port)).is_ok())
            });
            if all_free {
                return ports;
            }
        }
        panic!("no free ports");
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], machine + 1))
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }
}

// HTTP.

/// Request or response head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn attempt(&self) -> String {
        self.field("Attempt-Id").unwrap_or("").to_owned()
    }
}

/// Connection that reads messages.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 64 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads the head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let fields = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message {
            first_line,
            fields,
            body: Vec::new(),
        }))
    }

    /// Reads a message whose body has a stated length.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let length = message.field("Content-Length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

// The platform's store.

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// How the store treats calls.
#[derive(Clone, Copy, PartialEq)]
pub enum StoreMode {
    Serve,
    /// Calls get no answer, and open connections are cut.
    Down,
}

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    mode: Mutex<StoreMode>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            mode: Mutex::new(StoreMode::Serve),
            address,
        });
        let listener = TcpListener::bind(address).expect("store address");
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
        store
    }

    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
        self.changed.notify_all();
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).filter(|item| item.value.is_some());
        let created = created.map_or(revision, |item| item.created);
        let item = Item {
            value: Some(value.as_bytes().to_vec()),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let item = Item {
            value: None,
            revision,
            created: 0,
        };
        state.items.insert(key.to_owned(), item);
        self.changed.notify_all();
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(request)) = wire.read_message() {
            let target = request.path().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
            };
            if *self.mode.lock().unwrap() == StoreMode::Down {
                while *self.mode.lock().unwrap() == StoreMode::Down {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
            thread::sleep(Duration::from_millis(4));
            let prefix = parameter("prefix").unwrap_or_default();
            let (status, body) = match path {
                "/kv-range" => (200, self.range(&prefix, parameter("after"))),
                "/kv-watch" => {
                    let after = parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let wait = parameter("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let Some(body) = self.watch(&prefix, after, Duration::from_millis(wait)) else {
                        return;
                    };
                    (200, body)
                }
                "/kv-key" => {
                    let key = parameter("key").unwrap_or_default();
                    let state = self.state.lock().unwrap();
                    let item = state.items.get(&key).filter(|item| item.value.is_some());
                    match item {
                        Some(item) => (200, render_item(&key, item)),
                        None => (404, "{}".to_owned()),
                    }
                }
                _ => (404, "{}".to_owned()),
            };
            let response = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if wire.stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> String {
        let state = self.state.lock().unwrap();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, item)| item.value.is_some() && key.starts_with(prefix))
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .map(|(key, item)| render_item(key, item))
            .collect();
        format!(
            "{{\"items\":[{}],\"has-more\":false,\"as-of\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let limit = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if *self.mode.lock().unwrap() == StoreMode::Down {
                return None;
            }
            let mut events: Vec<(u64, String)> = state
                .items
                .iter()
                .filter(|(key, item)| item.revision > after && key.starts_with(prefix))
                .map(|(key, item)| (item.revision, render_item(key, item)))
                .collect();
            let left = limit.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let events: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                return Some(format!(
                    "{{\"events\":[{}],\"as-of\":{}}}",
                    events.join(","),
                    state.revision
                ));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn render_item(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
            base64(value),
            item.revision,
            item.created
        ),
        None => format!(
            "{{\"key\":\"{key}\",\"revision\":{},\"tombstone\":true}}",
            item.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(LETTERS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[index + 1..index + 3]).unwrap_or("0");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(0));
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// Upstreams.

/// What an upstream saw of one request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub instance: String,
    pub service: String,
    pub attempt: String,
    pub line: String,
    pub body: usize,
    pub caller: String,
    pub deadline_ms: u64,
    pub ran: bool,
    /// How the run ended: answered, or dropped since its connection closed.
    pub end: Option<(f64, &'static str)>,
}

/// What an upstream does with a request.
#[derive(Clone)]
pub struct Plan {
    pub work: Duration,
    pub status: u16,
    pub body: usize,
    /// Refuses without a run.
    pub refuses: bool,
    /// Path of a call (`POST`) that the run makes first, at the outbound address of its machine.
    pub call: Option<String>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(20),
            status: 200,
            body: 200,
            refuses: false,
            call: None,
        }
    }
}

pub type Behaviour = Arc<dyn Fn(&Message) -> Plan + Send + Sync>;

pub struct Upstream {
    pub service: String,
    pub id: Mutex<String>,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<Arrival>>,
    born: AtomicU64,
    sequence: AtomicU64,
    zone: String,
    slots: u32,
    outbound: SocketAddr,
    behaviour: Behaviour,
    record: Arc<Record>,
    is_ended: AtomicBool,
    is_draining: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Upstream {
    pub fn start(
        record: &Arc<Record>,
        service: &str,
        id: &str,
        zone: &str,
        ports: &Ports,
        machine: u8,
        slots: u32,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let address = ports.at(machine, ports.app);
        let upstream = Arc::new(Self {
            service: service.to_owned(),
            id: Mutex::new(id.to_owned()),
            address,
            arrivals: Mutex::default(),
            born: AtomicU64::new(now_ms()),
            sequence: AtomicU64::new(0),
            zone: zone.to_owned(),
            slots,
            outbound: ports.at(machine, ports.outbound),
            behaviour,
            record: Arc::clone(record),
            is_ended: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let listener = TcpListener::bind(address).expect("upstream address");
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_ended.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.open.lock().unwrap().push(copy);
                }
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
        upstream
    }

    /// Writes the entry of the upstream to the store.
    pub fn publish(&self, store: &Store, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-remaining-s\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.born.load(Ordering::Relaxed)
        );
        store.put(&format!("servers/{}", self.id.lock().unwrap()), &entry);
    }

    /// Writes the entry every 1.5 s, as a living upstream does.
    pub fn keep_published(self: &Arc<Self>, store: &Arc<Store>) {
        self.publish(store, "ready");
        let (upstream, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_500));
                if upstream.is_ended.load(Ordering::Relaxed) {
                    return;
                }
                if !upstream.is_draining.load(Ordering::Relaxed) {
                    upstream.publish(&store, "ready");
                }
            }
        });
    }

    /// Reports in the store that the upstream is leaving; returns when the store has accepted it.
    pub fn drain(&self, store: &Store) -> f64 {
        self.is_draining.store(true, Ordering::Relaxed);
        self.publish(store, "draining");
        let at = self.record.now();
        self.record.say(format!("{} is draining: the store has confirmed it", self.id.lock().unwrap()));
        at
    }

    /// Ends the upstream and all its connections.
    pub fn exit(&self, store: &Store) {
        self.end();
        self.record.say(format!("{} exits", self.id.lock().unwrap()));
        for stream in self.open.lock().unwrap().drain(..) {
            close(&stream);
        }
        // Wakes the listener, so that it ends.
        let _ = TcpStream::connect(self.address);
        store.delete(&format!("servers/{}", self.id.lock().unwrap()));
    }

    /// Requests that ran, by attempt.
    pub fn runs(&self, attempt: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        let runs = arrivals.iter().filter(|arrival| arrival.ran && arrival.attempt == attempt);
        runs.cloned().collect()
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(request)) = wire.read_message() {
            let attempt = request.attempt();
            let id = self.id.lock().unwrap().clone();
            if request.path() == "/health" {
                let response = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                if wire.stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if request.field("Expect-Instance").is_some_and(|expected| expected != id) {
                let response = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                self.record.say(format!("{id} answers 421 to {attempt}"));
                if wire.stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let plan = (self.behaviour)(&request);
            let index = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(Arrival {
                    at: self.record.now(),
                    instance: id.clone(),
                    service: self.service.clone(),
                    attempt: attempt.clone(),
                    line: request.first_line.clone(),
                    body: request.body.len(),
                    caller: request.field("Caller-Service").unwrap_or("").to_owned(),
                    deadline_ms: request
                        .field("Deadline-Ms")
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0),
                    ran: !plan.refuses,
                    end: None,
                });
                arrivals.len() - 1
            };
            if plan.refuses {
                let response = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                if wire.stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.say(format!("{id} ({}) runs {attempt}: {}", self.service, request.first_line));
            // A request whose connection closes is dropped.
            let end = Instant::now() + plan.work;
            let mut is_dropped = false;
            while let left = end.saturating_duration_since(Instant::now())
                && !left.is_zero()
            {
                let _ = wire.stream.set_read_timeout(Some(left.min(Duration::from_millis(20))));
                let mut byte = [0];
                match wire.stream.peek(&mut byte) {
                    Ok(0) => is_dropped = true,
                    Ok(_) => thread::sleep(left.min(Duration::from_millis(5))),
                    Err(error)
                        if matches!(
                            error.kind(),
                            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                        ) => {}
                    Err(_) => is_dropped = true,
                }
                if is_dropped {
                    break;
                }
            }
            let _ = wire.stream.set_read_timeout(None);
            let mut plan = plan;
            if let Some(path) = &plan.call
                && !is_dropped
            {
                let began = self.arrivals.lock().unwrap()[index].at;
                let deadline = self.arrivals.lock().unwrap()[index].deadline_ms;
                let spent = ((self.record.now() - began) * 1_000.0) as u64;
                let left = deadline.saturating_sub(spent);
                let (_, answer) = ask(&self.record, self.outbound, "POST", path, left, b"x");
                if !answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200)) {
                    plan.status = 500;
                }
            }
            let name = if is_dropped { "dropped" } else { "answered" };
            self.arrivals.lock().unwrap()[index].end = Some((self.record.now(), name));
            self.record.say(format!("{id} {name} {attempt} (status {})", plan.status));
            if is_dropped {
                return;
            }
            let response = format!(
                "HTTP/1.1 {} R\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{index}.{}\r\n\
                 Content-Length: {}\r\n\r\n",
                plan.status, plan.body, plan.body
            );
            let mut bytes = response.into_bytes();
            bytes.extend(body_of(&attempt, plan.body));
            if wire.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}

/// Body of the answer to an attempt, so that a foreign one is noticed.
pub fn body_of(attempt: &str, length: usize) -> Vec<u8> {
    let unit = format!("{attempt}|");
    unit.bytes().cycle().take(length).collect()
}

// Routes.

/// One route of a config, with one service or several with weights.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_s: f64,
    targets: &[(&str, &str)],
    max_attempts: u32,
) -> String {
    let target = match targets {
        [(service, _)] => format!("\"service\":\"{service}\""),
        targets => {
            let list: Vec<String> = targets
                .iter()
                .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
                .collect();
            format!("\"weighted-targets\":[{}]", list.join(","))
        }
    };
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route-type\":\"{kind}\",\
         \"timeout-s\":{timeout_s},\"target-latency-s\":1.5,\"priority\":1,{target},\
         \"max-attempts\":{max_attempts}}}"
    )
}

pub fn config(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health-path\":\"/health\"}}"))
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\"header-timeout-s\":3,\
         \"idle-timeout-s\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

// Daemons.

static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
static DAEMONS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_all_daemons() {
    for pid in DAEMONS.lock().unwrap().drain(..) {
        unsafe {
            kill(pid as i32, SIGCONT);
            kill(pid as i32, SIGKILL);
        }
    }
}

/// Daemon beside one upstream.
pub struct Daemon {
    pub machine: u8,
    pub name: String,
    ports: Ports,
    settings: PathBuf,
    folder: PathBuf,
    pub child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

impl Daemon {
    /// Renders the settings as the template of the deploy file does, and starts the process.
    pub fn start(
        record: &Arc<Record>,
        folder: &Path,
        ports: &Ports,
        machine: u8,
        zone: &str,
        service: &str,
        seeds: &[u8],
    ) -> Arc<Self> {
        let name = format!("sidecar-{zone}-{machine}");
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", ports.at(*seed, ports.ready)))
            .collect();
        let text = format!(
            "instance = \"{name}\"\ndata_centre = \"{zone}\"\nservice = \"{service}\"\n\
             backend = \"{}\"\noutbound = \"{}\"\npeer = \"{}\"\nreadiness = \"{}\"\nstore = \"{}\"\n\
             seeds = [{}]\ngrace_s = 6\n\n[budget]\nratio = 0.2\nslack = 47\nwindow_s = 10\n\n\
             [log]\nlevel = \"info\"\nformat = \"json\"\n",
            ports.at(machine, ports.app),
            ports.at(machine, ports.outbound),
            ports.at(machine, ports.peer),
            ports.at(machine, ports.ready),
            ports.at(0, ports.store),
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings");
        let daemon = Arc::new(Self {
            machine,
            name,
            ports: ports.clone(),
            settings,
            folder: folder.to_owned(),
            child: Mutex::default(),
            record: Arc::clone(record),
        });
        daemon.spawn();
        daemon
    }

    pub fn spawn(&self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("log");
        let program = std::env::var("SKYLARKSTREAM").unwrap_or("target/release/skylarkstream".into());
        let child = Command::new(program)
            .arg("sidecar")
            .env("SKYLARKSTREAM_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => cannot_run(&self.record, &format!("cannot start a daemon: {error}")),
        };
        DAEMONS.lock().unwrap().push(child.id());
        self.record.say(format!("{} started", self.name));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> i32 {
        self.child.lock().unwrap().as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32, name: &str) {
        self.record.say(format!("{} gets {name}", self.name));
        let pid = self.pid();
        if pid > 0 {
            unsafe { kill(pid, signal) };
        }
    }

    /// Waits until the process has ended; returns how.
    pub fn wait_end(&self, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        loop {
            let mut child = self.child.lock().unwrap();
            if let Some(process) = child.as_mut()
                && let Ok(Some(status)) = process.try_wait()
            {
                let pid = process.id();
                DAEMONS.lock().unwrap().retain(|other| *other != pid);
                *child = None;
                self.record.say(format!("{} ended: {status}", self.name));
                return Some(status.to_string());
            }
            drop(child);
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal(SIGKILL, "SIGKILL");
        self.wait_end(Duration::from_secs(2));
    }

    pub fn outbound(&self) -> SocketAddr {
        self.ports.at(self.machine, self.ports.outbound)
    }

    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<u16> {
            let mut wire = Wire::connect(self.ports.at(self.machine, self.ports.ready))?;
            wire.stream.set_read_timeout(Some(Duration::from_millis(900)))?;
            wire.stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
            Ok(wire.read_message()?.map_or(0, |message| message.status()))
        };
        asked().is_ok_and(|status| status == 200)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

/// Waits until all daemons are ready.
pub fn wait_ready(record: &Record, daemons: &[Arc<Daemon>], limit: Duration) {
    let until = Instant::now() + limit;
    while !daemons.iter().all(|daemon| daemon.is_ready()) {
        if Instant::now() > until {
            cannot_run(record, "the daemons are not ready in time");
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say("all daemons are ready");
}

/// Temporary folder of this run.
pub fn folder() -> PathBuf {
    let name = format!("review-2-{}-{}", std::process::id(), now_ms());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("temporary folder");
    *FOLDER.lock().unwrap() = Some(folder.clone());
    folder
}

// Clients.

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

pub fn next_attempt() -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    format!("{:04x}{:012x}", std::process::id() as u16, number)
}

pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
    );
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Connects with a small receive buffer and the segment size of an ordinary network, as a client on
/// another machine has them.
pub fn connect_slowly(address: SocketAddr, receive_buffer: i32, segment: i32) -> io::Result<TcpStream> {
    // The options only count if they are set before the connection is opened, which the standard
    // library does not offer; so the socket is made by hand.
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    use std::os::fd::FromRawFd;
    let IpAddr::V4(ip) = address.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(stream.as_raw_fd(), 1, 8, &receive_buffer, 4);
        setsockopt(stream.as_raw_fd(), 6, 2, &segment, 4);
        let mut raw = [0u8; 16];
        raw[..2].copy_from_slice(&2u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&address.port().to_be_bytes());
        raw[4..8].copy_from_slice(&ip.octets());
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Sends one request on a new connection; returns the answer.
pub fn ask(
    record: &Record,
    address: SocketAddr,
    method: &str,
    path: &str,
    deadline_ms: u64,
    body: &[u8],
) -> (String, io::Result<Option<Message>>) {
    let attempt = next_attempt();
    let bytes = request(method, path, &attempt, deadline_ms, body);
    record.say(format!("client sends {attempt}: {method} {path} to {address}"));
    let answer = (|| {
        let mut wire = Wire::connect(address)?;
        let limit = Duration::from_millis(deadline_ms + 1_000);
        wire.stream.set_read_timeout(Some(limit))?;
        wire.stream.write_all(&bytes)?;
        wire.read_message()
    })();
    record.say(format!("client gets for {attempt}: {}", describe(&answer)));
    (attempt, answer)
}

pub fn describe(answer: &io::Result<Option<Message>>) -> String {
    match answer {
        Ok(Some(message)) => format!(
            "{}{}{}",
            message.status(),
            message.field("Server-Signature").map_or(String::new(), |text| format!(", signed {text}")),
            message.field("skylark-reason").map_or(String::new(), |text| format!(", reason {text}"))
        ),
        Ok(None) => "the connection closed without an answer".to_owned(),
        Err(error) => format!("no answer: {error}"),
    }
}

pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
