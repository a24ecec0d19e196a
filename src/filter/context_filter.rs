//! Reads the context of requests from their headers and removes the context headers.

use crate::{
    common::*,
    decision::{
        request_context::{AttemptId, CallId, RequestContext, RequestId},
        request_priority::{LOWEST_CLASS, RequestPriority},
        run_outcome::RunOutcome,
    },
    filter::{
        at_most_once_headers::AtMostOnceHeaders, request_error::RequestError, request_headers,
    },
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::{State, StateData},
};
use http::HeaderMap;
use std::pin::Pin;

/// Maximum depth of nested calls; stops chains of calls that loop.
const MAX_DEPTH: u8 = 16;

/// Maximum remaining time and age of a request. Also the remaining time of a request without a
/// deadline until the profile is applied.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Senders whose requests a listener accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// Outside callers, whose context headers are not trusted.
    Edge,
    /// Other daemons.
    Peer,
}

/// Context of the request, stored in the gotham state.
#[derive(Clone, Debug, StateData)]
pub struct ContextState(pub RequestContext);

/// Reads the context of a request and stores it in the gotham state.
#[derive(Clone, NewMiddleware)]
pub struct ContextFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
    /// Senders of the requests.
    pub origin: RequestOrigin,
}

impl Middleware for ContextFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let now = self.daemon.clock.now();
            let headers = state.borrow_mut::<HeaderMap>();
            let context = match self.origin {
                RequestOrigin::Edge => Ok(self.edge_context(headers, now)),
                RequestOrigin::Peer => self.peer_context(headers, now),
            };
            let at_most_once = self.at_most_once_headers(headers);
            let attempt = headers.get(header_names::ATTEMPT).cloned();
            request_headers::strip_context(headers);
            let (state, mut response) = match context {
                Ok(context) => {
                    let allowance = context.allowance;
                    state.put(ContextState(context));
                    state.put(at_most_once);
                    let (state, mut response) = chain(state).await?;
                    report_unused(response.headers_mut(), allowance);
                    (state, response)
                }
                Err(error) => {
                    let error = error.with_unknown_outcome_if(at_most_once.may_have_run());
                    (state, error.to_response())
                }
            };
            let headers = response.headers_mut();
            match (self.origin, attempt) {
                (RequestOrigin::Edge, _) => strip_daemon_headers(headers),
                (RequestOrigin::Peer, Some(attempt)) => {
                    headers.insert(header_names::ATTEMPT, attempt);
                }
                (RequestOrigin::Peer, None) => {}
            }
            Ok((state, response))
        }
        .boxed()
    }
}

impl ContextFilter {
    fn at_most_once_headers(&self, headers: &HeaderMap) -> AtMostOnceHeaders {
        let ticket = headers.get(header_names::TICKET);
        AtMostOnceHeaders {
            ticket: ticket.map(|value| value.to_str().unwrap_or_default().into()),
            is_resume: self.origin == RequestOrigin::Peer
                && request_headers::is_set(headers, &header_names::RESUME),
        }
    }

    fn edge_context(&self, headers: &HeaderMap, now: Instant) -> RequestContext {
        let trace = request_headers::trace_parent(headers);
        let request = trace.map_or_else(|| RequestId(rand::random()), |(request, _)| request);
        let is_retry = request_headers::is_set(headers, &header_names::RETRY);
        let requested_us: Option<u64> =
            request_headers::parse(headers, &header_names::DEADLINE_US).unwrap_or_default();
        let deadline = requested_us.map_or(MAX_DEADLINE, Duration::from_micros);
        RequestContext {
            request,
            call: CallId(rand::random()),
            parent: trace.map(|(_, parent)| parent),
            attempt: None,
            priority: RequestPriority::for_request(LOWEST_CLASS, is_retry, request.0),
            deadline: now + deadline.min(MAX_DEADLINE),
            entered: now,
            allowance: 0,
            depth: 0,
            is_entry: true,
            caller_service: SmolStr::default(),
        }
    }

    fn peer_context(
        &self,
        headers: &HeaderMap,
        now: Instant,
    ) -> Result<RequestContext, RequestError> {
        let cluster = headers.get(header_names::CLUSTER);
        if cluster.is_none_or(|name| name != self.daemon.settings.cluster.as_str()) {
            return Err(RequestError::WrongCluster);
        }
        let (request, parent) = request_headers::trace_parent(headers)
            .ok_or_else(|| RequestError::BadHeader("traceparent".into()))?;
        let depth = parse_required(headers, &header_names::DEPTH)?;
        if depth > MAX_DEPTH {
            return Err(RequestError::TooDeep);
        }
        let remaining_us: u64 = parse_required(headers, &header_names::DEADLINE_US)?;
        let age_us: u64 = parse_required(headers, &header_names::AGE_US)?;
        let age = Duration::from_micros(age_us).min(MAX_DEADLINE);
        Ok(RequestContext {
            request,
            call: CallId(rand::random()),
            parent: Some(parent),
            attempt: Some(parse_required::<AttemptId>(
                headers,
                &header_names::ATTEMPT,
            )?),
            priority: parse_required(headers, &header_names::PRIORITY)?,
            deadline: now + Duration::from_micros(remaining_us).min(MAX_DEADLINE),
            entered: now.checked_sub(age).unwrap_or(now),
            allowance: parse_required(headers, &header_names::ALLOWANCE)?,
            depth,
            is_entry: false,
            caller_service: parse_required(headers, &header_names::CALLER)?,
        })
    }
}

/// Reports the whole allowance as unused if the request was refused before its ledger was opened.
fn report_unused(headers: &mut HeaderMap, allowance: u16) {
    let is_not_run = request_headers::outcome(headers) == RunOutcome::NotRun;
    if is_not_run && !headers.contains_key(header_names::UNUSED) {
        request_headers::insert(headers, header_names::UNUSED, allowance);
    }
}

/// Removes the response headers that only daemons use.
fn strip_daemon_headers(headers: &mut HeaderMap) {
    for name in [
        header_names::UNUSED,
        header_names::ATTEMPT,
        header_names::THRESHOLD,
        header_names::LEAVING,
        header_names::INCARNATION,
    ] {
        headers.remove(name);
    }
}

fn parse_required<T: FromStr>(
    headers: &HeaderMap,
    name: &http::HeaderName,
) -> Result<T, RequestError> {
    request_headers::parse(headers, name)?
        .ok_or_else(|| RequestError::BadHeader(name.as_str().into()))
}
