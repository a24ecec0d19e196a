//! Requests that are read from the connection of a caller.

use crate::{
    common::*,
    decision::mesh::route_table::CallerLimits,
    http1::{
        body_decoder::BodyDecoder,
        message_head::{MessageError, RequestHead},
    },
    mesh::caller_response::CallerRequest,
};
use bytes::BytesMut;

/// Progress in reading the next request.
enum ReadProgress {
    /// The head is incomplete; `since` is the time of its first byte.
    Head { since: Option<Instant> },
    /// The body is incomplete.
    Body {
        head: Box<RequestHead>,
        decoder: BodyDecoder,
        body: BytesMut,
    },
}

/// Splits the bytes of a caller into requests.
pub struct RequestReader {
    /// Bytes that were received and not decoded yet.
    pub input: BytesMut,
    progress: ReadProgress,
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new() -> Self {
        Self {
            input: BytesMut::new(),
            progress: ReadProgress::Head { since: None },
        }
    }

    /// Returns whether no byte of a further request has been received.
    pub fn is_between_requests(&self) -> bool {
        self.input.is_empty() && matches!(self.progress, ReadProgress::Head { since: None })
    }

    /// Returns when the first byte of a head was received that is still incomplete.
    pub fn head_since(&self) -> Option<Instant> {
        match self.progress {
            ReadProgress::Head { since } => since,
            ReadProgress::Body { .. } => None,
        }
    }

    /// Returns whether the caller waits for a `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        match &self.progress {
            ReadProgress::Body { head, body, .. } => {
                body.is_empty() && head.headers.has_token("Expect", "100-continue")
            }
            ReadProgress::Head { .. } => false,
        }
    }

    /// Removes the next request from the input; returns `None` while it is incomplete.
    pub fn take_request(
        &mut self,
        limits: &CallerLimits,
        now: Instant,
    ) -> Result<Option<CallerRequest>, MessageError> {
        if let ReadProgress::Head { since } = &mut self.progress {
            let Some(head) = RequestHead::parse(&mut self.input, limits.header_bytes)? else {
                *since = match *since {
                    _ if self.input.is_empty() => None,
                    None => Some(now),
                    since => since,
                };
                return Ok(None);
            };
            self.progress = ReadProgress::Body {
                decoder: BodyDecoder::new(head.body_length()?),
                head: Box::new(head),
                body: BytesMut::new(),
            };
        }
        if let ReadProgress::Body { decoder, body, .. } = &mut self.progress
            && !decoder.decode(&mut self.input, body, limits.body_bytes)?
        {
            return Ok(None);
        }
        let next = ReadProgress::Head { since: None };
        let ReadProgress::Body { head, body, .. } = std::mem::replace(&mut self.progress, next)
        else {
            return Ok(None);
        };
        Ok(Some(CallerRequest {
            head: *head,
            body: body.freeze(),
            received: now,
        }))
    }
}

impl Default for RequestReader {
    fn default() -> Self {
        Self::new()
    }
}
