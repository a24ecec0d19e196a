//! Answers to requests that the daemon does not complete.

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

/// Why a request has no answer of a backend server.
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
    #[error("The service is overloaded.")]
    Shed(ShedReason),
    /// The deadline passed before the request was sent.
    #[error("The deadline passed before the request was sent.")]
    DeadlineBefore,
    /// The deadline passed after the request may have been run.
    #[error("The deadline passed before an answer arrived.")]
    DeadlineAfter,
    /// No upstream is left to try.
    #[error("No upstream of the service `{0}` can be reached.")]
    NoUpstream(SmolStr),
    /// The connection broke after the request may have been sent.
    #[error("The connection broke before an answer arrived.")]
    Broken,
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

impl RefusalError {
    /// Returns what is known about the execution of the request.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::DeadlineAfter | Self::Broken => RunOutcome::Unknown,
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
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHeader(_) | Self::WrongCluster => StatusCode::BAD_REQUEST,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::UnknownService(_) => StatusCode::NOT_FOUND,
            Self::DeadlineBefore | Self::DeadlineAfter => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::Starting
            | Self::Draining
            | Self::NoProfile(_)
            | Self::Shed(_)
            | Self::NoUpstream(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Builds the answer for the caller.
    pub fn to_response(&self) -> Response<Body> {
        self.build(RETRY_AFTER_MS)
    }

    /// Builds the answer for the caller, with the time to come back spread by rank.
    pub fn to_response_for(&self, priority: RequestPriority) -> Response<Body> {
        let spread = RetryAfter::default().for_request(priority);
        self.build(spread.as_millis() as u64)
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
        if let Some(ms) = retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        response
    }
}
