//! Connection pool of the local backend server.

use crate::{
    common::*,
    http1::{client_connection::ClientConnection, message_head::ResponseHead},
    mesh::backend_connection::BackendConnection,
};
use std::io;

/// Keep-alive time that is assumed for a server that states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Longest keep-alive time that is taken over from a server. Sums of longer ones with the clock can
/// overflow.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(60 * 60);

/// Time before the end of the keep-alive time in which a connection is not used any more.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Longest idle time of a connection for a request that may run at most once. Such a request cannot
/// be sent again if it is lost because the server closes the connection.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_secs(1);

/// Longest time to connect to the server, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    idle_since: Instant,
    max_idle: Duration,
}

/// Idle connections to the local backend server.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl BackendPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Takes the most recently used idle connection that has not carried the attempt, or opens a new
    /// one.
    pub async fn take(
        &self,
        attempt_id: &[u8],
        is_at_most_once: bool,
        now: Instant,
    ) -> io::Result<BackendConnection> {
        if let Some(connection) = self.take_idle(attempt_id, is_at_most_once, now) {
            return Ok(connection);
        }
        let connecting = ClientConnection::open(self.address);
        let client = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(client.into())
    }

    fn take_idle(
        &self,
        attempt_id: &[u8],
        is_at_most_once: bool,
        now: Instant,
    ) -> Option<BackendConnection> {
        let mut idle = self.idle.lock();
        idle.retain(|candidate| now < candidate.idle_since + candidate.max_idle);
        loop {
            let accepts = |candidate: &IdleConnection| candidate.connection.accepts(attempt_id);
            let index = idle.iter().rposition(accepts)?;
            if is_at_most_once && idle[index].idle_since + AT_MOST_ONCE_MAX_IDLE < now {
                return None;
            }
            let candidate = idle.remove(index);
            if candidate.connection.client.is_idle() {
                return Some(candidate.connection);
            }
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&self, connection: BackendConnection, head: &ResponseHead, now: Instant) {
        if connection.is_exhausted() {
            return;
        }
        let stated = head.headers.text("Keep-Alive").and_then(keep_alive_seconds);
        let keep_alive = stated.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs);
        let keep_alive = keep_alive.min(MAX_KEEP_ALIVE);
        self.put_for(connection, keep_alive, now);
    }

    /// Adds a connection to the pool that has carried no request.
    pub fn put_unused(&self, connection: ClientConnection, now: Instant) {
        self.put_for(connection.into(), DEFAULT_KEEP_ALIVE, now);
    }

    fn put_for(&self, connection: BackendConnection, keep_alive: Duration, now: Instant) {
        self.idle.lock().push(IdleConnection {
            connection,
            idle_since: now,
            max_idle: keep_alive.saturating_sub(KEEP_ALIVE_MARGIN),
        });
    }
}

fn keep_alive_seconds(text: &str) -> Option<u64> {
    let parameter = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    parameter.trim().parse().ok()
}
