//! Opens the ledger of a call and reports its unused allowance.

use crate::{
    common::*,
    filter::{context_filter::ContextState, ledger_guard::LedgerGuard, request_headers},
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use std::pin::Pin;

/// Opens a ledger for each call and closes it when the head of the response is sent.
#[derive(Clone, NewMiddleware)]
pub struct LedgerFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for LedgerFilter {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let context = state.borrow::<ContextState>().0.clone();
            let guard = match LedgerGuard::open(&self.daemon, &context) {
                Ok(guard) => guard,
                Err(error) => return Ok((state, error.to_response())),
            };
            let (state, mut response) = chain(state).await?;
            request_headers::insert(response.headers_mut(), header_names::UNUSED, guard.close());
            Ok((state, response))
        }
        .boxed()
    }
}
