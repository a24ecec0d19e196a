//! One attempt at another daemon, with the check over a new connection when it goes silent.

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
        refusal::RefusalError,
        request_headers::{self, AttemptHeaders},
        response_body::{BodyEnd, TrackedBody},
        upstream_slot::UpstreamSlot,
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

/// Most checks over a new connection for one attempt.
const MAX_CHECKS: usize = 3;

/// Attempt that is ready to be sent.
pub struct PeerAttempt<'a> {
    /// State of the daemon.
    pub daemon: &'a Arc<DaemonState>,
    /// Called service.
    pub service: &'a SmolStr,
    /// Upstream that is called.
    pub info: &'a InstanceInfo,
    /// Context of the call that makes the attempt.
    pub context: &'a RequestContext,
    /// Extra attempts handed down.
    pub slice: u16,
    /// Longest time without a received byte.
    pub progress: Duration,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a PathAndQuery,
    /// Headers of the request without context headers.
    pub headers: &'a HeaderMap,
    /// Text of the ticket, if any.
    pub ticket: Option<&'a str>,
}

/// End of an attempt.
pub struct AttemptEnd {
    /// What is known about the execution.
    pub outcome: RunOutcome,
    /// Whether the upstream never saw the attempt and will refuse it.
    pub is_cancelled: bool,
    /// Extra attempts that were not used.
    pub unused: u16,
    /// Response, or why there is none.
    pub response: Result<Response<Body>, RefusalError>,
}

type Exchange = Result<Response<Body>, RefusalError>;

impl PeerAttempt<'_> {
    /// Sends the attempt; `slot` is given back with the end of the response body.
    pub async fn send(self, mut slot: UpstreamSlot, body: Body) -> AttemptEnd {
        let id = AttemptId(rand::random());
        let started_at = SystemTime::now();
        let result = self.exchange_with_checks(id, body).await;
        let duration = slot.stop_clock();
        let outcome = match &result {
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
        match result {
            Ok(response) => self.finish(slot, outcome, response),
            Err(error) => {
                // A short deadline says nothing about the upstream, but one that passes after the
                // progress time does: the upstream is hung or too slow to be of use.
                let is_short = duration < self.progress;
                slot.finish(match error {
                    RefusalError::DeadlineAfter if is_short => AttemptResult::Abandoned,
                    _ => AttemptResult::Failed,
                });
                AttemptEnd {
                    outcome,
                    is_cancelled: false,
                    // Nothing below this call ran when the attempt was never sent.
                    unused: if outcome == RunOutcome::NotRun {
                        self.slice
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
        slot: UpstreamSlot,
        outcome: RunOutcome,
        response: Response<Body>,
    ) -> AttemptEnd {
        let (mut parts, body) = response.into_parts();
        let unused = request_headers::parse(&parts.headers, &header_names::UNUSED);
        if let Some(header) = parts.headers.get(header_names::THRESHOLD) {
            let now = self.daemon.clock.now();
            let header = header.to_str().unwrap_or_default();
            self.daemon.overload.observe(header, now);
        }
        if parts.headers.contains_key(header_names::LEAVING) {
            self.daemon.upstreams.mark_leaving(self.service, slot.key());
        }
        self.daemon
            .observe_peer(self.service, self.info, &parts.headers, slot.started());
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
            slot.finish(match (end, outcome) {
                (BodyEnd::Cut, _) => AttemptResult::Failed,
                // A retry drops the refusal before it unread.
                (_, RunOutcome::NotRun) => AttemptResult::Refused,
                (BodyEnd::Complete, _) => AttemptResult::Answered,
                (BodyEnd::Dropped, _) => AttemptResult::Abandoned,
            });
        });
        AttemptEnd {
            outcome,
            is_cancelled: outcome == RunOutcome::NotRun
                && parts
                    .headers
                    .get(header_names::REASON)
                    .is_some_and(|value| value == RefusalError::Cancelled.reason()),
            unused: unused.unwrap_or_default().unwrap_or(0),
            response: Ok(Response::from_parts(parts, body)),
        }
    }

    /// Waits on the first connection and on the checks at once; the first conclusive end counts.
    async fn exchange_with_checks(&self, id: AttemptId, body: Body) -> Exchange {
        let silence = Notify::new();
        let mut pending: FuturesUnordered<BoxFuture<'_, Exchange>> = FuturesUnordered::new();
        pending.push(self.exchange(id, Some(body), &silence).boxed());
        let mut checks = 0;
        loop {
            let ended = tokio::select! {
                biased;
                Some(ended) = pending.next() => Some(ended),
                () = silence.notified(), if checks < MAX_CHECKS => None,
            };
            let error = match ended {
                Some(Ok(response)) => return Ok(response),
                Some(Err(error)) => Some(error),
                None => None,
            };
            if let Some(error) = error {
                let is_open = matches!(error, RefusalError::Broken | RefusalError::WrongAttempt);
                if !is_open && pending.is_empty() {
                    return Err(error);
                }
                if !pending.is_empty() {
                    continue;
                }
                if checks >= MAX_CHECKS || self.is_past_deadline() {
                    return Err(error);
                }
            }
            checks += 1;
            pending.push(self.exchange(id, None, &silence).boxed());
        }
    }

    /// Sends the attempt, or without a body the question for its response.
    async fn exchange(&self, id: AttemptId, body: Option<Body>, silence: &Notify) -> Exchange {
        let is_check = body.is_none();
        let clock = &self.daemon.clock;
        let stamp = |headers: &mut HeaderMap| {
            request_headers::write_times(headers, self.context, clock.now());
        };
        let options = SendOptions {
            stamp: Some(&stamp),
            deadline: Some(self.context.deadline),
            progress: Some(self.progress),
            silence: Some(silence),
            is_fresh: is_check,
        };
        let request = self.request(id, body);
        let client = &self.daemon.client;
        let response = client
            .send_with(self.info.peer, request, options)
            .await
            .map_err(|error| self.refusal(&error, is_check))?;
        let attempt = request_headers::parse(response.headers(), &header_names::ATTEMPT);
        if attempt != Ok(Some(id)) {
            return Err(RefusalError::WrongAttempt);
        }
        if is_check && request_headers::outcome(response.headers()) == RunOutcome::Unknown {
            // The first connection may still deliver the response.
            return Err(RefusalError::Broken);
        }
        let (parts, body) = response.into_parts();
        let body = Body::new(body);
        if !recorded_run::is_short(&body) {
            return Ok(Response::from_parts(parts, body));
        }
        match recorded_run::collect(body).await {
            CollectedBody::Whole(bytes) => {
                Ok(Response::from_parts(parts, recorded_run::full(bytes)))
            }
            CollectedBody::Long(body) => Ok(Response::from_parts(parts, body)),
            CollectedBody::Cut => Err(RefusalError::Broken),
        }
    }

    fn refusal(&self, error: &SendError, is_check: bool) -> RefusalError {
        match error {
            // A check that was not sent says nothing about the attempt.
            SendError::NotSent { .. } if is_check => RefusalError::Broken,
            SendError::NotSent { .. } => RefusalError::NoUpstream(self.service.clone()),
            SendError::Broken { .. } => RefusalError::Broken,
            SendError::Deadline { .. } => RefusalError::DeadlineAfter,
        }
    }

    fn is_past_deadline(&self) -> bool {
        self.context.deadline <= self.daemon.clock.now()
    }

    fn request(&self, id: AttemptId, body: Option<Body>) -> Request<Body> {
        let is_check = body.is_none();
        let mut request = Request::new(body.unwrap_or_default());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_uri(self.info.peer, self.path.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let settings = &self.daemon.settings;
        let fields = AttemptHeaders {
            attempt: id,
            slice: self.slice,
            cluster: &settings.cluster,
            service: &settings.service,
        };
        request_headers::write_peer_context(headers, self.context, &fields);
        if let Some(ticket) = self.ticket {
            request_headers::insert(headers, header_names::TICKET, ticket);
        }
        if is_check {
            headers.remove(http::header::CONTENT_LENGTH);
            request_headers::insert(headers, header_names::RESUME, 1);
        }
        request
    }
}
