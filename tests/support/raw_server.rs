//! TCP server that answers each request as a script says.

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

/// What the server does with a request.
#[derive(Clone)]
pub enum Act {
    /// Writes bytes and continues with the connection.
    Send(String),
    /// Writes bytes and closes the connection.
    SendClose(String),
    /// Waits, writes bytes and continues with the connection.
    SendLate(Duration, String),
    /// Never answers; the connection stays open.
    Hold,
}

/// Request as it arrived.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub head: String,
    /// Whether the whole body arrived.
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

/// Server with the requests that it received.
#[derive(Clone)]
pub struct RawServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    connections: Arc<AtomicUsize>,
    cancelled: Arc<AtomicUsize>,
}

type Script = dyn Fn(usize, &RawRequest) -> Act + Send + Sync;

impl RawServer {
    /// Starts a server; the script gets the number of the request, counted from 0.
    pub async fn start(script: impl Fn(usize, &RawRequest) -> Act + Send + Sync + 'static) -> Self {
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

    /// Starts a server that answers each request with its number.
    pub async fn counting() -> Self {
        Self::start(|number, _| Act::Send(ok(&format!("run {number}")))).await
    }

    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Number of complete requests.
    pub fn runs(&self) -> usize {
        self.requests()
            .iter()
            .filter(|request| request.is_complete)
            .count()
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of held requests whose connection the sender closed.
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
                Act::Send(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Act::SendClose(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    return;
                }
                Act::SendLate(wait, text) => {
                    let mut byte = [0];
                    tokio::select! {
                        () = tokio::time::sleep(wait) => {}
                        _ = stream.read(&mut byte) => {
                            self.cancelled.fetch_add(1, Ordering::SeqCst);
                            return;
                        }
                    }
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Act::Hold => {
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

/// Complete response with a body.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
