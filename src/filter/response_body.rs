//! Body of a response that keeps state alive until its end.

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
    /// The sender of the body ended it early or went silent.
    Cut,
    /// The receiver dropped the body before its end.
    Dropped,
}

/// Streams the body of a response and calls a function once at its end.
pub struct TrackedBody<F: FnOnce(BodyEnd) + Send + Unpin> {
    inner: Body,
    on_end: Option<F>,
}

impl<F: FnOnce(BodyEnd) + Send + Unpin + 'static> TrackedBody<F> {
    /// Wraps a body.
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
            Poll::Ready(Some(Err(_))) => self.end(BodyEnd::Cut),
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
