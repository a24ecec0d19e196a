//! Response body that reports its end.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// How a response body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// The whole body was received.
    Complete,
    /// The sender closed the connection early or stalled.
    Truncated,
    /// The receiver dropped the body before its end.
    Dropped,
}

/// Streams the body of a response and calls a function once when it ends or is dropped.
pub struct TrackedBody<F: FnOnce(BodyEnd) + Send + Unpin> {
    inner: Body,
    on_end: Option<F>,
}

impl<F: FnOnce(BodyEnd) + Send + Unpin + 'static> TrackedBody<F> {
    /// Wraps a body. `on_end` is called at once if the body is empty.
    pub fn wrap(inner: Body, on_end: F) -> Body {
        let mut body = Self {
            inner,
            on_end: Some(on_end),
        };
        if body.inner.is_end_stream() {
            body.end(BodyEnd::Complete);
        }
        Body::new(body)
    }
}

impl<F: FnOnce(BodyEnd) + Send + Unpin> TrackedBody<F> {
    fn end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<F: FnOnce(BodyEnd) + Send + Unpin> HttpBody for TrackedBody<F> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.end(BodyEnd::Complete),
            Poll::Ready(Some(Err(_))) => self.end(BodyEnd::Truncated),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.end(BodyEnd::Complete),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F: FnOnce(BodyEnd) + Send + Unpin> Drop for TrackedBody<F> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
