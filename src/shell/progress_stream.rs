//! TCP stream that records when it last received a byte and how many bytes it wrote.

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

/// Progress of a connection, shared by its stream and the request that uses it.
#[derive(Debug)]
pub struct ConnectionProgress {
    opened: Instant,
    last_received_us: AtomicU64,
    written_bytes: AtomicU64,
}

impl ConnectionProgress {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            last_received_us: AtomicU64::new(0),
            written_bytes: AtomicU64::new(0),
        }
    }

    /// Returns the number of bytes that the operating system has accepted.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Acquire)
    }

    /// Restarts the time to the next received byte.
    pub fn restart_timeout(&self) {
        let age = self.opened.elapsed().as_micros();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.last_received_us.store(age, Ordering::Release);
    }

    /// Returns when the connection counts as stalled unless a byte arrives before then.
    pub fn stalls_at(&self, timeout: Duration) -> Instant {
        let last = self.last_received_us.load(Ordering::Acquire);
        self.opened + Duration::from_micros(last) + timeout
    }

    /// Waits until no byte was received for `timeout`.
    pub async fn wait_for_stall(&self, timeout: Duration) {
        loop {
            let at = self.stalls_at(timeout);
            if at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(at.into()).await;
        }
    }
}

/// TCP stream that updates its [`ConnectionProgress`].
#[derive(Debug)]
pub struct ProgressStream {
    inner: TcpStream,
    progress: Arc<ConnectionProgress>,
}

impl ProgressStream {
    /// Wraps a connected stream.
    pub fn new(inner: TcpStream) -> (Self, Arc<ConnectionProgress>) {
        let progress = Arc::new(ConnectionProgress::new());
        let stream = Self {
            inner,
            progress: Arc::clone(&progress),
        };
        (stream, progress)
    }

    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(length)) = result {
            self.progress
                .written_bytes
                .fetch_add(*length as u64, Ordering::AcqRel);
        }
    }
}

impl AsyncRead for ProgressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.progress.restart_timeout();
        }
        result
    }
}

impl AsyncWrite for ProgressStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.count_written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.count_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
