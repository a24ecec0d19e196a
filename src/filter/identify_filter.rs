//! First filter: identifies the request and removes what the sender may not set.

use crate::{
    common::*,
    decision::{
        request_context::{AttemptId, CallId, RequestContext, RequestId},
        request_priority::{LOWEST_CLASS, RequestPriority},
    },
    filter::{refusal::RefusalError, request_headers},
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

/// Deepest chain of calls.
const MAX_DEPTH: u8 = 16;

/// Deadline of a request whose sender names none, until the profile is applied.
const UNSET_DEADLINE: Duration = Duration::from_secs(3_600);

/// Who sends the requests of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// Outside callers, whose context headers are not trusted.
    Edge,
    /// Other daemons.
    Peer,
}

/// Context of the request in the gotham state.
#[derive(Clone, Debug, StateData)]
pub struct CallState(pub RequestContext);

/// Reads the context of a request.
#[derive(Clone, NewMiddleware)]
pub struct IdentifyFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
    /// Who sends the requests.
    pub origin: RequestOrigin,
}

impl Middleware for IdentifyFilter {
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
            request_headers::strip(headers);
            match context {
                Ok(context) => {
                    state.put(CallState(context));
                    chain(state).await
                }
                Err(error) => Ok((state, error.to_response())),
            }
        }
        .boxed()
    }
}

impl IdentifyFilter {
    fn edge_context(&self, headers: &HeaderMap, now: Instant) -> RequestContext {
        let trace = request_headers::trace_parent(headers);
        let request = trace.map_or_else(|| RequestId(rand::random()), |(request, _)| request);
        let is_retry = headers
            .get(header_names::RETRY)
            .is_some_and(|value| value == "1");
        let wanted_us: Option<u64> =
            request_headers::parse(headers, &header_names::DEADLINE_US).unwrap_or_default();
        let deadline = wanted_us.map_or(UNSET_DEADLINE, Duration::from_micros);
        RequestContext {
            request,
            call: CallId(rand::random()),
            parent: trace.map(|(_, parent)| parent),
            attempt: None,
            priority: RequestPriority::for_request(LOWEST_CLASS, is_retry, request.0),
            deadline: now + deadline.min(UNSET_DEADLINE),
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
    ) -> Result<RequestContext, RefusalError> {
        let cluster = headers.get(header_names::CLUSTER);
        if cluster.is_none_or(|name| name != self.daemon.settings.cluster.as_str()) {
            return Err(RefusalError::WrongCluster);
        }
        let (request, parent) = request_headers::trace_parent(headers)
            .ok_or_else(|| RefusalError::BadHeader("traceparent".into()))?;
        let depth = required(headers, &header_names::DEPTH)?;
        if depth > MAX_DEPTH {
            return Err(RefusalError::TooDeep);
        }
        let left_us: u64 = required(headers, &header_names::DEADLINE_US)?;
        let age_us: u64 = required(headers, &header_names::AGE_US)?;
        let age = Duration::from_micros(age_us).min(UNSET_DEADLINE);
        Ok(RequestContext {
            request,
            call: CallId(rand::random()),
            parent: Some(parent),
            attempt: Some(AttemptId(parent.0)),
            priority: required(headers, &header_names::PRIORITY)?,
            deadline: now + Duration::from_micros(left_us).min(UNSET_DEADLINE),
            entered: now.checked_sub(age).unwrap_or(now),
            allowance: required(headers, &header_names::ALLOWANCE)?,
            depth,
            is_entry: false,
            caller_service: required(headers, &header_names::CALLER)?,
        })
    }
}

fn required<T: FromStr>(headers: &HeaderMap, name: &http::HeaderName) -> Result<T, RefusalError> {
    request_headers::parse(headers, name)?
        .ok_or_else(|| RefusalError::BadHeader(name.as_str().into()))
}
