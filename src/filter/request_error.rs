//! Errors of requests and the local responses that report them.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::ShedReason, request_priority::RequestPriority,
        retry::retry_after::RetryAfter, run_outcome::RunOutcome,
    },
    shell::header_names,
};
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

/// Reason why a daemon responds to a request itself, without a response of a backend server.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum RequestError {
    /// A header of the request context is missing or cannot be parsed.
    #[error("The header `{0}` cannot be read.")]
    BadHeader(SmolStr),
    /// The request belongs to another cluster.
    #[error("The request belongs to another cluster.")]
    WrongCluster,
    /// The chain of calls is too deep.
    #[error("The chain of calls is too deep.")]
    TooDeep,
    /// The daemon is starting.
    #[error("The instance does not serve yet.")]
    Starting,
    /// The daemon is draining.
    #[error("The instance is leaving and takes no new requests.")]
    Draining,
    /// No profile is in force yet.
    #[error("No profile is in force for the service `{0}` yet.")]
    NoProfile(SmolStr),
    /// The service is not declared in the settings.
    #[error("The service `{0}` is not declared in the settings of the daemon.")]
    UnknownService(SmolStr),
    /// The admission gate refused the request, or a threshold of a called service did.
    #[error("{}", shed_message(*.0))]
    Shed(ShedReason),
    /// The deadline passed before the request was sent.
    #[error("The deadline passed before the request was sent.")]
    DeadlineBefore,
    /// The deadline passed after the request was sent, so that it may have run.
    #[error("The deadline passed before a response arrived.")]
    DeadlineAfter,
    /// No connection to an upstream could be made, or no upstream is left to try.
    #[error("No upstream of the service `{0}` can be reached.")]
    NoUpstream(SmolStr),
    /// The connection broke after the request may have been sent.
    #[error("The connection broke before a response arrived.")]
    Broken,
    /// The body of the request ended early, before anything was sent.
    #[error("The body of the request ended early.")]
    BodyTruncated,
    /// The response belongs to another attempt.
    #[error("The response belongs to another attempt.")]
    WrongAttempt,
    /// The allowance or the budget of extra attempts is used up.
    #[error("The request has no extra attempts left.")]
    AllowanceSpent,
    /// The table of call ledgers is full.
    #[error("The daemon tracks too many calls.")]
    LedgersFull,
    /// The record of the runs of tickets or attempts is full.
    #[error("The record of requests is full.")]
    RecordFull,
    /// A resume request cancelled the attempt before the attempt itself arrived.
    #[error("The attempt was cancelled before it arrived.")]
    Cancelled,
    /// The request ran, but its response was not kept, for example because it is too large.
    #[error("The request ran, and its response is no longer available.")]
    ResponseNotKept,
    /// The route requires a ticket; the response has a new one in its ticket header.
    #[error("The route requires a ticket.")]
    TicketRequired(SmolStr),
    /// The ticket cannot be parsed or was not issued by the instance that it names.
    #[error("The ticket is not valid.")]
    TicketInvalid,
    /// The ticket was used with another method or path.
    #[error("The ticket was used for another request.")]
    TicketMismatch,
    /// The ticket expired, so that the record of its run may have been removed.
    #[error("The ticket expired.")]
    TicketExpired,
    /// The ticket was issued before the last restart of its executor, which lost its records.
    #[error("The executor of the ticket has restarted.")]
    ExecutorRestarted,
    /// The executor of the ticket is not in the instance list or cannot be reached.
    #[error("The executor of the ticket cannot be reached.")]
    ExecutorUnreachable,
    /// This attempt was not run, but an earlier one may have run, so that the outcome of the
    /// request is unknown.
    #[error("{0} An earlier attempt may have run.")]
    UnknownOutcome(Box<RequestError>),
}

/// Value of `retry-after` if it does not depend on the priority of the request, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

#[derive(Serialize)]
struct ErrorBody {
    outcome: &'static str,
    reason: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn shed_message(reason: ShedReason) -> &'static str {
    match reason {
        ShedReason::Deadline => "The request cannot finish before its deadline.",
        _ => "The service is overloaded.",
    }
}

impl RequestError {
    /// Returns whether the request ran, as far as is known.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::DeadlineAfter
            | Self::Broken
            | Self::WrongAttempt
            | Self::TicketExpired
            | Self::ExecutorRestarted
            | Self::ExecutorUnreachable
            | Self::UnknownOutcome(_) => RunOutcome::Unknown,
            Self::ResponseNotKept => RunOutcome::Ran,
            _ => RunOutcome::NotRun,
        }
    }

    /// Returns the value of the `skylark-reason` header.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::BadHeader(_) => "bad-header",
            Self::WrongCluster => "wrong-cluster",
            Self::TooDeep => "too-deep",
            Self::Starting => "starting",
            Self::Draining => "draining",
            Self::NoProfile(_) => "no-profile",
            Self::UnknownService(_) => "unknown-service",
            Self::Shed(reason) => reason.as_str(),
            Self::DeadlineBefore | Self::DeadlineAfter => "deadline",
            Self::NoUpstream(_) => "no-upstream",
            Self::Broken => "broken",
            Self::BodyTruncated => "body-cut",
            Self::WrongAttempt => "wrong-attempt",
            Self::AllowanceSpent => "allowance-spent",
            Self::LedgersFull => "ledgers-full",
            Self::RecordFull => "record-full",
            Self::Cancelled => "cancelled",
            Self::ResponseNotKept => "response-not-kept",
            Self::TicketRequired(_) => "ticket-required",
            Self::TicketInvalid => "ticket-invalid",
            Self::TicketMismatch => "ticket-mismatch",
            Self::TicketExpired => "ticket-expired",
            Self::ExecutorRestarted => "executor-restarted",
            Self::ExecutorUnreachable => "executor-away",
            Self::UnknownOutcome(error) => error.reason(),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHeader(_) | Self::WrongCluster | Self::BodyTruncated | Self::TicketInvalid => {
                StatusCode::BAD_REQUEST
            }
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::UnknownService(_) => StatusCode::NOT_FOUND,
            Self::DeadlineBefore | Self::DeadlineAfter | Self::Shed(ShedReason::Deadline) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::Broken | Self::WrongAttempt | Self::ResponseNotKept => StatusCode::BAD_GATEWAY,
            Self::Cancelled | Self::TicketExpired | Self::ExecutorRestarted => StatusCode::CONFLICT,
            Self::TicketRequired(_) => StatusCode::PRECONDITION_REQUIRED,
            Self::TicketMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::UnknownOutcome(error) => error.status(),
            Self::Starting
            | Self::Draining
            | Self::NoProfile(_)
            | Self::Shed(_)
            | Self::NoUpstream(_)
            | Self::AllowanceSpent
            | Self::LedgersFull
            | Self::RecordFull
            | Self::ExecutorUnreachable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Turns an error with the outcome "not run" into [`Self::UnknownOutcome`] if an earlier
    /// attempt at the request may have run, since only a record of that attempt can show that it
    /// was not run.
    pub fn with_unknown_outcome_if(self, may_have_run: bool) -> Self {
        if may_have_run && self.outcome() == RunOutcome::NotRun {
            Self::UnknownOutcome(Box::new(self))
        } else {
            self
        }
    }

    /// Builds the local response.
    pub fn to_response(&self) -> Response<Body> {
        self.build(DEFAULT_RETRY_AFTER_MS)
    }

    /// Builds the local response with a `retry-after` that depends on the rank, so that callers do
    /// not all retry at the same time.
    pub fn to_response_for(
        &self,
        priority: RequestPriority,
        retry_after: &RetryAfter,
    ) -> Response<Body> {
        let delay = retry_after.for_request(priority);
        self.build(delay.as_millis() as u64)
    }

    fn build(&self, retry_after_ms: u64) -> Response<Body> {
        let retry_after_ms =
            (self.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(retry_after_ms);
        let body = ErrorBody {
            outcome: self.outcome().as_str(),
            reason: self.reason(),
            message: self.to_string(),
            retry_after_ms,
        };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let mut response =
            Response::new(Body::new(Full::from(bytes).map_err(|never| match never {})));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(
            header_names::OUTCOME,
            HeaderValue::from_static(self.outcome().as_str()),
        );
        headers.insert(
            header_names::REASON,
            HeaderValue::from_static(self.reason()),
        );
        if let Self::TicketRequired(ticket) = self
            && let Ok(value) = HeaderValue::from_str(ticket)
        {
            headers.insert(header_names::TICKET, value);
        }
        if let Some(ms) = retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        response
    }
}
