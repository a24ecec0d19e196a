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

    /// Returns the crash that ended a run whose connection broke, or `None` if the server still
    /// accepts connections. A server that only breaks responses off does.
    pub async fn find_crash(&self) -> Option<CrashId> {
        let connecting = timeout(CHECK_TIMEOUT, ClientConnection::open(self.backend));
        let error = connecting.await.ok()?.err()?;
        if error.kind() != io::ErrorKind::ConnectionRefused {
            return None;
        }
        let mut current = self.current.lock();
        let crash = current.get_or_insert_with(|| {
            self.count.fetch_add(1, Ordering::Relaxed);
            CrashId(rand::random())
        });
        Some(*crash)
    }
}
