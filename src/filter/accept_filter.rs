//! Refuses new work unless the daemon serves.

use crate::{
    common::*,
    decision::lifecycle::lifecycle_phase::LifecyclePhase,
    filter::{identify_filter::CallState, refusal::RefusalError},
    shell::daemon::DaemonState,
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use std::pin::Pin;

/// Accepts requests while the daemon serves. It comes after the deadline is known, since a drain
/// waits for the latest deadline of the accepted requests.
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
            let deadline = state.borrow::<CallState>().0.deadline;
            match self.daemon.lifecycle.accept(deadline) {
                Ok(()) => chain(state).await,
                Err(LifecyclePhase::Starting) => Ok((state, RefusalError::Starting.to_response())),
                Err(_) => Ok((state, RefusalError::Draining.to_response())),
            }
        }
        .boxed()
    }
}
