//! TCP stream that reports its progress.

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

/// Progress of one connection, shared between its stream and the request that uses it.
#[derive(Debug)]
pub struct ConnectionProgress {
    opened: Instant,
    last_received_us: AtomicU64,
    written: AtomicU64,
}

impl ConnectionProgress {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            last_received_us: AtomicU64::new(0),
            written: AtomicU64::new(0),
        }
    }

    /// Returns the bytes that the operating system accepted so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Starts the wait for the next byte now.
    pub fn restart(&self) {
        let age = self.opened.elapsed().as_micros();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.last_received_us.store(age, Ordering::Release);
    }

    /// Returns the instant at which the connection counts as silent unless a byte arrives.
    pub fn silent_at(&self, limit: Duration) -> Instant {
        let last = self.last_received_us.load(Ordering::Acquire);
        self.opened + Duration::from_micros(last) + limit
    }

    /// Waits until no byte was received for `limit`.
    pub async fn silent(&self, limit: Duration) {
        loop {
            let at = self.silent_at(limit);
            if at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(at.into()).await;
        }
    }
}

/// TCP stream that records received and written bytes.
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

    fn count(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(length)) = result {
            self.progress
                .written
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
            self.progress.restart();
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
        self.count(&result);
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
        self.count(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
