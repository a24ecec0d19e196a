//! Requests of callers and responses to them.

use crate::{
    common::*,
    http1::{header_list::put_field, message_head::RequestHead},
    mesh::{context_headers::ContextHeaders, peer_frame::RunResponse},
};
use bytes::{Bytes, BytesMut};
use http::StatusCode;

/// Request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// Time at which the request was complete.
    pub received: Instant,
}

/// Reason for a local response, which the daemon makes itself instead of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LocalReason {
    /// No configuration has been received yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The request has no key of an organisation.
    MissingKey,
    /// No organisation holds the key of the request.
    UnknownKey,
    /// The configuration has not been confirmed recently enough to accept keys.
    OutdatedKeys,
    /// The allotment of the organisation is used up.
    OverAllotment {
        /// Time until a request of the organisation may be admitted here.
        wait: Duration,
    },
    /// No instance of the service is available for the request.
    NoInstance,
    /// The instances that were tried have no free slot or cannot be reached.
    Busy,
    /// The admission plan has no capacity for the request at the services that it needs.
    Shed,
    /// The daemon stops before the request could complete.
    Leaving,
    /// The retry budget or the allowed attempts are used up, and nothing was run.
    Budget,
    /// Several backend servers ended while they ran the request earlier.
    CrashSuspect,
    /// The deadline passed before the request was run.
    Expired,
    /// The request may have run and its response is lost.
    Lost,
    /// No response arrived in time.
    Timeout,
    /// The request violates the protocol.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The caller took too long to send its request.
    SlowCaller,
}

impl LocalReason {
    /// Returns the status code.
    pub fn status(self) -> u16 {
        match self {
            Self::NoConfig
            | Self::OutdatedKeys
            | Self::NoInstance
            | Self::Busy
            | Self::Shed
            | Self::Leaving
            | Self::Budget
            | Self::CrashSuspect
            | Self::Expired => 503,
            Self::NoRoute => 404,
            Self::MissingKey | Self::UnknownKey => 401,
            Self::OverAllotment { .. } => 429,
            Self::Lost => 502,
            Self::Timeout => 504,
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::SlowCaller => 408,
        }
    }

    /// Returns the name that is used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::MissingKey => "missing-key",
            Self::UnknownKey => "unknown-key",
            Self::OutdatedKeys => "outdated-keys",
            Self::OverAllotment { .. } => "over-allotment",
            Self::NoInstance => "no-instance",
            Self::Busy => "busy",
            Self::Shed => "shed",
            Self::Leaving => "leaving",
            Self::Budget => "budget",
            Self::CrashSuspect => "crash-suspect",
            Self::Expired => "expired",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::SlowCaller => "slow-caller",
        }
    }

    /// Returns whether the response promises that the request was not run, and asks the caller to
    /// return.
    pub fn is_refusal(self) -> bool {
        matches!(self.status(), 429 | 503)
    }

    /// Returns whether an admitted request failed since the service had no slot for it in time.
    pub fn is_overload(self) -> bool {
        matches!(self, Self::Busy | Self::Expired)
    }
}

/// Response to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Status code.
    pub status: u16,
    /// Header lines, without the fields that frame the message.
    pub header_lines: Bytes,
    /// Whole body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Creates a response from that of a backend server.
    pub fn forwarded(response: RunResponse) -> Self {
        Self {
            status: response.status,
            header_lines: response.head,
            body: response.body,
        }
    }

    /// Creates a local response.
    pub fn local(
        reason: LocalReason,
        retry_after: Option<Duration>,
        attempt_id: &[u8],
        headers: &ContextHeaders,
    ) -> Self {
        let mut header_lines = BytesMut::new();
        if !attempt_id.is_empty() {
            put_field(&mut header_lines, headers.attempt.as_bytes(), attempt_id);
        }
        if let Some(delay) = retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            let name = headers.retry_after_s.as_bytes();
            put_field(&mut header_lines, name, seconds.as_bytes());
        }
        put_field(
            &mut header_lines,
            b"skylark-reason",
            reason.name().as_bytes(),
        );
        Self {
            status: reason.status(),
            header_lines: header_lines.freeze(),
            body: Bytes::new(),
        }
    }

    /// Encodes the response as an HTTP/1.1 message.
    pub fn encode(&self, closes_connection: bool) -> BytesMut {
        let reason = StatusCode::from_u16(self.status)
            .ok()
            .and_then(|status| status.canonical_reason())
            .unwrap_or("Unknown");
        let mut message = BytesMut::with_capacity(self.header_lines.len() + self.body.len() + 128);
        let status = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        message.extend_from_slice(status.as_bytes());
        message.extend_from_slice(&self.header_lines);
        if !matches!(self.status, 204 | 304) {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            message.extend_from_slice(length.as_bytes());
        }
        if closes_connection {
            message.extend_from_slice(b"Connection: close\r\n");
        }
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(&self.body);
        message
    }
}
