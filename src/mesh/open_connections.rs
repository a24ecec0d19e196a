//! Connections to this daemon that are open, and how they are closed.

use crate::{common::*, http1::closing_stream::ClosingStream};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    sync::watch,
};

/// Open connections of callers and peers.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicU64,
    closing: AtomicU64,
    is_stopping: watch::Sender<bool>,
}

impl OpenConnections {
    /// Counts a connection as open until it is closed or dropped.
    pub fn register(self: &Arc<Self>) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection {
            connections: Arc::clone(self),
            last_message: None,
        }
    }

    /// Returns the number of connections that are open, including those that are being closed.
    pub fn count(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that this daemon has closed and the other end has not.
    pub fn closing_count(&self) -> u64 {
        self.closing.load(Ordering::Relaxed)
    }

    /// Closes all connections on which nothing is in progress.
    pub fn close_all(&self) {
        self.is_stopping.send_replace(true);
    }

    /// Waits until all connections are to be closed.
    pub async fn stopping(&self) {
        let mut is_stopping = self.is_stopping.subscribe();
        // The sender lives as long as `self`.
        let _ = is_stopping.wait_for(|is_stopping| *is_stopping).await;
    }
}

/// Connection that counts as open.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<OpenConnections>,
    /// When the last message was written that the other end has to receive.
    last_message: Option<Instant>,
}

impl OpenConnection {
    /// Records that a message was written which the other end has to receive.
    pub fn record_message(&mut self, now: Instant) {
        self.last_message = Some(now);
    }

    /// Closes the connection. If its last message was written within `delivery_time`, waits until the
    /// other end has closed it, too. An end that cannot be reached would hold up the stop of the daemon
    /// for nothing.
    pub async fn close<R, W>(
        self,
        reader: &mut R,
        writer: &mut W,
        delivery_time: Duration,
        now: Instant,
    ) where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        if self.last_message.is_none_or(|at| at + delivery_time <= now) {
            return;
        }
        let _closing = ClosingConnection::new(self);
        let mut stream = ClosingStream::new(tokio::io::join(reader, writer));
        if let Err(error) = stream.shutdown().await {
            log::debug!("listener: Cannot close a connection: {error}.");
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connection that this daemon has closed and the other end has not.
struct ClosingConnection {
    connection: OpenConnection,
}

impl ClosingConnection {
    fn new(connection: OpenConnection) -> Self {
        let closing = &connection.connections.closing;
        closing.fetch_add(1, Ordering::Relaxed);
        Self { connection }
    }
}

impl Drop for ClosingConnection {
    fn drop(&mut self) {
        let closing = &self.connection.connections.closing;
        closing.fetch_sub(1, Ordering::Relaxed);
    }
}
