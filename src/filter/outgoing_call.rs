//! Call of the own backend server with all that a further attempt needs.

use crate::{
    common::*,
    decision::{
        once::ticket_id::TicketId, profile::service_profile::RetryLimits,
        request_context::RequestContext,
    },
    filter::{
        recorded_run::{self, CollectedBody},
        refusal::RefusalError,
    },
};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, uri::PathAndQuery};

/// Call that is being sent.
pub struct OutgoingCall {
    /// Called service.
    pub service: SmolStr,
    /// Context of the call that the backend server works on.
    pub context: RequestContext,
    /// Bounds on extra attempts to the service.
    pub retry: RetryLimits,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the backend server marks the call as a repetition.
    pub is_marked_retry: bool,
    /// Ticket, which fixes the upstream.
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
    /// Small body that can be sent again.
    Kept(Bytes),
    /// Body that streams and can be sent once.
    Streamed(Option<Body>),
}

impl CallBody {
    /// Collects a body that is known to be short.
    pub async fn read(body: Body) -> Result<Self, RefusalError> {
        if !recorded_run::is_short(&body) {
            return Ok(Self::Streamed(Some(body)));
        }
        match recorded_run::collect(body).await {
            CollectedBody::Whole(bytes) => Ok(Self::Kept(bytes)),
            CollectedBody::Long(body) => Ok(Self::Streamed(Some(body))),
            CollectedBody::Cut => Err(RefusalError::BodyCut),
        }
    }

    /// Returns whether a further attempt can send the body.
    pub fn is_repeatable(&self) -> bool {
        matches!(self, Self::Kept(_))
    }

    /// Returns the body for the next attempt.
    pub fn next_body(&mut self) -> Body {
        match self {
            Self::Kept(bytes) => recorded_run::full(bytes.clone()),
            Self::Streamed(body) => body.take().unwrap_or_default(),
        }
    }
}
