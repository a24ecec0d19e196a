//! Connections to the own backend server.

use crate::{
    common::*,
    http1::{client_connection::ClientConnection, message_head::ResponseHead},
};
use std::io;

/// Idle time after which a server without a stated one may close a connection.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// Time before the stated end of an idle connection in which it is not used any more.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Longest idle time of a connection that carries a request that may run only once. A request that
/// is lost on a closing connection cannot be sent again.
const ONCE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Longest time to make a connection to a server on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    since: Instant,
    lifetime: Duration,
}

/// Idle connections to the own backend server.
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

    /// Takes the most recently used connection, or opens a new one.
    pub async fn take(&self, is_once: bool, now: Instant) -> io::Result<ClientConnection> {
        if let Some(connection) = self.take_idle(is_once, now) {
            return Ok(connection);
        }
        let opening = ClientConnection::open(self.address);
        tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    fn take_idle(&self, is_once: bool, now: Instant) -> Option<ClientConnection> {
        let mut idle = self.idle.lock();
        idle.retain(|entry| now < entry.since + entry.lifetime);
        while let Some(entry) = idle.pop() {
            if is_once && entry.since + ONCE_IDLE_TIME < now {
                idle.push(entry);
                return None;
            }
            if entry.connection.is_idle() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Puts a connection back after a complete answer.
    pub fn put(&self, connection: ClientConnection, head: &ResponseHead, now: Instant) {
        let stated = head.headers.text("Keep-Alive").and_then(keep_alive_seconds);
        let idle_time = stated.map_or(DEFAULT_IDLE_TIME, Duration::from_secs);
        self.idle.lock().push(IdleConnection {
            connection,
            since: now,
            lifetime: idle_time.saturating_sub(IDLE_MARGIN),
        });
    }
}

fn keep_alive_seconds(text: &str) -> Option<u64> {
    let parameter = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    parameter.trim().parse().ok()
}
