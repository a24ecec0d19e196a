//! In-process stand-ins for the store and for backend servers.

use crate::http_text::{field, read_message};
use parking_lot::Mutex;
use skylarkstream::standin::loopback_address;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

/// Starts a server that sends `response` after the first bytes of each connection and then closes
/// it.
pub async fn serve_bytes(response: impl Into<String>) -> SocketAddr {
    let response = response.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(response.as_bytes()).await;
            let _ = stream.shutdown().await;
            // Without this read, data that the client sends later would reset the connection.
            let _ = stream.read(&mut head).await;
        }
    });
    address
}

/// Returns a port that is free on all loopback addresses that the tests use.
pub fn free_port() -> u16 {
    loopback_address::reserve().expect("a free port").port()
}

/// How a backend server handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs the request and responds with 200.
    Respond,
    /// Runs the request and responds only after `release` was notified.
    Hold,
    /// Runs the request and closes the connection without a response.
    CloseAfterRun,
    /// Responds with 503 and does not run the request.
    Refuse,
    /// Runs the request and responds with 500.
    Fail,
}

/// How a backend server sends a response that says that a request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalStyle {
    /// Once, with the id of the attempt.
    Once,
    /// With the id, and again ahead of the next response on the connection.
    Twice,
    /// Without the id, and again ahead of the next response on the connection.
    TwiceWithoutId,
}

/// Backend server that records the requests it runs.
pub struct BackendStandIn {
    /// Instance id.
    pub id: Mutex<String>,
    pub behaviour: Mutex<Behaviour>,
    /// Header lines that all responses have in addition.
    pub header_lines: Mutex<String>,
    /// Body of all successful responses, if it is not the default.
    pub body: Mutex<Option<String>>,
    /// Heads of the requests that were run.
    pub runs: Mutex<Vec<String>>,
    /// How refusals of requests are sent.
    pub refusals: Mutex<RefusalStyle>,
    /// Number of connections that were closed while a request was held.
    pub cancelled: Mutex<usize>,
    /// Lets the held requests complete.
    pub release: tokio::sync::Notify,
    address: SocketAddr,
    /// Listener and connections; `None` while the server is down.
    tasks: Mutex<Option<JoinSet<()>>>,
    /// Number of crashes.
    pub crashes: Mutex<usize>,
}

/// Path of the requests that crash the server that begins to run them.
pub const CRASH_PATH: &str = "/safe/crash";

impl BackendStandIn {
    pub async fn start(address: SocketAddr, id: &str) -> Arc<Self> {
        let server = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            behaviour: Mutex::new(Behaviour::Respond),
            header_lines: Mutex::default(),
            body: Mutex::default(),
            refusals: Mutex::new(RefusalStyle::Once),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            release: tokio::sync::Notify::new(),
            address,
            tasks: Mutex::default(),
            crashes: Mutex::default(),
        });
        server.restart().await;
        server
    }

    /// Starts the server again if it is down.
    pub async fn restart(self: &Arc<Self>) {
        if self.tasks.lock().is_some() {
            return;
        }
        let listener = TcpListener::bind(self.address).await.expect("the address");
        let serving = Arc::clone(self);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(Arc::clone(&serving).serve(stream));
            }
        });
        *self.tasks.lock() = Some(tasks);
    }

    /// Closes the listener and all connections.
    fn crash(&self) {
        if self.tasks.lock().take().is_some() {
            *self.crashes.lock() += 1;
        }
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    /// Sets the header lines that all responses have in addition.
    pub fn set_header_lines(&self, lines: &str) {
        *self.header_lines.lock() = lines.to_owned();
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().len()
    }

    /// Sends a response that says that a request was not run; returns the copy that is due ahead of
    /// the next response.
    async fn refuse(&self, stream: &mut TcpStream, attempt: &str, lines: &str) -> Option<String> {
        let style = *self.refusals.lock();
        let id_line = match style {
            RefusalStyle::TwiceWithoutId => String::new(),
            _ => format!("Attempt-Id: {attempt}\r\n"),
        };
        let response = format!("HTTP/1.1 {lines}{id_line}Content-Length: 0\r\n\r\n");
        let _ = stream.write_all(response.as_bytes()).await;
        (style != RefusalStyle::Once).then_some(response)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut copy: Option<String> = None;
        while let Some(head) = read_message(&mut stream).await {
            if let Some(copy) = copy.take() {
                let _ = stream.write_all(copy.as_bytes()).await;
            }
            let attempt = field(&head, "attempt-id").unwrap_or_default();
            let expected = field(&head, "expect-instance");
            let id = self.id.lock().clone();
            if expected.is_some_and(|expected| expected != id) {
                let lines = format!("421 Misdirected\r\nInstance-Id: {id}\r\n");
                copy = self.refuse(&mut stream, &attempt, &lines).await;
                continue;
            }
            let behaviour = *self.behaviour.lock();
            let lines = self.header_lines.lock().clone();
            if behaviour == Behaviour::Refuse {
                let lines = format!("503 Full\r\nNot-Executed: 1\r\n{lines}");
                copy = self.refuse(&mut stream, &attempt, &lines).await;
                continue;
            }
            self.runs.lock().push(head.clone());
            if head.contains(CRASH_PATH) {
                return self.crash();
            }
            if behaviour == Behaviour::CloseAfterRun {
                return;
            }
            if behaviour == Behaviour::Hold {
                let mut byte = [0];
                tokio::select! {
                    () = self.release.notified() => {}
                    _ = stream.read(&mut byte) => {
                        *self.cancelled.lock() += 1;
                        return;
                    }
                }
            }
            let status = if behaviour == Behaviour::Fail {
                "500 Failed"
            } else {
                "200 OK"
            };
            let body = self.body.lock().clone();
            let body = body.unwrap_or_else(|| format!("{id} ran {attempt}"));
            let response = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n{lines}\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Store with a route configuration and entries.
pub struct StoreStandIn {
    items: Mutex<Vec<(String, String)>>,
    revision: Mutex<u64>,
    /// Number of connections accepted so far.
    connections: Mutex<usize>,
    /// The connections up to this number stay open and get no more responses.
    silent_connections: Mutex<usize>,
    /// Time by which each response is late.
    response_delay: Mutex<Duration>,
    /// Era that all responses state, if any.
    era: Mutex<Option<String>>,
    /// Status of all responses.
    status: Mutex<u16>,
}

impl StoreStandIn {
    pub async fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.expect("the address");
        let store = Arc::new(Self {
            items: Mutex::default(),
            revision: Mutex::new(10),
            connections: Mutex::default(),
            silent_connections: Mutex::default(),
            response_delay: Mutex::default(),
            era: Mutex::default(),
            status: Mutex::new(200),
        });
        let serving = Arc::clone(&store);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut connections = serving.connections.lock();
                    *connections += 1;
                    *connections
                };
                tokio::spawn(Arc::clone(&serving).serve(stream, number));
            }
        });
        store
    }

    /// Sends no more responses on the connections that are open. New ones work.
    pub fn silence_connections(&self) {
        *self.silent_connections.lock() = *self.connections.lock();
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock();
        items.retain(|(existing, _)| existing != key);
        items.push((key.to_owned(), value.to_owned()));
        *self.revision.lock() += 1;
    }

    /// Comes back from a copy without any items, at an earlier revision.
    pub fn restore(&self, era: &str, revision: u64) {
        self.items.lock().clear();
        *self.revision.lock() = revision;
        *self.era.lock() = Some(era.to_owned());
    }

    /// Sets the status of all responses.
    pub fn set_status(&self, status: u16) {
        *self.status.lock() = status;
    }

    /// Sends no more responses on any connection.
    pub fn stop_responding(&self) {
        *self.silent_connections.lock() = usize::MAX;
    }

    /// Sends each response later by this time.
    pub fn delay_responses(&self, delay: Duration) {
        *self.response_delay.lock() = delay;
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        *self.connections.lock()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, number: usize) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        while let Some(head) = read_message(&mut stream).await {
            let prefix = key_prefix(&head);
            let is_watch = head.starts_with("GET /kv-watch");
            if is_watch {
                // A change that follows the read below is returned by the next watch.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if number <= *self.silent_connections.lock() {
                std::future::pending::<()>().await;
            }
            let delay = *self.response_delay.lock();
            tokio::time::sleep(delay).await;
            let revision = *self.revision.lock();
            let items: Vec<String> = self
                .items
                .lock()
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix))
                .map(|(key, value)| {
                    let value = STANDARD.encode(value);
                    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision}}}"#)
                })
                .collect();
            let items = items.join(",");
            let body = if is_watch {
                format!(r#"{{"events":[{items}],"as-of":{revision}}}"#)
            } else {
                format!(r#"{{"items":[{items}],"has-more":false,"as-of":{revision}}}"#)
            };
            let era = self.era.lock().clone();
            let era = era.map_or_else(String::new, |era| format!("Store-Era: {era}\r\n"));
            let status = *self.status.lock();
            let response = format!(
                "HTTP/1.1 {status} S\r\n{era}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the prefix of the keys that a call to the store asks for.
fn key_prefix(head: &str) -> String {
    let (_, rest) = head.split_once("prefix=").unwrap_or_default();
    let prefix = rest.split(['&', ' ']).next().unwrap_or_default();
    prefix.replace("%2F", "/")
}

/// Returns a configuration of this version with one safe route to the service `s`.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":"r{version}","routes":[{{"name":"safe","hostname":"h","prefix":"/safe/",
        "route-type":"safe","timeout-s":20,"target-latency-s":10,"priority":0,"service":"s",
        "max-attempts":2}}],"services":[]}}"#
    )
}

/// Returns the address 127.0.0.`number` with a port.
pub fn loopback(number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 0, number]), port)
}
