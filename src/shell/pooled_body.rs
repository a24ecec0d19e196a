//! Response body that returns its connection to the pool.

use crate::{
    common::*,
    shell::{
        connection_pool::{ConnectionPool, PooledConnection},
        progress_stream::ConnectionProgress,
    },
};
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::Sleep;

/// Streamed response body. The connection returns to the pool after the last byte; it is closed if
/// the transfer fails, stalls or is dropped before its end.
#[derive(Debug)]
pub struct PooledBody {
    inner: Incoming,
    connection: Option<PooledConnection>,
    pool: Arc<ConnectionPool>,
    stall_timer: Option<StallTimer>,
}

#[derive(Debug)]
struct StallTimer {
    timeout: Duration,
    progress: Arc<ConnectionProgress>,
    sleep: Pin<Box<Sleep>>,
}

impl PooledBody {
    /// Wraps a body. `progress_timeout` is the maximum time without a received byte.
    pub fn new(
        inner: Incoming,
        connection: PooledConnection,
        pool: Arc<ConnectionPool>,
        progress_timeout: Option<Duration>,
    ) -> Self {
        let progress = Arc::clone(&connection.progress);
        let stall_timer = progress_timeout
            .filter(|_| !inner.is_end_stream())
            .map(|timeout| {
                let at = progress.stalls_at(timeout);
                StallTimer {
                    timeout,
                    progress,
                    sleep: Box::pin(tokio::time::sleep_until(at.into())),
                }
            });
        let mut body = Self {
            inner,
            connection: Some(connection),
            pool,
            stall_timer,
        };
        if body.inner.is_end_stream() {
            body.release();
        }
        body
    }

    fn release(&mut self) {
        self.stall_timer = None;
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }

    fn close(&mut self) {
        self.stall_timer = None;
        self.connection = None;
    }
}

impl StallTimer {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.sleep.as_mut().poll(context).is_ready() {
            let at = self.progress.stalls_at(self.timeout);
            if at <= Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(at.into());
        }
        Poll::Pending
    }
}

impl HttpBody for PooledBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match polled {
            Poll::Ready(None) => {
                self.release();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                if self.inner.is_end_stream() {
                    self.release();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.close();
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Pending => {
                let stalled = self.stall_timer.as_mut().map(|timer| timer.poll(context));
                if stalled != Some(Poll::Ready(())) {
                    return Poll::Pending;
                }
                self.close();
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
