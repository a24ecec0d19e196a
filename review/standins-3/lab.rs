//! Stand-ins for the platform, upstreams and clients of a small deployment, and the daemons of the
//! repository as processes. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "hall.example";

// ---------------------------------------------------------------------------------------- record

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record of the case.
pub fn open_record(path: &Path) {
    let file = File::create(path).expect("cannot create the record");
    let _ = RECORD.set(Record {
        file: Mutex::new(file),
        start: Instant::now(),
    });
}

pub fn seconds() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |record| record.start.elapsed().as_secs_f64())
}

/// Writes one line with the time since the start of the case.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let line = format!("{:9.3} {text}\n", record.start.elapsed().as_secs_f64());
        let _ = record.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Writes one line to the record and to the standard output.
pub fn say(text: &str) {
    note(text);
    println!("{text}");
}

/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn could_not_run(text: &str) -> i32 {
    say(&format!("COULD NOT RUN: {text}"));
    2
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a random number.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(NEXT_ID.load(Ordering::Relaxed))
}

/// Returns the id of a new client attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

// ------------------------------------------------------------------------------------------ HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a message with a stated length or a chunked body; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length: usize = message
            .header("Content-Length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

// ----------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    revision: u64,
    created: u64,
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct StoreContent {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The platform's metadata store, as `PROTOCOL.md` describes what daemons call. A machine is known by
/// the address at which it calls.
pub struct Store {
    content: Mutex<StoreContent>,
    changed: Condvar,
    calls: AtomicUsize,
    /// Machines whose watch waits.
    watching: Mutex<Vec<IpAddr>>,
    /// Machines whose waiting watch is to be reset.
    resets: Mutex<Vec<IpAddr>>,
}

impl Store {
    /// Starts the store with one address for each machine, so that it knows who calls.
    pub fn start(addresses: &[SocketAddr]) -> Arc<Self> {
        let store = Arc::new(Self {
            content: Mutex::new(StoreContent {
                revision: 7,
                ..StoreContent::default()
            }),
            changed: Condvar::new(),
            calls: AtomicUsize::new(0),
            watching: Mutex::default(),
            resets: Mutex::default(),
        });
        for address in addresses {
            let listener = TcpListener::bind(address).expect("cannot bind the store");
            let server = Arc::clone(&store);
            let machine = address.ip();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let server = Arc::clone(&server);
                    thread::spawn(move || server.serve(stream, machine));
                }
            });
        }
        store
    }

    /// Writes an item, or deletes it without a value. Returns the revision: the confirmation.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let created = content.items.get(key).map_or(revision, |item| item.created);
        let value = value.map(|text| text.as_bytes().to_vec());
        note(&format!(
            "store: {} {key} at revision {revision}",
            if value.is_some() { "wrote" } else { "removed" }
        ));
        let item = Item {
            revision,
            created,
            value,
        };
        content.items.insert(key.to_owned(), item);
        self.changed.notify_all();
        revision
    }

    /// Resets the connections of some machines whose watches wait; returns those machines.
    /// Those that call at `spared` are not among them.
    pub fn reset_watches(&self, count: usize, spared: &[IpAddr]) -> Vec<IpAddr> {
        let mut machines = self.watching.lock().unwrap().clone();
        machines.sort_unstable();
        machines.dedup();
        machines.retain(|machine| !spared.contains(machine));
        machines.truncate(count);
        note(&format!("the store connections of {machines:?} are reset"));
        *self.resets.lock().unwrap() = machines.clone();
        let _content = self.content.lock().unwrap();
        self.changed.notify_all();
        machines
    }

    /// Returns the machines whose watches wait.
    pub fn watching(&self) -> Vec<IpAddr> {
        self.watching.lock().unwrap().clone()
    }

    fn take_reset(&self, caller: IpAddr) -> bool {
        let mut resets = self.resets.lock().unwrap();
        let place = resets.iter().position(|machine| *machine == caller);
        place.map(|place| resets.remove(place)).is_some()
    }

    fn serve(&self, stream: TcpStream, machine: IpAddr) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("cannot clone a connection");
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.read() {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let Some((status, body)) = self.respond(request.target(), machine) else {
                reset_on_close(&writer);
                return;
            };
            // An answer takes about 4 ms, and answers to several callers come in any order.
            thread::sleep(Duration::from_micros(3_000 + random() % 2_000));
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call; `None` if its watch was cut.
    fn respond(&self, target: &str, machine: IpAddr) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|part| part.split_once('='))
                .find(|(field, _)| *field == name)
                .map(|(_, value)| decode_percent(value))
        };
        let prefix = parameter("prefix").unwrap_or_default();
        match path {
            "/kv-range" => {
                let after = parameter("after").unwrap_or_default();
                let content = self.content.lock().unwrap();
                let items: Vec<String> = content
                    .items
                    .iter()
                    .filter(|(key, item)| {
                        key.starts_with(&prefix) && item.value.is_some() && **key > after
                    })
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let body = format!(
                    r#"{{"items":[{}],"has-more":false,"as-of":{}}}"#,
                    items.join(","),
                    content.revision
                );
                Some((200, body))
            }
            "/kv-watch" => {
                self.watching.lock().unwrap().push(machine);
                let _waiting = Waiting {
                    store: self,
                    machine,
                };
                let number =
                    |name: &str| parameter(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
                let until = Instant::now() + wait;
                let mut content = self.content.lock().unwrap();
                loop {
                    let events: Vec<String> = content
                        .items
                        .iter()
                        .filter(|(key, item)| key.starts_with(&prefix) && item.revision > after)
                        .map(|(key, item)| item_json(key, item))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"as-of":{}}}"#,
                            events.join(","),
                            content.revision
                        );
                        return Some((200, body));
                    }
                    if self.take_reset(machine) {
                        return None;
                    }
                    content = self.changed.wait_timeout(content, left).unwrap().0;
                }
            }
            _ => Some((404, String::new())),
        }
    }
}

/// Counts a machine as watching until this is dropped.
struct Waiting<'a> {
    store: &'a Store,
    machine: IpAddr,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut watching = self.store.watching.lock().unwrap();
        if let Some(place) = watching.iter().position(|machine| *machine == self.machine) {
            watching.swap_remove(place);
        }
    }
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Lets the end of a connection be a reset.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the descriptor is open, and the value has the stated length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
}

fn item_json(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":0}}"#,
            base64(value),
            item.revision,
            item.created
        ),
        None => format!(
            r#"{{"key":"{key}","revision":{},"tombstone":true}}"#,
            item.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .chain([&0, &0])
            .take(3)
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        for place in 0..4 {
            if place <= group.len() {
                text.push(LETTERS[(word >> (18 - 6 * place) & 63) as usize] as char);
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
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ------------------------------------------------------------------------------------- upstreams

/// What an upstream does with a request that it runs. Returns the bytes to send and whether the
/// connection stays open, or `None` to close it without an answer.
pub type Work = dyn Fn(&Upstream, &Message) -> Option<(Vec<u8>, bool)> + Send + Sync;

/// Application upstream beside one daemon.
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub outbound: SocketAddr,
    pub slots: usize,
    pub born: u64,
    pub sequence: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    pub has_ended: AtomicBool,
    pub connections: Mutex<Vec<TcpStream>>,
    running: AtomicUsize,
    work: Box<Work>,
}

/// Request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt_id: String,
    pub at: f64,
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        machine: &Machine,
        slots: usize,
        work: Box<Work>,
    ) -> Arc<Self> {
        let address = machine.address(machine.ports.app);
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            outbound: machine.address(machine.ports.outbound),
            slots,
            born: unix_ms(),
            sequence: AtomicU64::new(1),
            runs: Mutex::default(),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            running: AtomicUsize::new(0),
            work,
        });
        let listener = TcpListener::bind(address).expect("cannot bind an upstream");
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        upstream
    }

    /// Returns the entry of the upstream in the store.
    pub fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold-remaining-s":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    pub fn register(&self, store: &Store, state: &str) {
        store.put(&format!("servers/{}", self.id), Some(&self.entry(state)));
    }

    /// Ends the upstream: closes all connections, and accepts no further ones.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        note(&format!("upstream {} has ended", self.id));
    }

    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("cannot clone a connection");
        let copy = stream.try_clone().expect("cannot clone a connection");
        self.connections.lock().unwrap().push(copy);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.read() {
            let Some((answer, stays_open)) = self.answer(&request) else {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            };
            if writer.write_all(&answer).is_err() || !stays_open {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Message) -> Option<(Vec<u8>, bool)> {
        if request.target() == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return Some((text.into_bytes(), true));
        }
        let attempt_id = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let expected = request.header("Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            note(&format!("upstream {}: 421 to {attempt_id}", self.id));
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt_id}\r\nInstance-Id: \
                 {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return Some((text.into_bytes(), true));
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            note(&format!("upstream {}: full for {attempt_id}", self.id));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt_id}\r\nNot-Executed: \
                 1\r\nContent-Length: 0\r\n\r\n"
            );
            return Some((text.into_bytes(), true));
        }
        let run = Run {
            attempt_id: attempt_id.clone(),
            at: seconds(),
            target: request.target().to_owned(),
            headers: request.headers.clone(),
        };
        note(&format!(
            "upstream {} runs {attempt_id} {} {} with Deadline-Ms {}",
            self.id,
            request.method(),
            request.target(),
            request.header("Deadline-Ms").unwrap_or("none"),
        ));
        self.runs.lock().unwrap().push(run);
        let answer = (self.work)(self, request);
        self.running.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    /// Returns a complete answer of this upstream.
    pub fn ok(&self, request: &Message, body: &[u8]) -> (Vec<u8>, bool) {
        self.reply(request, 200, body)
    }

    pub fn reply(&self, request: &Message, status: u16, body: &[u8]) -> (Vec<u8>, bool) {
        let mut bytes = format!(
            "HTTP/1.1 {status} S\r\nAttempt-Id: {}\r\nServer-Signature: {}\r\nKeep-Alive: \
             timeout=10\r\nContent-Length: {}\r\n\r\n",
            request.header("Attempt-Id").unwrap_or_default(),
            self.signature(request),
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        (bytes, true)
    }

    pub fn signature(&self, request: &Message) -> String {
        let id = request.header("Attempt-Id").unwrap_or_default();
        format!("{}.{id}", self.id)
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

// --------------------------------------------------------------------------------------- clients

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
    pub headers: String,
}

impl Ask {
    pub fn new(method: &'static str, path: &str, deadline_ms: u64) -> Self {
        Self {
            id: new_id(),
            method,
            path: path.to_owned(),
            deadline_ms,
            body: Vec::new(),
            headers: String::new(),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n{}",
            self.method, self.path, self.id, self.deadline_ms, self.headers
        );
        if !self.body.is_empty() || self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What a client saw.
#[derive(Debug)]
pub enum Seen {
    Answer(Message),
    /// The connection ended or the client stopped waiting.
    Nothing(String),
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            Self::Nothing(_) => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Answer(message) => format!(
                "{} {} ({} bytes)",
                message.status(),
                message.header("skylark-reason").unwrap_or(""),
                message.body.len()
            ),
            Self::Nothing(reason) => format!("no answer: {reason}"),
        }
    }
}

/// Connection of a client that is kept for many requests.
pub struct Connection {
    stream: TcpStream,
    reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: Reader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Sends a request and waits for its answer until its time budget has passed.
    pub fn ask(&mut self, ask: &Ask) -> Seen {
        let wait = Duration::from_millis(ask.deadline_ms + 500);
        let _ = self.stream.set_read_timeout(Some(wait));
        if let Err(error) = self.stream.write_all(&ask.bytes()) {
            return Seen::Nothing(format!("cannot send: {error}"));
        }
        match self.reader.read() {
            Ok(Some(message)) => Seen::Answer(message),
            Ok(None) => Seen::Nothing("the connection was closed".to_owned()),
            Err(error) => Seen::Nothing(error.to_string()),
        }
    }
}

/// Sends one request on a new connection.
pub fn ask(address: SocketAddr, request: &Ask) -> Seen {
    match Connection::open(address) {
        Ok(mut connection) => connection.ask(request),
        Err(error) => Seen::Nothing(format!("cannot connect: {error}")),
    }
}

// --------------------------------------------------------------------------------------- daemons

/// Ports that are the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub inbound: u16,
    pub outbound: u16,
    pub ready: u16,
    pub app: u16,
    pub metrics: u16,
    pub store: u16,
}

/// Machine: a loopback address with a daemon and its upstream.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<String>,
    pub folder: PathBuf,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(self.ports.outbound)
    }

    /// Returns the settings that the template of the deploy file gives for this machine.
    fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let address = |port| self.address(port);
        format!(
            "instance = \"{}\"\ndata_centre = \"{}\"\nservice = \"{}\"\nbackend = \"{}\"\n\
             outbound = \"{}\"\npeer = \"{}\"\nmetrics = \"{}\"\nreadiness = \"{}\"\n\
             store = \"{}\"\nseeds = [{}]\ngrace_s = 6\n\n[budget]\nratio = 0.2\nslack = 47\n\
             window_s = 10\n\n[log]\nlevel = \"info\"\nformat = \"json\"\n",
            self.name,
            self.zone,
            self.service,
            address(self.ports.app),
            address(self.ports.outbound),
            address(self.ports.inbound),
            address(self.ports.metrics),
            address(self.ports.ready),
            self.store,
            seeds.join(", "),
        )
    }
}

/// Daemon process.
pub struct Daemon {
    pub machine: Machine,
    child: Mutex<Option<Child>>,
}

impl Daemon {
    pub fn start(machine: &Machine) -> Arc<Self> {
        let daemon = Arc::new(Self {
            machine: machine.clone(),
            child: Mutex::default(),
        });
        daemon.launch();
        daemon
    }

    /// Starts the process with the command of the deploy file.
    pub fn launch(&self) {
        let machine = &self.machine;
        let settings = machine.folder.join(format!("{}.toml", machine.name));
        fs::write(&settings, machine.settings()).expect("cannot write settings");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.folder.join(format!("{}.log", machine.name)))
            .expect("cannot open a log");
        let child = Command::new("target/release/skylarkstream")
            .arg("sidecar")
            .env_clear()
            .env("SKYLARKSTREAM_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("cannot clone a file"))
            .stderr(log)
            .spawn()
            .expect("cannot start a daemon; was it built?");
        let pid = machine.folder.join(format!("{}.pid", machine.name));
        fs::write(pid, child.id().to_string()).expect("cannot write a process id");
        note(&format!("daemon {} started", machine.name));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.pid();
        note(&format!("daemon {} gets {name}", self.machine.name));
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid.to_string())
            .status();
    }

    /// Returns whether the process still runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            let pid = format!("{}.pid", self.machine.name);
            let _ = fs::remove_file(self.machine.folder.join(pid));
            note(&format!("daemon {} killed", self.machine.name));
        }
    }

    /// Returns the status of the readiness check.
    pub fn readiness(&self) -> u16 {
        let address = self.machine.address(self.machine.ports.ready);
        let Ok(mut connection) = Connection::open(address) else {
            return 0;
        };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(1)));
        let text = "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        if connection.stream.write_all(text.as_bytes()).is_err() {
            return 0;
        }
        match connection.reader.read() {
            Ok(Some(message)) => message.status(),
            _ => 0,
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// ------------------------------------------------------------------------------------ deployment

/// Returns a port that is free on all loopback addresses.
pub fn free_port() -> u16 {
    static TAKEN: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    // Below the range from which the system takes the ports of outgoing connections.
    let first = 10_000 + (std::process::id() % 900) as u16 * 20;
    for port in first..first + 2_000 {
        if let Ok(listener) = TcpListener::bind(("0.0.0.0", port)) {
            let mut taken = TAKEN.lock().unwrap();
            let is_new = taken
                .iter()
                .all(|other| other.local_addr().map_or(true, |other| other.port() != port));
            drop(listener);
            if is_new && !USED.lock().unwrap().contains(&port) {
                USED.lock().unwrap().push(port);
                taken.truncate(0);
                return port;
            }
        }
    }
    panic!("no free port");
}

static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns the machines of a deployment, given as pairs of zone and service.
pub fn machines(places: &[(&str, &str)], folder: &Path) -> (Vec<Machine>, Arc<Store>) {
    let ports = Ports {
        inbound: free_port(),
        outbound: free_port(),
        ready: free_port(),
        app: free_port(),
        metrics: free_port(),
        store: free_port(),
    };
    let net = 1 + std::process::id() % 250;
    let store_address = |number: usize| -> SocketAddr {
        let text = format!("127.{net}.200.{}:{}", number + 10, ports.store);
        text.parse().expect("an address")
    };
    let store_addresses: Vec<_> = (0..places.len()).map(store_address).collect();
    let ip = |number: usize| format!("127.{net}.3.{}", number + 10);
    let seeds: Vec<String> = (0..places.len().min(3))
        .map(|number| format!("{}:{}", ip(number), ports.inbound))
        .collect();
    let machines = places.iter().enumerate().map(|(number, (zone, service))| Machine {
        name: format!("sidecar-{zone}-{number}"),
        ip: ip(number),
        zone: (*zone).to_owned(),
        service: (*service).to_owned(),
        ports,
        store: store_address(number),
        seeds: seeds.clone(),
        folder: folder.to_owned(),
    });
    (machines.collect(), Store::start(&store_addresses))
}

/// Route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub target_s: f64,
    pub priority: u8,
    pub max_attempts: u32,
}

/// Returns a configuration; the prefix of each route is its name.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"{}","hostname":"{HOST}","prefix":"/{}/","route-type":"{}","service":"{}","timeout-s":{},"target-latency-s":{},"priority":{},"max-attempts":{}}}"#,
                route.name,
                route.name,
                route.kind,
                route.service,
                route.timeout_s,
                route.target_s,
                route.priority,
                route.max_attempts
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","health-path":"/health"}}"#))
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Waits until all daemons say that they are ready.
pub fn wait_ready(daemons: &[Arc<Daemon>], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if daemons.iter().all(|daemon| daemon.readiness() == 200) {
            note("all daemons are ready");
            return true;
        }
        sleep_ms(100);
    }
    false
}
