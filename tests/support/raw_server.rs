//! HTTP server on plain TCP whose responses are scripted by the test.

use super::listener;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Action of the server for a request.
#[derive(Clone)]
pub enum ServerAction {
    /// Writes bytes and keeps the connection open.
    Send(String),
    /// Writes bytes and closes the connection.
    SendThenClose(String),
    /// Waits, writes bytes and keeps the connection open.
    SendAfterDelay(Duration, String),
    /// Never responds; the connection stays open.
    Hold,
}

/// Request as received.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub head: String,
    /// Whether the complete body arrived.
    pub is_complete: bool,
}

impl RawRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// Scripted server that records the requests it receives.
#[derive(Clone)]
pub struct RawServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    connections: Arc<AtomicUsize>,
    cancelled: Arc<AtomicUsize>,
}

type Script = dyn Fn(usize, &RawRequest) -> ServerAction + Send + Sync;

impl RawServer {
    /// Starts a server. The script receives the number of the request, from 0, and the request.
    pub async fn start(
        script: impl Fn(usize, &RawRequest) -> ServerAction + Send + Sync + 'static,
    ) -> Self {
        let listener = listener().await;
        let server = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
            cancelled: Arc::default(),
        };
        let script: Arc<Script> = Arc::new(script);
        let shared = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let (server, script) = (shared.clone(), Arc::clone(&script));
                tokio::spawn(async move { server.serve(stream, &*script).await });
            }
        });
        server
    }

    /// Starts a server that responds to each request with its number.
    pub async fn with_numbered_responses() -> Self {
        Self::start(|number, _| ServerAction::Send(ok(&format!("run {number}")))).await
    }

    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the number of complete requests.
    pub fn runs(&self) -> usize {
        self.requests()
            .iter()
            .filter(|request| request.is_complete)
            .count()
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose connection the sender closed before the response.
    pub fn cancelled(&self) -> usize {
        self.cancelled.load(Ordering::SeqCst)
    }

    async fn serve(&self, mut stream: TcpStream, script: &Script) {
        while let Some(request) = read_request(&mut stream).await {
            let number = {
                let mut requests = self.requests.lock().unwrap();
                requests.push(request.clone());
                requests.len() - 1
            };
            if !request.is_complete {
                return;
            }
            match script(number, &request) {
                ServerAction::Send(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                ServerAction::SendThenClose(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    return;
                }
                ServerAction::SendAfterDelay(delay, text) => {
                    let mut byte = [0];
                    tokio::select! {
                        () = tokio::time::sleep(delay) => {}
                        _ = stream.read(&mut byte) => {
                            self.cancelled.fetch_add(1, Ordering::SeqCst);
                            return;
                        }
                    }
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                ServerAction::Hold => {
                    let mut byte = [0];
                    let _ = stream.read(&mut byte).await;
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                    return;
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let mut request = RawRequest {
        head: String::from_utf8(bytes).unwrap(),
        is_complete: false,
    };
    let length = request
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    request.is_complete = stream.read_exact(&mut body).await.is_ok();
    Some(request)
}

/// Returns a complete response with status 200 and a body.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
