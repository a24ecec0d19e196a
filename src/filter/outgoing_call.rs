//! Call of the backend server to another service, as needed for each attempt.

use crate::{
    common::*,
    decision::{
        once::ticket_id::TicketId, profile::service_profile::RetryLimits,
        request_context::RequestContext,
    },
    filter::{
        recorded_run::{self, CollectedBody},
        request_error::RequestError,
    },
};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, uri::PathAndQuery};

/// Call to another service.
pub struct OutgoingCall {
    /// Called service.
    pub service: SmolStr,
    /// Context of the call that the backend server works on and that makes this call.
    pub context: RequestContext,
    /// Limits on extra attempts at the service.
    pub retry: RetryLimits,
    /// Whether the request is idempotent, so that it may run more than once.
    pub is_idempotent: bool,
    /// Whether the backend server marked the call as a retry.
    pub is_marked_retry: bool,
    /// Ticket, if any. It determines the upstream.
    pub ticket: Option<TicketId>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers without context headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: CallBody,
}

/// Body of an outgoing call.
pub enum CallBody {
    /// Short body that can be sent more than once.
    Buffered(Bytes),
    /// Body that is streamed and can be sent once; `None` after that.
    Streamed(Option<Body>),
}

impl CallBody {
    /// Buffers the body if its length is known and short, or else keeps it as a stream.
    pub async fn read(body: Body) -> Result<Self, RequestError> {
        if !recorded_run::is_short(&body) {
            return Ok(Self::Streamed(Some(body)));
        }
        match recorded_run::collect(body).await {
            CollectedBody::Whole(bytes) => Ok(Self::Buffered(bytes)),
            CollectedBody::Long(body) => Ok(Self::Streamed(Some(body))),
            CollectedBody::Truncated => Err(RequestError::BodyTruncated),
        }
    }

    /// Returns whether the body can be sent again by another attempt.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body for the next attempt.
    pub fn next_body(&mut self) -> Body {
        match self {
            Self::Buffered(bytes) => recorded_run::full_body(bytes.clone()),
            Self::Streamed(body) => body.take().unwrap_or_default(),
        }
    }
}
