//! Calls of the own backend server to other services.

use crate::{
    common::*,
    controller::attempt_guard::AttemptGuard,
    decision::{
        admission::admission_gate::ShedReason,
        profile::service_profile::{RetryLimits, ServiceProfile},
        request_context::{AttemptId, CallId, RequestContext, RequestId},
        request_priority::{LOWEST_CLASS, RequestPriority},
        routing::upstream_set::{AttemptResult, InstanceInfo, UpstreamKey},
        run_outcome::RunOutcome,
    },
    filter::{
        backend_handler::origin_uri,
        classify_filter::apply_profile,
        refusal::RefusalError,
        request_headers::{self, AttemptHeaders},
        response_body::TrackedBody,
    },
    shell::{daemon::DaemonState, header_names, http_client::SendError, span_recorder::HopSpan},
};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Request, Response, Uri, header, uri::PathAndQuery};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::{pin::Pin, time::SystemTime};

/// Largest body that is kept for a further attempt, in bytes.
const MAX_KEPT_BODY: u64 = 64 * 1024;

type CallAnswer = Result<Response<Body>, RefusalError>;

/// Handler of the outbound listener.
#[derive(Clone)]
pub struct OutboundHandler {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

/// Call that is being sent, with all that a further attempt needs.
struct OutgoingCall {
    service: SmolStr,
    context: RequestContext,
    is_idempotent: bool,
    retry: RetryLimits,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: CallBody,
}

/// Body of an outgoing call.
enum CallBody {
    /// Small body that can be sent again.
    Kept(Bytes),
    /// Body that streams and can be sent once.
    Streamed(Option<Body>),
}

impl NewHandler for OutboundHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for OutboundHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let response = match self.read_call(&mut state).await {
                Ok(call) => self
                    .send_call(call)
                    .await
                    .unwrap_or_else(|error| error.to_response()),
                Err(error) => error.to_response(),
            };
            Ok((state, response))
        }
        .boxed()
    }
}

impl OutboundHandler {
    async fn read_call(&self, state: &mut State) -> Result<OutgoingCall, RefusalError> {
        let now = self.daemon.clock.now();
        let body = Body::take_from(state);
        let mut headers = HeaderMap::take_from(state);
        let method = Method::borrow_from(state).clone();
        let uri = Uri::borrow_from(state).clone();
        let service = target_service(&headers, &uri);
        if !self.daemon.upstreams.knows(&service) {
            return Err(RefusalError::UnknownService(service));
        }
        let profile = self
            .daemon
            .profiles
            .get(&service)
            .ok_or_else(|| RefusalError::NoProfile(service.clone()))?
            .profile;
        let context = self.call_context(&headers, &profile, &method, &uri, now);
        let rule = profile.rule(method.as_str(), uri.path());
        request_headers::strip(&mut headers);
        request_headers::strip_hop_by_hop(&mut headers);
        Ok(OutgoingCall {
            is_idempotent: rule.map_or(method.is_safe(), |rule| rule.idempotent),
            retry: profile.retry.clone(),
            service,
            context,
            method,
            path: uri
                .path_and_query()
                .cloned()
                .unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers,
            body: CallBody::read(body).await?,
        })
    }

    fn call_context(
        &self,
        headers: &HeaderMap,
        profile: &ServiceProfile,
        method: &Method,
        uri: &Uri,
        now: Instant,
    ) -> RequestContext {
        let copied = request_headers::copied_call(headers);
        let known =
            copied.and_then(|(request, call)| self.daemon.ledgers.find(request, Some(call)));
        known.unwrap_or_else(|| {
            let request = copied.map_or_else(|| RequestId(rand::random()), |(id, _)| id);
            let mut context = RequestContext {
                request,
                call: CallId(rand::random()),
                parent: None,
                attempt: None,
                priority: RequestPriority::for_request(LOWEST_CLASS, false, request.0),
                deadline: now + Duration::from_secs(3_600),
                entered: now,
                allowance: 0,
                depth: 0,
                is_entry: true,
                caller_service: SmolStr::default(),
            };
            apply_profile(&mut context, profile, method.as_str(), uri.path(), now);
            context.priority.class = LOWEST_CLASS;
            context
        })
    }

    async fn send_call(&self, mut call: OutgoingCall) -> Result<Response<Body>, RefusalError> {
        let mut tried = Vec::new();
        let overload = &self.daemon.overload;
        let now = self.daemon.clock.now();
        if !overload.admits_call(&call.service, call.context.priority, now) {
            return Err(RefusalError::Shed(ShedReason::Threshold));
        }
        overload.on_first(&call.service, &call.retry, now);
        loop {
            let now = self.daemon.clock.now();
            if call.context.deadline <= now {
                return Err(RefusalError::DeadlineBefore);
            }
            let (key, info) = self
                .daemon
                .upstreams
                .choose(&call.service, &tried, now)
                .ok_or_else(|| RefusalError::NoUpstream(call.service.clone()))?;
            self.daemon
                .metrics
                .count_attempt(&call.service, !tried.is_empty());
            tried.push(key);
            let (outcome, answer) = self.send_attempt(&mut call, key, &info).await;
            let may_repeat = match outcome {
                RunOutcome::Ran => false,
                RunOutcome::NotRun => true,
                RunOutcome::Unknown => call.is_idempotent,
            };
            if !may_repeat || !call.body.is_repeatable() || !self.take_extra(&call, &answer) {
                return answer;
            }
        }
    }

    fn take_extra(&self, call: &OutgoingCall, answer: &CallAnswer) -> bool {
        // A drain refuses at most the calls in flight and is no overload; the budget of a service
        // with few calls would leave none for it.
        let is_drain = answer
            .as_ref()
            .is_ok_and(|response| response.headers().contains_key(header_names::LEAVING));
        let now = self.daemon.clock.now();
        let RequestContext {
            request, call: id, ..
        } = call.context;
        let overload = &self.daemon.overload;
        overload.admits_call(&call.service, call.context.priority, now)
            && self
                .daemon
                .ledgers
                .with(request, id, |ledger| {
                    ledger.rest() > 0
                        && (is_drain || overload.take_extra(&call.service, &call.retry, now))
                        && ledger.take_extra()
                })
                .unwrap_or(false)
    }

    async fn send_attempt(
        &self,
        call: &mut OutgoingCall,
        key: UpstreamKey,
        info: &InstanceInfo,
    ) -> (RunOutcome, Result<Response<Body>, RefusalError>) {
        let RequestContext {
            request,
            call: id,
            deadline,
            ..
        } = call.context;
        let attempt = AttemptId(rand::random());
        let ledgers = &self.daemon.ledgers;
        let slice = ledgers
            .with(request, id, |ledger| ledger.reserve_slice())
            .unwrap_or(0);
        let start = self.daemon.clock.now();
        let started_at = SystemTime::now();
        let outgoing = self.attempt_request(call, info, attempt, slice, start);
        let sent = self.daemon.client.send(info.peer, outgoing);
        let left = deadline.saturating_duration_since(start);
        let guard = AttemptGuard {
            upstreams: Arc::clone(&self.daemon.upstreams),
            clock: Arc::clone(&self.daemon.clock),
            service: call.service.clone(),
            key: Some(key),
        };
        let result = match tokio::time::timeout(left, sent).await {
            Err(_) => Err(RefusalError::DeadlineAfter),
            Ok(Err(SendError::Connect { .. })) => {
                Err(RefusalError::NoUpstream(call.service.clone()))
            }
            Ok(Err(SendError::Broken { .. })) => Err(RefusalError::Broken),
            Ok(Ok(response)) => Ok(response),
        };
        guard.disarm();
        let latency = self.daemon.clock.now() - start;
        let outcome = match &result {
            Err(error) => error.outcome(),
            Ok(response) => answer_outcome(response.headers()),
        };
        self.daemon.spans.record(HopSpan {
            request,
            span: CallId(attempt.0),
            parent: Some(id),
            name: call.service.clone(),
            is_server: false,
            start: started_at,
            duration: latency,
            outcome: outcome.as_str(),
        });
        let response = match result {
            Err(error) => {
                self.finish(call, key, AttemptResult::Failed, latency);
                return (outcome, Err(error));
            }
            Ok(response) => response,
        };
        let unused = request_headers::parse(response.headers(), &header_names::UNUSED)
            .unwrap_or_default()
            .unwrap_or(0);
        ledgers.with(request, id, |ledger| ledger.return_unused(slice, unused));
        if let Some(header) = response.headers().get(header_names::THRESHOLD) {
            let now = self.daemon.clock.now();
            let overload = &self.daemon.overload;
            overload.observe(header.to_str().unwrap_or_default(), now);
        }
        if response.headers().contains_key(header_names::LEAVING) {
            self.daemon.upstreams.mark_leaving(&call.service, key);
        }
        self.daemon
            .observe_peer(&call.service, info, response.headers(), start);
        let result = match outcome {
            RunOutcome::NotRun => AttemptResult::Refused,
            _ => AttemptResult::Answered,
        };
        (
            outcome,
            Ok(self.answer(call, key, response, result, latency)),
        )
    }

    fn answer(
        &self,
        call: &OutgoingCall,
        key: UpstreamKey,
        response: Response<Incoming>,
        result: AttemptResult,
        latency: Duration,
    ) -> Response<Body> {
        let (mut parts, body) = response.into_parts();
        request_headers::strip_hop_by_hop(&mut parts.headers);
        let daemon = Arc::clone(&self.daemon);
        let service = call.service.clone();
        let body = TrackedBody::wrap(body, move |is_complete| {
            let result = if is_complete {
                result
            } else {
                AttemptResult::Failed
            };
            daemon
                .upstreams
                .finish(&service, key, result, latency, daemon.clock.now());
        });
        Response::from_parts(parts, body)
    }

    fn finish(
        &self,
        call: &OutgoingCall,
        key: UpstreamKey,
        result: AttemptResult,
        latency: Duration,
    ) {
        let now = self.daemon.clock.now();
        self.daemon
            .upstreams
            .finish(&call.service, key, result, latency, now);
    }

    fn attempt_request(
        &self,
        call: &mut OutgoingCall,
        info: &InstanceInfo,
        attempt: AttemptId,
        slice: u16,
        now: Instant,
    ) -> Request<Body> {
        let mut request = Request::new(call.body.next());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = origin_uri(info.peer, call.path.clone());
        *request.headers_mut() = call.headers.clone();
        let settings = &self.daemon.settings;
        let fields = AttemptHeaders {
            attempt,
            slice,
            cluster: &settings.cluster,
            service: &settings.service,
        };
        request_headers::write_peer_context(request.headers_mut(), &call.context, &fields, now);
        request
    }
}

impl CallBody {
    async fn read(body: Body) -> Result<Self, RefusalError> {
        let is_small = body
            .size_hint()
            .exact()
            .is_some_and(|length| length <= MAX_KEPT_BODY);
        if !is_small {
            return Ok(Self::Streamed(Some(body)));
        }
        let collected = body.collect().await.map_err(|_| RefusalError::Broken)?;
        Ok(Self::Kept(collected.to_bytes()))
    }

    fn is_repeatable(&self) -> bool {
        matches!(self, Self::Kept(_))
    }

    fn next(&mut self) -> Body {
        match self {
            Self::Kept(bytes) => {
                Body::new(Full::new(bytes.clone()).map_err(|never| match never {}))
            }
            Self::Streamed(body) => body.take().unwrap_or_default(),
        }
    }
}

/// Reads the outcome that the daemon of the upstream reports.
fn answer_outcome(headers: &HeaderMap) -> RunOutcome {
    request_headers::parse(headers, &header_names::OUTCOME)
        .unwrap_or_default()
        .unwrap_or(RunOutcome::Unknown)
}

fn target_service(headers: &HeaderMap, uri: &Uri) -> SmolStr {
    let host = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    host.split(':').next().unwrap_or_default().into()
}
