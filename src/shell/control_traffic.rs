//! Counters of the bytes on control connections.

use crate::common::*;
use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes sent and received on control connections, without TCP/IP headers.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Snapshot of [`ControlTraffic`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct TrafficReport {
    /// Bytes sent since the start.
    pub sent_bytes: u64,
    /// Bytes received since the start.
    pub received_bytes: u64,
}

impl ControlTraffic {
    /// Returns a snapshot of the counters.
    pub fn report(&self) -> TrafficReport {
        TrafficReport {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
        }
    }
}

/// TCP stream that counts its bytes.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<ControlTraffic>,
}

impl CountedStream {
    /// Wraps a stream whose bytes are added to `traffic`.
    pub fn new(stream: TcpStream, traffic: Arc<ControlTraffic>) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - before) as u64;
        self.traffic.received.fetch_add(count, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = result {
            self.traffic.sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
