//! Second filter: records the attempts of other daemons.

use crate::{
    common::*,
    controller::run_records::RunEntry,
    decision::{
        once::run_record_table::{RecordDecision, RecordLimits, RecordedResult},
        request_context::AttemptId,
    },
    filter::{
        identify_filter::CallState,
        recorded_run::{self, RunPolicy},
        request_marks::RequestMarks,
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

/// Bounds of the record of attempts.
pub const ATTEMPT_LIMITS: RecordLimits = RecordLimits {
    records: 8_192,
    bytes: 4 << 20,
    response_bytes: 64 << 10,
    reserved_bytes: 0,
};

/// Time after the deadline for which an attempt is remembered; the sender asks only before it.
const RECORD_GRACE: Duration = Duration::from_secs(1);

/// Time for which the cancellation of an unseen attempt is remembered. A silent connection can
/// deliver the attempt long after its deadline, and the deadline header is relative.
const CANCEL_TIME: Duration = Duration::from_secs(60);

/// Responses of attempts are kept for short bodies only, since others must stream.
const POLICY: RunPolicy = RunPolicy {
    is_released_when_not_run: false,
    collects_unknown_length: false,
};

/// Records attempts, and answers questions for the response to an attempt on a silent connection.
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
            match state.borrow::<CallState>().0.attempt {
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
        let deadline = state.borrow::<CallState>().0.deadline;
        let left = deadline.saturating_duration_since(now);
        let attempts = &self.daemon.attempts;
        if state.borrow::<RequestMarks>().is_resume {
            let expiry = deadline.max(now) + CANCEL_TIME;
            let entry = match attempts.resume(attempt, expiry) {
                // Without a mark a late arrival could still run.
                RunEntry::Decided(RecordDecision::Full) => {
                    RunEntry::Decided(RecordDecision::Finished(RecordedResult::Unknown))
                }
                entry => entry,
            };
            return Ok((state, recorded_run::await_end(entry, left).await));
        }
        let expiry = deadline + RECORD_GRACE;
        let entry = attempts.begin(attempt, 0, expiry);
        if matches!(entry, RunEntry::Decided(RecordDecision::Full)) {
            // Refusing plain calls here would make the record a limit on the call rate.
            attempts.note_unrecorded(expiry);
            return chain(state).await;
        }
        recorded_run::execute(entry, left, POLICY, state, chain).await
    }
}
