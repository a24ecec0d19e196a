//! Calls of the backend server to other services.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::ShedReason,
        once::ticket_id::TicketId,
        profile::service_profile::ServiceProfile,
        request_context::{CallId, RequestContext, RequestId},
        request_priority::{LOWEST_CLASS, RequestPriority},
        routing::upstream_set::{InstanceInfo, UpstreamKey},
        run_outcome::RunOutcome,
    },
    filter::{
        classify_filter::apply_profile,
        ledger_guard::LedgerGuard,
        outgoing_call::{CallBody, OutgoingCall},
        peer_attempt::{PeerAttempt, PeerAttemptResult},
        request_error::RequestError,
        request_headers,
        upstream_guard::UpstreamGuard,
    },
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Response, StatusCode, Uri, header, uri::PathAndQuery};
use std::pin::Pin;

/// Deadline of a call that belongs to no request in the ledgers, until the profile is applied.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Handler of the outbound listener.
#[derive(Clone)]
pub struct OutboundHandler {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
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
            let has_ticket = HeaderMap::borrow_from(&state).contains_key(header_names::TICKET);
            let response = match self.handle_call(&mut state).await {
                Ok(response) => response,
                Err(error) => error.with_unknown_outcome_if(has_ticket).to_response(),
            };
            Ok((state, response))
        }
        .boxed()
    }
}

impl OutboundHandler {
    async fn handle_call(&self, state: &mut State) -> Result<Response<Body>, RequestError> {
        let (call, is_root) = self.read_call(state).await?;
        let _guard = if is_root {
            Some(LedgerGuard::open(&self.daemon, &call.context)?)
        } else {
            None
        };
        if !call.is_marked_retry {
            let now = self.daemon.clock.now();
            self.daemon
                .retry_budgets
                .record_first(&call.service, &call.retry, now);
        } else if !self.take_extra(&call) {
            return Err(RequestError::AllowanceSpent);
        }
        self.send_call(call).await
    }

    /// Reads a call; the second value is true if the call starts a root request.
    async fn read_call(&self, state: &mut State) -> Result<(OutgoingCall, bool), RequestError> {
        let now = self.daemon.clock.now();
        let body = Body::take_from(state);
        let mut headers = HeaderMap::take_from(state);
        let method = Method::borrow_from(state).clone();
        let uri = Uri::borrow_from(state).clone();
        let service = target_service(&headers, &uri);
        if !self.daemon.settings.calls.contains(&service) {
            return Err(RequestError::UnknownService(service));
        }
        let in_force = self.daemon.profiles.get(&service);
        let profile = in_force
            .ok_or_else(|| RequestError::NoProfile(service.clone()))?
            .profile;
        let parent_context = request_headers::propagated_call(&headers)
            .and_then(|(request, call)| self.daemon.ledgers.find(request, Some(call)));
        let is_root = parent_context.is_none();
        let context = parent_context
            .unwrap_or_else(|| root_context(&headers, &profile, method.as_str(), uri.path(), now));
        let rule = profile.matching_route(method.as_str(), uri.path());
        let ticket = read_ticket(&headers)?;
        let is_marked_retry = request_headers::is_set(&headers, &header_names::RETRY);
        request_headers::strip_context(&mut headers);
        request_headers::strip_hop_by_hop(&mut headers);
        let path = uri.path_and_query().cloned();
        let call = OutgoingCall {
            retry: profile.retry.clone(),
            is_idempotent: rule.map_or(method.is_safe(), |rule| rule.idempotent),
            is_marked_retry,
            ticket,
            service,
            context,
            method,
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers,
            body: CallBody::read(body).await?,
        };
        Ok((call, is_root))
    }

    /// Sends a call, with extra attempts at other upstreams where they are allowed.
    async fn send_call(&self, mut call: OutgoingCall) -> Result<Response<Body>, RequestError> {
        let now = self.daemon.clock.now();
        let priority = call.context.priority;
        if !self
            .daemon
            .thresholds
            .admits_call(&call.service, priority, now)
        {
            return Err(RequestError::Shed(ShedReason::Threshold));
        }
        let mut tried = Vec::new();
        let mut is_unknown = false;
        let mut last = Err(match call.ticket {
            Some(_) => RequestError::ExecutorUnreachable,
            None => RequestError::NoUpstream(call.service.clone()),
        });
        while let Some((key, info)) = self.choose(&call, &tried) {
            let guard = UpstreamGuard::new(&self.daemon, &call.service, key);
            if call.context.deadline <= self.daemon.clock.now() {
                last = Err(RequestError::DeadlineBefore);
                break;
            }
            if !tried.is_empty() && !self.take_extra_after(&call, &last) {
                break;
            }
            self.daemon
                .metrics
                .count_attempt(&call.service, !tried.is_empty());
            tried.push(key);
            let result = self.send_attempt(&mut call, guard, &info).await;
            is_unknown |= result.outcome == RunOutcome::Unknown;
            let allows_extra_attempt = match result.outcome {
                RunOutcome::Ran => return result.response,
                // Another attempt with the ticket goes to the same instance. It is useful only if
                // that instance had not received this one.
                RunOutcome::NotRun if call.ticket.is_some() => {
                    is_unknown |= result.is_cancelled;
                    result.is_cancelled
                }
                RunOutcome::NotRun => may_succeed_elsewhere(&result.response),
                RunOutcome::Unknown => call.is_idempotent && call.ticket.is_none(),
            };
            last = result.response;
            if !allows_extra_attempt || !call.body.is_replayable() {
                break;
            }
        }
        final_response(last, is_unknown)
    }

    fn choose(
        &self,
        call: &OutgoingCall,
        tried: &[UpstreamKey],
    ) -> Option<(UpstreamKey, InstanceInfo)> {
        let upstreams = &self.daemon.upstreams;
        match &call.ticket {
            Some(ticket) => {
                upstreams.choose_named(&call.service, &ticket.data_centre, &ticket.instance)
            }
            None => upstreams.choose(&call.service, tried, self.daemon.clock.now()),
        }
    }

    /// Takes an extra attempt after one with the result `last`, from the allowance and the budget.
    ///
    /// After a refusal by a draining instance, the budget is not charged: a drain is no overload
    /// and refuses at most the calls in flight, and the budget of a service with few calls would
    /// not suffice for them.
    fn take_extra_after(
        &self,
        call: &OutgoingCall,
        last: &Result<Response<Body>, RequestError>,
    ) -> bool {
        let now = self.daemon.clock.now();
        let priority = call.context.priority;
        if !self
            .daemon
            .thresholds
            .admits_call(&call.service, priority, now)
        {
            return false;
        }
        let is_draining = last.as_ref().is_ok_and(|response| {
            let reason = response.headers().get(header_names::REASON);
            reason.is_some_and(|reason| reason == RequestError::Draining.reason())
        });
        if is_draining {
            self.take_allowance(&call.context)
        } else {
            self.take_extra(call)
        }
    }

    /// Takes an extra attempt from the allowance of the request and the budget of the service. The
    /// budget is charged only if some of the allowance remains.
    fn take_extra(&self, call: &OutgoingCall) -> bool {
        let RequestContext {
            request, call: id, ..
        } = call.context;
        let (daemon, ledgers) = (&self.daemon, &self.daemon.ledgers);
        let has_allowance = ledgers.with_ledger(request, id, |ledger| ledger.remaining() > 0);
        has_allowance == Some(true)
            && daemon
                .retry_budgets
                .take_extra(&call.service, daemon.clock.now())
            && self.take_allowance(&call.context)
    }

    fn take_allowance(&self, context: &RequestContext) -> bool {
        let ledgers = &self.daemon.ledgers;
        ledgers.with_ledger(context.request, context.call, |ledger| ledger.take_extra())
            == Some(true)
    }

    /// Sends one attempt with a part of the remaining allowance and takes back what is not used.
    async fn send_attempt(
        &self,
        call: &mut OutgoingCall,
        guard: UpstreamGuard,
        info: &InstanceInfo,
    ) -> PeerAttemptResult {
        let RequestContext {
            request, call: id, ..
        } = call.context;
        let ledgers = &self.daemon.ledgers;
        let slice = ledgers.with_ledger(request, id, |ledger| ledger.reserve_slice());
        let body = call.body.next_body();
        let ticket = call.ticket.as_ref().map(TicketId::to_string);
        let attempt = PeerAttempt {
            daemon: &self.daemon,
            service: &call.service,
            info,
            context: &call.context,
            allowance: slice.as_ref().map_or(0, |slice| slice.size()),
            progress_timeout: self.daemon.progress_timeout(&call.service),
            method: &call.method,
            path: &call.path,
            headers: &call.headers,
            ticket: ticket.as_deref(),
        };
        let result = attempt.send(guard, body).await;
        if let Some(slice) = slice {
            ledgers.with_ledger(request, id, |ledger| {
                ledger.return_unused(slice, result.unused);
            });
        }
        result
    }
}

/// Returns whether another upstream may run a request that was not run. Daemons respond with status
/// 503 if the reason concerns their own instance. A refusal of a backend server, as declared in its
/// profile, may have any status and has no reason header.
fn may_succeed_elsewhere(response: &Result<Response<Body>, RequestError>) -> bool {
    match response {
        Ok(response) => {
            response.status() == StatusCode::SERVICE_UNAVAILABLE
                || !response.headers().contains_key(header_names::REASON)
        }
        Err(error) => error.status() == StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response for the caller. After an attempt with an unknown outcome, the outcome of
/// the request is unknown even if a later attempt was not run.
fn final_response(
    last: Result<Response<Body>, RequestError>,
    is_unknown: bool,
) -> Result<Response<Body>, RequestError> {
    if !is_unknown {
        return last;
    }
    match last {
        Err(error) => Err(error.with_unknown_outcome_if(true)),
        Ok(response) if request_headers::outcome(response.headers()) == RunOutcome::NotRun => {
            Err(RequestError::Broken)
        }
        Ok(response) => Ok(response),
    }
}

/// Creates the context of a call that belongs to no request in the ledgers.
fn root_context(
    headers: &HeaderMap,
    profile: &ServiceProfile,
    method: &str,
    path: &str,
    now: Instant,
) -> RequestContext {
    let trace = request_headers::propagated_call(headers);
    let request = trace.map_or_else(|| RequestId(rand::random()), |(id, _)| id);
    let mut context = RequestContext {
        request,
        call: CallId(rand::random()),
        parent: None,
        attempt: None,
        priority: RequestPriority::for_request(LOWEST_CLASS, false, request.0),
        deadline: now + MAX_DEADLINE,
        entered: now,
        allowance: 0,
        depth: 0,
        is_entry: true,
        caller_service: SmolStr::default(),
    };
    apply_profile(&mut context, profile, method, path, now);
    context.priority.class = LOWEST_CLASS;
    if headers.contains_key(header_names::REQUEST) {
        // The call belongs to a request that has ended and has used or returned its allowance.
        context.allowance = 0;
    }
    context
}

fn read_ticket(headers: &HeaderMap) -> Result<Option<TicketId>, RequestError> {
    request_headers::parse(headers, &header_names::TICKET).map_err(|_| RequestError::TicketInvalid)
}

fn target_service(headers: &HeaderMap, uri: &Uri) -> SmolStr {
    let host = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    host.split(':').next().unwrap_or_default().into()
}
