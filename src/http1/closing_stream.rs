//! Stream that is closed only when the other end has received everything.

use crate::common::*;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Sleep,
};

/// Longest time for which a stream stays open after the shutdown of its sending side. It is the longest
/// time for writing a response to a caller.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of one read of bytes that are discarded.
const DISCARD_BYTES: usize = 1 << 10;

/// Stream whose shutdown waits until the other end has closed it, too.
///
/// Only then the other end is known to have received everything: data that arrives at a socket which
/// is closed resets the connection and destroys what was not delivered yet. After the shutdown, what
/// the other end still sends is discarded.
#[derive(Debug)]
pub struct ClosingStream<S> {
    inner: S,
    /// End of the wait for the other end; `None` before the shutdown.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl<S> ClosingStream<S> {
    /// Wraps a stream.
    pub fn new(inner: S) -> Self {
        Self {
            inner,
            timeout: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClosingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClosingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { inner, timeout } = self.get_mut();
        if timeout.is_none() {
            ready!(Pin::new(&mut *inner).poll_shutdown(context))?;
        }
        let timeout = timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep(CLOSE_TIMEOUT)));
        loop {
            if timeout.as_mut().poll(context).is_ready() {
                log::debug!("listener: The other end did not close a connection in time.");
                return Poll::Ready(Ok(()));
            }
            let mut bytes = [0; DISCARD_BYTES];
            let mut discarded = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *inner).poll_read(context, &mut discarded));
            if read.is_err() || discarded.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
