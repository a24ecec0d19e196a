//! Outermost filter: counts requests and measures the latency that the daemon adds.

use crate::{
    common::*,
    filter::context_filter::ContextState,
    shell::{
        daemon::DaemonState,
        header_names,
        request_counters::{CANCELLED_REASON, NO_REASON},
    },
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::{State, StateData},
};
use http::{HeaderName, Response};
use std::pin::Pin;

/// Time from sending a request to the backend server until the head of its response arrives.
#[derive(Clone, Copy, Debug, StateData)]
pub struct BackendTime(pub Duration);

/// Counts each request once, also if its caller cancels it.
#[derive(Clone, NewMiddleware)]
pub struct MetricsFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for MetricsFilter {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let start = self.daemon.clock.now();
            let mut guard = CancelGuard {
                daemon: Some(Arc::clone(&self.daemon)),
            };
            let result = chain(state).await;
            guard.daemon = None;
            let metrics = &self.daemon.metrics;
            let (state, response) = match result {
                Ok(completed) => completed,
                Err(failed) => {
                    metrics.count_request("unknown", "other", None);
                    return Err(failed);
                }
            };
            let class = state
                .try_borrow::<ContextState>()
                .map(|call| call.0.priority.class);
            let outcome = header(&response, &header_names::OUTCOME).unwrap_or("unknown");
            let reason = header(&response, &header_names::REASON).unwrap_or(NO_REASON);
            metrics.count_request(outcome, reason, class);
            if let Some(BackendTime(backend_time)) = state.try_borrow::<BackendTime>() {
                let total = self.daemon.clock.now().saturating_duration_since(start);
                metrics.record_added_latency(total.saturating_sub(*backend_time));
            }
            Ok((state, response))
        }
        .boxed()
    }
}

fn header<'a, B>(response: &'a Response<B>, name: &HeaderName) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Counts a request as cancelled if its future is dropped before the response is ready.
struct CancelGuard {
    daemon: Option<Arc<DaemonState>>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(daemon) = &self.daemon {
            daemon
                .metrics
                .count_request("unknown", CANCELLED_REASON, None);
        }
    }
}
