//! Third filter: opens the ledger of the call and reports its unused rest.

use crate::{
    common::*,
    filter::{identify_filter::CallState, request_headers},
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use std::pin::Pin;

/// Opens a ledger for each call and closes it with the head of the answer.
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
            let context = state.borrow::<CallState>().0.clone();
            let _guard = LedgerGuard::open(Arc::clone(&self.daemon), &context);
            let (state, mut response) = chain(state).await?;
            let unused = self
                .daemon
                .ledgers
                .with(context.request, context.call, |ledger| ledger.close());
            let headers = response.headers_mut();
            if context.is_entry {
                headers.remove(header_names::THRESHOLD);
                headers.remove(header_names::LEAVING);
            } else {
                request_headers::insert(headers, header_names::UNUSED, unused.unwrap_or(0));
                if let Some(attempt) = context.attempt {
                    request_headers::insert(headers, header_names::ATTEMPT, attempt);
                }
            }
            Ok((state, response))
        }
        .boxed()
    }
}

/// Removes the ledger when the call ends, also when the caller cancels it.
struct LedgerGuard {
    daemon: Arc<DaemonState>,
    request: crate::decision::request_context::RequestId,
    call: crate::decision::request_context::CallId,
}

impl LedgerGuard {
    fn open(
        daemon: Arc<DaemonState>,
        context: &crate::decision::request_context::RequestContext,
    ) -> Self {
        daemon.ledgers.open(context);
        Self {
            daemon,
            request: context.request,
            call: context.call,
        }
    }
}

impl Drop for LedgerGuard {
    fn drop(&mut self) {
        self.daemon.ledgers.remove(self.request, self.call);
    }
}
