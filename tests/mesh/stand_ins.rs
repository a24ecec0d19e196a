//! Stand-ins for the store and for backend servers.

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
};

/// Serves connections that get `answer` after their first bytes and are closed.
pub async fn serve_bytes(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
            // Without this, bytes that the client sends later would reset the connection.
            let _ = stream.read(&mut head).await;
        }
    });
    address
}

/// Returns a port that is free on all loopback addresses of the tests.
pub fn free_port() -> u16 {
    loopback_address::reserve().expect("a free port").port()
}

/// What a backend server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers with 200.
    Answer,
    /// Answers only when the test allows it.
    Hold,
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Refuses without running the request.
    Refuse,
    /// Runs the request and answers with 500.
    Fail,
}

/// Backend server that records the requests it runs.
pub struct BackendStandIn {
    pub id: Mutex<String>,
    pub behaviour: Mutex<Behaviour>,
    /// Heads of the requests that were run.
    pub runs: Mutex<Vec<String>>,
    /// Connections that were closed while a request was held.
    pub cancelled: Mutex<usize>,
    pub release: tokio::sync::Notify,
}

impl BackendStandIn {
    pub async fn start(address: SocketAddr, id: &str) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.expect("the address");
        let server = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            behaviour: Mutex::new(Behaviour::Answer),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            release: tokio::sync::Notify::new(),
        });
        let serving = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&serving).serve(stream));
            }
        });
        server
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().len()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(head) = read_message(&mut stream).await {
            let attempt = field(&head, "attempt-id").unwrap_or_default();
            let expected = field(&head, "expect-instance");
            let id = self.id.lock().clone();
            if expected.is_some_and(|expected| expected != id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(answer.as_bytes()).await;
                continue;
            }
            let behaviour = *self.behaviour.lock();
            if behaviour == Behaviour::Refuse {
                let answer = format!(
                    "HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(answer.as_bytes()).await;
                continue;
            }
            self.runs.lock().push(head.clone());
            if behaviour == Behaviour::LoseAnswer {
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
            let body = format!("{id} ran {attempt}");
            let answer = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Store that holds a configuration and entries.
pub struct StoreStandIn {
    items: Mutex<Vec<(String, String)>>,
    revision: Mutex<u64>,
}

impl StoreStandIn {
    pub async fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.expect("the address");
        let store = Arc::new(Self {
            items: Mutex::default(),
            revision: Mutex::new(10),
        });
        let serving = Arc::clone(&store);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&serving).serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock();
        items.retain(|(known, _)| known != key);
        items.push((key.to_owned(), value.to_owned()));
        *self.revision.lock() += 1;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        while let Some(head) = read_message(&mut stream).await {
            let prefix = if head.contains("op%2F") {
                "op/"
            } else {
                "servers/"
            };
            let is_watch = head.starts_with("GET /kv-watch");
            if is_watch {
                // Changes are found by the next watch.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let revision = *self.revision.lock();
            let items: Vec<String> = self
                .items
                .lock()
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
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
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Loopback address number `number` with a port.
pub fn host(number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 0, number]), port)
}
