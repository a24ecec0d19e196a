//! Refuses requests while the daemon starts or drains.

use crate::{
    common::*,
    decision::lifecycle::lifecycle_phase::LifecyclePhase,
    filter::{context_filter::ContextState, request_error::RequestError},
    shell::daemon::DaemonState,
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use std::pin::Pin;

/// Accepts requests while the daemon serves. This filter comes after those that set the deadline,
/// since a drain waits for the latest deadline of the accepted requests.
#[derive(Clone, NewMiddleware)]
pub struct AcceptFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for AcceptFilter {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let deadline = state.borrow::<ContextState>().0.deadline;
            match self.daemon.lifecycle.accept(deadline) {
                Ok(()) => chain(state).await,
                Err(LifecyclePhase::Starting) => Ok((state, RequestError::Starting.to_response())),
                Err(_) => Ok((state, RequestError::Draining.to_response())),
            }
        }
        .boxed()
    }
}
