//! Records the attempts of other daemons, so that each runs at most once.

use crate::{
    common::*,
    controller::run_records::RunAction,
    decision::{
        once::run_record_table::{RecordDecision, RecordLimits, RecordedResult},
        request_context::AttemptId,
    },
    filter::{
        at_most_once_headers::AtMostOnceHeaders,
        context_filter::ContextState,
        recorded_run::{self, RunPolicy},
    },
    shell::daemon::DaemonState,
};
use futures_util::FutureExt;
use gotham::{
    handler::{HandlerFuture, HandlerResult},
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use std::pin::Pin;

/// Limits of the record of attempts.
pub const ATTEMPT_LIMITS: RecordLimits = RecordLimits {
    records: 8_192,
    bytes: 4 << 20,
    response_bytes: 64 << 10,
    reserved_bytes: 0,
};

/// Time for which an attempt stays in the record after its deadline. The sender makes resume
/// requests only before the deadline.
const RECORD_RETENTION: Duration = Duration::from_secs(1);

/// Time for which the cancellation of an attempt that was not received is kept. A stalled
/// connection can deliver the attempt long after its deadline, which the receiver cannot detect
/// because the deadline header is relative.
const CANCELLATION_RETENTION: Duration = Duration::from_secs(60);

/// Only responses with short bodies are kept, since others must be streamed.
const POLICY: RunPolicy = RunPolicy {
    is_released_when_not_run: false,
    collects_unknown_length: false,
};

/// Records attempts and responds to resume requests, which ask for the response to an attempt whose
/// connection has stalled.
#[derive(Clone, NewMiddleware)]
pub struct AttemptFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for AttemptFilter {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            match state.borrow::<ContextState>().0.attempt {
                Some(attempt) => self.record(attempt, state, chain).await,
                None => chain(state).await,
            }
        }
        .boxed()
    }
}

impl AttemptFilter {
    async fn record<Chain>(self, attempt: AttemptId, state: State, chain: Chain) -> HandlerResult
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        let now = self.daemon.clock.now();
        let context = &state.borrow::<ContextState>().0;
        let (entered, deadline) = (context.entered, context.deadline);
        let remaining_time = deadline.saturating_duration_since(now);
        let attempts = &self.daemon.attempt_runs;
        if state.borrow::<AtMostOnceHeaders>().is_resume {
            let expiry = deadline.max(now) + CANCELLATION_RETENTION;
            let action = match attempts.resume(attempt, entered, expiry) {
                // The attempt could not be marked as cancelled, so it may still arrive and run.
                RunAction::Decided(RecordDecision::Full) => {
                    RunAction::Decided(RecordDecision::Finished(RecordedResult::Unknown))
                }
                action => action,
            };
            return Ok((
                state,
                recorded_run::await_result(action, remaining_time).await,
            ));
        }
        let expiry = deadline + RECORD_RETENTION;
        let action = attempts.begin(attempt, 0, expiry);
        if matches!(action, RunAction::Decided(RecordDecision::Full)) {
            // Refusing attempts here would let the size of the record limit the call rate.
            attempts.mark_unrecorded(expiry);
            return chain(state).await;
        }
        recorded_run::execute(action, remaining_time, POLICY, state, chain).await
    }
}
