//! Responses to requests that the daemon does not complete.

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

/// Why a request has no response of a backend server.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum RefusalError {
    /// A context header of a peer cannot be read.
    #[error("The header `{0}` cannot be read.")]
    BadHeader(SmolStr),
    /// The request belongs to another cluster.
    #[error("The request belongs to another cluster.")]
    WrongCluster,
    /// The chain of calls is too deep.
    #[error("The chain of calls is too deep.")]
    TooDeep,
    /// The daemon does not serve yet.
    #[error("The instance does not serve yet.")]
    Starting,
    /// The daemon drains.
    #[error("The instance is leaving and takes no new requests.")]
    Draining,
    /// No profile is in force yet.
    #[error("No profile is in force for the service `{0}` yet.")]
    NoProfile(SmolStr),
    /// The service is not declared in the settings.
    #[error("The service `{0}` is not declared in the settings of the daemon.")]
    UnknownService(SmolStr),
    /// The gate refused the request.
    #[error("{}", shed_message(*.0))]
    Shed(ShedReason),
    /// The deadline passed before the request was sent.
    #[error("The deadline passed before the request was sent.")]
    DeadlineBefore,
    /// The deadline passed after the request may have been run.
    #[error("The deadline passed before a response arrived.")]
    DeadlineAfter,
    /// No upstream is left to try.
    #[error("No upstream of the service `{0}` can be reached.")]
    NoUpstream(SmolStr),
    /// The connection broke after the request may have been sent.
    #[error("The connection broke before a response arrived.")]
    Broken,
    /// The body of the request ended early, before anything was sent.
    #[error("The body of the request ended early.")]
    BodyCut,
    /// The response belongs to another attempt.
    #[error("The response belongs to another attempt.")]
    WrongAttempt,
    /// The allowance of extra attempts is spent.
    #[error("The request has no extra attempts left.")]
    AllowanceSpent,
    /// The table of calls is full.
    #[error("The daemon tracks too many calls.")]
    LedgersFull,
    /// The record of tickets or attempts is full.
    #[error("The record of requests is full.")]
    RecordFull,
    /// The attempt was cancelled before it arrived.
    #[error("The attempt was cancelled before it arrived.")]
    Cancelled,
    /// The request ran, and its response was too large to be kept.
    #[error("The request ran, and its response is no longer available.")]
    ResponseNotKept,
    /// The route requires a ticket.
    #[error("The route requires a ticket.")]
    TicketRequired(SmolStr),
    /// The ticket cannot be read or was not issued by the instance that it names.
    #[error("The ticket is not valid.")]
    TicketInvalid,
    /// The ticket was used for another request.
    #[error("The ticket was used for another request.")]
    TicketMismatch,
    /// The ticket expired, so that its record may be gone.
    #[error("The ticket expired.")]
    TicketExpired,
    /// The ticket was issued by an earlier incarnation of the executor.
    #[error("The executor of the ticket has restarted.")]
    ExecutorRestarted,
    /// The executor of the ticket is not in view or cannot be reached.
    #[error("The executor of the ticket cannot be reached.")]
    ExecutorAway,
    /// The last attempt was not run, and an earlier one may have run.
    #[error("{0} An earlier attempt may have run.")]
    Undecided(Box<RefusalError>),
}

/// Time to come back after an overload, in milliseconds, before it is spread.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Serialize)]
struct RefusalBody {
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

impl RefusalError {
    /// Returns what is known about the execution of the request.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::DeadlineAfter
            | Self::Broken
            | Self::WrongAttempt
            | Self::TicketExpired
            | Self::ExecutorRestarted
            | Self::ExecutorAway
            | Self::Undecided(_) => RunOutcome::Unknown,
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
            Self::BodyCut => "body-cut",
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
            Self::ExecutorAway => "executor-away",
            Self::Undecided(error) => error.reason(),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHeader(_) | Self::WrongCluster | Self::BodyCut | Self::TicketInvalid => {
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
            Self::Undecided(error) => error.status(),
            Self::Starting
            | Self::Draining
            | Self::NoProfile(_)
            | Self::Shed(_)
            | Self::NoUpstream(_)
            | Self::AllowanceSpent
            | Self::LedgersFull
            | Self::RecordFull
            | Self::ExecutorAway => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the refusal of a request that may be a repetition. "Not run" holds for a ticket or an
    /// earlier attempt only when its record says so.
    pub fn for_repeat(self, is_repeat: bool) -> Self {
        if is_repeat && self.outcome() == RunOutcome::NotRun {
            Self::Undecided(Box::new(self))
        } else {
            self
        }
    }

    /// Builds the response for the caller.
    pub fn to_response(&self) -> Response<Body> {
        self.build(RETRY_AFTER_MS)
    }

    /// Builds the answer for the caller, with the time to come back spread by rank.
    pub fn to_response_for(
        &self,
        priority: RequestPriority,
        spread: &RetryAfter,
    ) -> Response<Body> {
        let time = spread.for_request(priority);
        self.build(time.as_millis() as u64)
    }

    fn build(&self, retry_after_ms: u64) -> Response<Body> {
        let retry_after_ms =
            (self.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(retry_after_ms);
        let body = RefusalBody {
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
