//! Answers to callers.

use crate::{
    common::*,
    http1::message_head::RequestHead,
    mesh::{context_headers::ContextHeaders, peer_frame::RunAnswer},
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
    /// When the request was complete.
    pub received: Instant,
}

/// Why a daemon answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnAnswer {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// No instance of the service can take the request.
    NoInstance,
    /// All instances are full.
    Busy,
    /// The services that the request needs have no room for it.
    Shed,
    /// The daemon ends before the request could.
    Leaving,
    /// The budget for repeats is used up, and nothing was run.
    Budget,
    /// The time is over before the request was run.
    Expired,
    /// The request may have run and its answer is lost.
    Lost,
    /// No answer came in time.
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

impl OwnAnswer {
    /// Returns the status code.
    pub fn status(self) -> u16 {
        match self {
            Self::NoConfig
            | Self::NoInstance
            | Self::Busy
            | Self::Shed
            | Self::Leaving
            | Self::Budget
            | Self::Expired => 503,
            Self::NoRoute => 404,
            Self::Lost => 502,
            Self::Timeout => 504,
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::SlowCaller => 408,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::NoInstance => "no-instance",
            Self::Busy => "busy",
            Self::Shed => "shed",
            Self::Leaving => "leaving",
            Self::Budget => "budget",
            Self::Expired => "expired",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::SlowCaller => "slow-caller",
        }
    }

    /// Returns whether the connection ends with the answer.
    pub fn closes(self) -> bool {
        matches!(
            self,
            Self::Malformed | Self::HeadTooLarge | Self::BodyTooLarge | Self::SlowCaller
        )
    }
}

/// Answer to a caller.
#[derive(Debug)]
pub struct EntryAnswer {
    /// Status code.
    pub status: u16,
    /// Header lines without those that frame the message.
    pub lines: Bytes,
    /// Whole body.
    pub body: Bytes,
    /// Whether the connection ends with the answer.
    pub closes: bool,
}

impl EntryAnswer {
    /// Passes the answer of a backend server on.
    pub fn passed_on(answer: RunAnswer) -> Self {
        Self {
            status: answer.status,
            lines: answer.head,
            body: answer.body,
            closes: false,
        }
    }

    /// Creates an answer of the daemon itself.
    pub fn own(
        reason: OwnAnswer,
        retry_after: Option<Duration>,
        attempt: &[u8],
        headers: &ContextHeaders,
    ) -> Self {
        let mut lines = BytesMut::new();
        if !attempt.is_empty() {
            lines.extend_from_slice(headers.attempt.as_bytes());
            lines.extend_from_slice(b": ");
            lines.extend_from_slice(attempt);
            lines.extend_from_slice(b"\r\n");
        }
        if let Some(delay) = retry_after {
            let line = format!("{}: {:.3}\r\n", headers.retry_after_s, delay.as_secs_f64());
            lines.extend_from_slice(line.as_bytes());
        }
        lines.extend_from_slice(format!("skylark-reason: {}\r\n", reason.name()).as_bytes());
        Self {
            status: reason.status(),
            lines: lines.freeze(),
            body: Bytes::new(),
            closes: reason.closes(),
        }
    }

    /// Writes the answer as a message.
    pub fn encode(&self, closes: bool) -> BytesMut {
        let reason = StatusCode::from_u16(self.status)
            .ok()
            .and_then(|status| status.canonical_reason())
            .unwrap_or("Unknown");
        let mut message = BytesMut::with_capacity(self.lines.len() + self.body.len() + 128);
        let status = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        message.extend_from_slice(status.as_bytes());
        message.extend_from_slice(&self.lines);
        if !matches!(self.status, 204 | 304) {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            message.extend_from_slice(length.as_bytes());
        }
        if closes {
            message.extend_from_slice(b"Connection: close\r\n");
        }
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(&self.body);
        message
    }
}
