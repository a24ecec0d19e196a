//! Stand-in for an application upstream.

use crate::{
    http::{Message, read_message, write_response},
    record::Record,
};
use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// How an upstream answers.
#[derive(Clone)]
pub struct Behaviour {
    /// Time for which it works on a request.
    pub work: Duration,
    /// Body of its answers.
    pub body: Arc<Vec<u8>>,
    /// Body of its answers to requests for documents, whose path begins with `/doc/`.
    pub document: Arc<Vec<u8>>,
}

/// Returns a document of a size.
pub fn document(bytes: usize) -> Arc<Vec<u8>> {
    Arc::new((0..bytes).map(|index| (index % 251) as u8).collect())
}

/// Upstream of one service.
pub struct Upstream {
    /// Id of its lifetime.
    pub id: String,
    /// Service.
    pub service: &'static str,
    /// Address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: &'static str,
    behaviour: Behaviour,
    record: Arc<Record>,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
        behaviour: Behaviour,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service,
            address,
            zone,
            behaviour,
            record: Arc::clone(record),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(address)?;
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    server.connections.lock().unwrap().push(stream);
                }
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(upstream)
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str, sequence: u32) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":90,"state":"{state}","cold-remaining-s":0,"sequence":{sequence}}}"#,
            self.service, self.address, self.zone
        )
    }

    /// Returns the key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Announces on its connections that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends: it closes its listener and its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok((request, _)) = read_message(&mut stream) {
            if self.respond(&mut stream, &request).is_err() {
                return;
            }
            if self.is_leaving.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn respond(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        if request.target() == "/health" {
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let fields = format!("Instance-Id: {}\r\n", self.id);
            return write_response(stream, if is_leaving { 503 } else { 200 }, &fields, b"");
        }
        let Some(attempt) = request.field("Attempt-Id") else {
            return write_response(stream, 400, "Not-Executed: 1\r\n", b"");
        };
        let expected = request.field("Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let fields = format!("Instance-Id: {}\r\n", self.id);
            return write_response(stream, 421, &fields, b"");
        }
        self.record.run(attempt, &self.id);
        thread::sleep(self.behaviour.work);
        if self.has_ended.load(Ordering::SeqCst) {
            self.record
                .line(&format!("cut      {attempt} at {}: it has ended", self.id));
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let close = if self.is_leaving.load(Ordering::SeqCst) {
            "Connection: close\r\n"
        } else {
            ""
        };
        let fields = format!(
            "Attempt-Id: {attempt}\r\nServer-Signature: {}.{attempt}\r\nKeep-Alive: timeout=10\r\n{close}",
            self.id
        );
        let body = if request.target().starts_with("/doc/") {
            &self.behaviour.document
        } else {
            &self.behaviour.body
        };
        write_response(stream, 200, &fields, body)
    }
}
