//! Attempt of a call at another daemon, with resume requests if its connection stalls or breaks.
//!
//! A resume request has the same attempt id and asks for the response to the attempt over a new
//! connection. If the peer has not received the attempt, it records it as cancelled and refuses it
//! when it arrives later.

use crate::{
    common::*,
    decision::{
        request_context::{AttemptId, CallId, RequestContext},
        routing::upstream_set::{AttemptResult, InstanceInfo},
        run_outcome::RunOutcome,
    },
    filter::{
        backend_handler::origin_uri,
        recorded_run::{self, CollectedBody},
        request_error::RequestError,
        request_headers::{self, AttemptHeaders},
        response_body::{BodyEnd, TrackedBody},
        upstream_guard::UpstreamGuard,
    },
    shell::{
        daemon::DaemonState,
        header_names,
        http_client::{SendError, SendOptions},
        span_recorder::HopSpan,
    },
};
use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Request, Response, uri::PathAndQuery};
use std::time::SystemTime;
use tokio::sync::Notify;

/// Maximum number of resume requests for one attempt.
const MAX_RESUMES: usize = 3;

/// Attempt that is ready to be sent.
pub struct PeerAttempt<'a> {
    /// State of the daemon.
    pub daemon: &'a Arc<DaemonState>,
    /// Called service.
    pub service: &'a SmolStr,
    /// Instance that is called.
    pub info: &'a InstanceInfo,
    /// Context of the call that makes the attempt.
    pub context: &'a RequestContext,
    /// Extra attempts that the peer may use for the request.
    pub allowance: u16,
    /// Maximum time without a received byte.
    pub progress_timeout: Duration,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a PathAndQuery,
    /// Headers of the request without context headers.
    pub headers: &'a HeaderMap,
    /// Text of the ticket, if any.
    pub ticket: Option<&'a str>,
}

/// Result of an attempt.
pub struct PeerAttemptResult {
    /// Whether the request ran, as far as is known.
    pub outcome: RunOutcome,
    /// Whether the upstream had not received the attempt and will refuse it if it arrives.
    pub is_cancelled: bool,
    /// Extra attempts of the allowance that were not used.
    pub unused: u16,
    /// Response, or the reason why there is none.
    pub response: Result<Response<Body>, RequestError>,
}

type ExchangeResult = Result<Response<Body>, RequestError>;

impl PeerAttempt<'_> {
    /// Sends the attempt and returns its result; `guard` is finished when the response body ends.
    pub async fn send(self, mut guard: UpstreamGuard, body: Body) -> PeerAttemptResult {
        let id = AttemptId(rand::random());
        let started_at = SystemTime::now();
        let response = self.exchange_with_resumes(id, body).await;
        let duration = guard.record_latency();
        let outcome = match &response {
            Ok(response) => request_headers::outcome(response.headers()),
            Err(error) => error.outcome(),
        };
        self.daemon.spans.record(HopSpan {
            request: self.context.request,
            span: CallId(id.0),
            parent: Some(self.context.call),
            name: self.service.clone(),
            is_server: false,
            start: started_at,
            duration,
            outcome: outcome.as_str(),
        });
        match response {
            Ok(response) => self.finish(guard, outcome, response),
            Err(error) => {
                // A deadline that passes within the progress timeout does not show a failure of the
                // upstream. If it passes later, the upstream hangs or is too slow.
                let is_short = duration < self.progress_timeout;
                guard.finish(match error {
                    RequestError::DeadlineAfter if is_short => AttemptResult::Abandoned,
                    _ => AttemptResult::Failed,
                });
                PeerAttemptResult {
                    outcome,
                    is_cancelled: false,
                    // An attempt that was not sent has used none of its allowance.
                    unused: if outcome == RunOutcome::NotRun {
                        self.allowance
                    } else {
                        0
                    },
                    response: Err(error),
                }
            }
        }
    }

    fn finish(
        &self,
        guard: UpstreamGuard,
        outcome: RunOutcome,
        response: Response<Body>,
    ) -> PeerAttemptResult {
        let (mut parts, body) = response.into_parts();
        let unused = request_headers::parse(&parts.headers, &header_names::UNUSED);
        if let Some(header) = parts.headers.get(header_names::THRESHOLD) {
            let now = self.daemon.clock.now();
            let header = header.to_str().unwrap_or_default();
            self.daemon.thresholds.apply_header(header, now);
        }
        if parts.headers.contains_key(header_names::LEAVING) {
            self.daemon
                .upstreams
                .mark_leaving(self.service, guard.key());
        }
        self.daemon.record_peer_incarnation(
            self.service,
            self.info,
            &parts.headers,
            guard.started(),
        );
        for name in [
            header_names::UNUSED,
            header_names::ATTEMPT,
            header_names::LEAVING,
            header_names::INCARNATION,
            header_names::THRESHOLD,
        ] {
            parts.headers.remove(name);
        }
        request_headers::strip_hop_by_hop(&mut parts.headers);
        let body = TrackedBody::wrap(body, move |end| {
            guard.finish(match (end, outcome) {
                (BodyEnd::Truncated, _) => AttemptResult::Failed,
                // The body of a refusal is dropped unread when another attempt follows.
                (_, RunOutcome::NotRun) => AttemptResult::Refused,
                (BodyEnd::Complete, _) => AttemptResult::Completed,
                (BodyEnd::Dropped, _) => AttemptResult::Abandoned,
            });
        });
        PeerAttemptResult {
            outcome,
            is_cancelled: outcome == RunOutcome::NotRun
                && parts
                    .headers
                    .get(header_names::REASON)
                    .is_some_and(|value| value == RequestError::Cancelled.reason()),
            unused: unused.unwrap_or_default().unwrap_or(0),
            response: Ok(Response::from_parts(parts, body)),
        }
    }

    /// Sends the attempt and, when it stalls or breaks, resume requests. All of them are awaited
    /// concurrently, and the first conclusive result is returned.
    async fn exchange_with_resumes(&self, id: AttemptId, body: Body) -> ExchangeResult {
        let stalled = Notify::new();
        let mut pending: FuturesUnordered<BoxFuture<'_, ExchangeResult>> = FuturesUnordered::new();
        pending.push(self.exchange(id, Some(body), &stalled).boxed());
        let mut resumes = 0;
        loop {
            let result = tokio::select! {
                biased;
                Some(result) = pending.next() => Some(result),
                () = stalled.notified(), if resumes < MAX_RESUMES => None,
            };
            let error = match result {
                Some(Ok(response)) => return Ok(response),
                Some(Err(error)) => Some(error),
                None => None,
            };
            if let Some(error) = error {
                let is_inconclusive =
                    matches!(error, RequestError::Broken | RequestError::WrongAttempt);
                if !is_inconclusive && pending.is_empty() {
                    return Err(error);
                }
                if !pending.is_empty() {
                    continue;
                }
                if resumes >= MAX_RESUMES || self.is_past_deadline() {
                    return Err(error);
                }
            }
            resumes += 1;
            pending.push(self.exchange(id, None, &stalled).boxed());
        }
    }

    /// Sends the attempt, or a resume request if `body` is `None`.
    async fn exchange(
        &self,
        id: AttemptId,
        body: Option<Body>,
        stalled: &Notify,
    ) -> ExchangeResult {
        let is_resume = body.is_none();
        let clock = &self.daemon.clock;
        let update_headers = |headers: &mut HeaderMap| {
            request_headers::write_times(headers, self.context, clock.now());
        };
        let options = SendOptions {
            update_headers: Some(&update_headers),
            deadline: Some(self.context.deadline),
            progress_timeout: Some(self.progress_timeout),
            on_stall: Some(stalled),
            needs_new_connection: is_resume,
        };
        let request = self.request(id, body);
        let client = &self.daemon.client;
        let response = client
            .send_with(self.info.peer, request, options)
            .await
            .map_err(|error| self.request_error(&error, is_resume))?;
        let attempt = request_headers::parse(response.headers(), &header_names::ATTEMPT);
        if attempt != Ok(Some(id)) {
            return Err(RequestError::WrongAttempt);
        }
        if is_resume && request_headers::outcome(response.headers()) == RunOutcome::Unknown {
            // The response may still arrive over the first connection.
            return Err(RequestError::Broken);
        }
        let (parts, body) = response.into_parts();
        let body = Body::new(body);
        if !recorded_run::is_short(&body) {
            return Ok(Response::from_parts(parts, body));
        }
        match recorded_run::collect(body).await {
            CollectedBody::Whole(bytes) => {
                Ok(Response::from_parts(parts, recorded_run::full_body(bytes)))
            }
            CollectedBody::Long(body) => Ok(Response::from_parts(parts, body)),
            CollectedBody::Truncated => Err(RequestError::Broken),
        }
    }

    fn request_error(&self, error: &SendError, is_resume: bool) -> RequestError {
        match error {
            // An unsent resume request does not show whether the attempt ran.
            SendError::NotSent { .. } if is_resume => RequestError::Broken,
            SendError::NotSent { .. } => RequestError::NoUpstream(self.service.clone()),
            SendError::Broken { .. } | SendError::InvalidStatus { .. } => RequestError::Broken,
            SendError::Deadline { .. } => RequestError::DeadlineAfter,
        }
    }

    fn is_past_deadline(&self) -> bool {
        self.context.deadline <= self.daemon.clock.now()
    }

    fn request(&self, id: AttemptId, body: Option<Body>) -> Request<Body> {
        let is_resume = body.is_none();
        let mut request = Request::new(body.unwrap_or_default());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_uri(self.info.peer, self.path.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let settings = &self.daemon.settings;
        let fields = AttemptHeaders {
            attempt: id,
            allowance: self.allowance,
            cluster: &settings.cluster,
            service: &settings.service,
        };
        request_headers::write_peer_context(headers, self.context, &fields);
        if let Some(ticket) = self.ticket {
            request_headers::insert(headers, header_names::TICKET, ticket);
        }
        if is_resume {
            headers.remove(http::header::CONTENT_LENGTH);
            request_headers::insert(headers, header_names::RESUME, 1);
        }
        request
    }
}
