//! Pool of idle HTTP/1.1 connections, by address.

use crate::{
    common::*,
    shell::progress_stream::{ConnectionProgress, ProgressStream},
};
use gotham::helpers::http::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use tokio::{net::TcpStream, task::AbortHandle};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time that a connection stays idle. It is shorter than the default time for which a
/// draining daemon refuses requests, so that no idle connection is in use when its listener closes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of idle connections for each address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Open connection. Dropping it closes the socket, which cancels its request at the receiver.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Body>,
    /// Progress of the connection.
    pub progress: Arc<ConnectionProgress>,
    /// Whether the connection has carried an earlier request.
    pub is_reused: bool,
    task: AbortHandle,
    address: SocketAddr,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// Idle connections, which all clones of a client share.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection, or opens one.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        match self.take(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Opens a new connection.
    pub async fn open(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (stream, progress) = ProgressStream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("client: The connection to {address} ended early: {error}.");
            }
        });
        Ok(PooledConnection {
            sender,
            progress,
            is_reused: false,
            task: task.abort_handle(),
            address,
        })
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&self, mut connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address).or_default();
        connections.retain(|entry| now.duration_since(entry.since) < IDLE_TIMEOUT);
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Removes and returns the most recently used connection that is ready. A connection that is
    /// still finishing its previous request stays in the pool, since waiting for it can take longer
    /// than opening another.
    fn take(&self, address: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|entry| {
            now.duration_since(entry.since) < IDLE_TIMEOUT && !entry.connection.sender.is_closed()
        });
        let ready = connections
            .iter()
            .rposition(|entry| entry.connection.sender.is_ready());
        let entry = ready.map(|index| connections.remove(index));
        if connections.is_empty() {
            idle.swap_remove(&address);
        }
        entry.map(|entry| entry.connection)
    }
}
