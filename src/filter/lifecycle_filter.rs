//! Reports the life-cycle phase of the daemon on each response.

use crate::{
    common::*,
    decision::lifecycle::lifecycle_phase::LifecyclePhase,
    filter::{context_filter::RequestOrigin, request_headers},
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use http::{HeaderValue, header};
use std::pin::Pin;

/// Adds the incarnation header and, during a drain, the leaving header to responses to peers. All
/// responses during a drain close their connection.
#[derive(Clone, NewMiddleware)]
pub struct LifecycleFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
    /// Senders of the requests.
    pub origin: RequestOrigin,
}

impl Middleware for LifecycleFilter {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let (state, mut response) = chain(state).await?;
            let headers = response.headers_mut();
            let lifecycle = &self.daemon.lifecycle;
            let is_leaving = lifecycle.phase() >= LifecyclePhase::Draining;
            if self.origin == RequestOrigin::Peer {
                let incarnation = lifecycle.incarnation();
                request_headers::insert(headers, header_names::INCARNATION, incarnation);
                if is_leaving {
                    request_headers::insert(headers, header_names::LEAVING, incarnation);
                }
            }
            if is_leaving {
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok((state, response))
        }
        .boxed()
    }
}
