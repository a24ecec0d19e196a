//! Detection of crashes of the local backend server.

use crate::{
    common::*, decision::mesh::crash_id::CrashId, http1::client_connection::ClientConnection,
};
use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};
use tokio::time::timeout;

/// Time within which a server that still runs accepts a connection. It is on the same machine.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// State of the local backend server after the connection of a run broke.
#[derive(Debug)]
pub enum ServerCheck {
    /// The server ended.
    Crashed(CrashId),
    /// The server accepted this connection, which carries no request yet.
    Running(ClientConnection),
    /// The server neither accepted nor refused a connection in time.
    Unknown,
}

/// Tells whether the local backend server ended when a run got no response.
#[derive(Debug)]
pub struct CrashMonitor {
    backend: SocketAddr,
    /// Crash after which the server has not responded yet. All runs that it broke have this id.
    current: Mutex<Option<CrashId>>,
    count: AtomicU64,
}

impl CrashMonitor {
    /// Creates a monitor of the backend server at an address.
    pub fn new(backend: SocketAddr) -> Self {
        Self {
            backend,
            current: Mutex::default(),
            count: AtomicU64::new(0),
        }
    }

    /// Returns the number of crashes.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Records that the server responded, so that the next crash is another one.
    pub fn record_response(&self) {
        *self.current.lock() = None;
    }

    /// Finds out why the connection of a run broke. A server that only breaks responses off accepts
    /// a new connection.
    pub async fn check(&self) -> ServerCheck {
        let connecting = timeout(CHECK_TIMEOUT, ClientConnection::open(self.backend));
        match connecting.await {
            Ok(Ok(connection)) => ServerCheck::Running(connection),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ServerCheck::Crashed(self.record_crash())
            }
            _ => ServerCheck::Unknown,
        }
    }

    fn record_crash(&self) -> CrashId {
        *self.current.lock().get_or_insert_with(|| {
            self.count.fetch_add(1, Ordering::Relaxed);
            CrashId(rand::random())
        })
    }
}
