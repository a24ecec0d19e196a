//! Runs of requests that may arrive more than once, for example after a lost response.

use crate::{
    common::*,
    decision::{
        clock::Clock,
        once::run_record_table::{RecordDecision, RecordLimits, RecordedResult, RunRecordTable},
    },
};
use std::hash::Hash;
use tokio::{sync::watch, task::AbortHandle};

/// Key of a recorded run.
pub trait RunKey: Copy + Eq + Hash + Ord + Send + 'static {}

impl<K: Copy + Eq + Hash + Ord + Send + 'static> RunKey for K {}

/// Table of run records, with the runs in flight and the requests that wait for their results.
pub struct RunRecords<K: RunKey> {
    state: Mutex<RecordsState<K>>,
    clock: Arc<dyn Clock>,
    created: Instant,
    cancels_abandoned_runs: bool,
}

struct RecordsState<K> {
    table: RunRecordTable<K>,
    runs: IndexMap<K, ActiveRun>,
    unrecorded_until: Option<Instant>,
}

struct ActiveRun {
    result: watch::Sender<Option<RecordedResult>>,
    waiters: usize,
    abort: Option<AbortHandle>,
}

/// What to do with an arriving request.
pub enum RunAction<K: RunKey> {
    /// Run it; the waiter represents the request itself.
    Run(RunGuard<K>, RunWaiter<K>),
    /// Wait for the run in flight.
    Wait(RunWaiter<K>),
    /// Respond with the decision of the table.
    Decided(RecordDecision),
}

/// Run in flight. Dropping it records an unknown result.
pub struct RunGuard<K: RunKey> {
    records: Arc<RunRecords<K>>,
    key: Option<K>,
}

/// Request that waits for the result of a run.
pub struct RunWaiter<K: RunKey> {
    records: Arc<RunRecords<K>>,
    key: K,
    result: watch::Receiver<Option<RecordedResult>>,
}

impl<K: RunKey> RunRecords<K> {
    /// Creates an empty table. With `cancels_abandoned_runs`, a run is cancelled when the last
    /// request that waits for it is cancelled.
    pub fn new(limits: RecordLimits, clock: Arc<dyn Clock>, cancels_abandoned_runs: bool) -> Self {
        Self {
            state: Mutex::new(RecordsState {
                table: RunRecordTable::new(limits),
                runs: IndexMap::new(),
                unrecorded_until: None,
            }),
            created: clock.now(),
            clock,
            cancels_abandoned_runs,
        }
    }

    /// Decides on an arriving request.
    pub fn begin(self: &Arc<Self>, key: K, fingerprint: u64, expiry: Instant) -> RunAction<K> {
        let mut state = self.state.lock();
        let decision = state
            .table
            .begin(key, fingerprint, expiry, self.clock.now());
        if decision == RecordDecision::Run {
            let run = ActiveRun {
                result: watch::Sender::new(None),
                waiters: 0,
                abort: None,
            };
            state.runs.insert(key, run);
            let waiter = self.wait(&mut state, key);
            let guard = RunGuard {
                records: Arc::clone(self),
                key: Some(key),
            };
            return waiter.map_or(RunAction::Decided(decision), |waiter| {
                RunAction::Run(guard, waiter)
            });
        }
        self.action(&mut state, key, decision)
    }

    /// Decides on a resume request, which asks for the response to an earlier request that was sent at
    /// `sent` or later. One that may be older than this table, which an earlier process may have run,
    /// has an unknown result.
    pub fn resume(self: &Arc<Self>, key: K, sent: Instant, expiry: Instant) -> RunAction<K> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let mut decision = state.table.resume(key, expiry, now);
        let may_have_run =
            sent < self.created || state.unrecorded_until.is_some_and(|until| now < until);
        if decision == RecordDecision::Cancelled && may_have_run {
            decision = RecordDecision::Finished(RecordedResult::Unknown);
        }
        self.action(&mut state, key, decision)
    }

    /// Records that a request may run until `expiry` without being recorded. Until then,
    /// [`Self::resume`] reports an unknown result instead of a cancellation for keys without a
    /// record.
    pub fn mark_unrecorded(&self, expiry: Instant) {
        let mut state = self.state.lock();
        state.unrecorded_until = state.unrecorded_until.max(Some(expiry));
    }

    fn action(
        self: &Arc<Self>,
        state: &mut RecordsState<K>,
        key: K,
        decision: RecordDecision,
    ) -> RunAction<K> {
        if decision != RecordDecision::Wait {
            return RunAction::Decided(decision);
        }
        match self.wait(state, key) {
            Some(waiter) => RunAction::Wait(waiter),
            None => RunAction::Decided(RecordDecision::Finished(RecordedResult::Unknown)),
        }
    }

    fn wait(self: &Arc<Self>, state: &mut RecordsState<K>, key: K) -> Option<RunWaiter<K>> {
        let run = state.runs.get_mut(&key)?;
        run.waiters += 1;
        Some(RunWaiter {
            records: Arc::clone(self),
            key,
            result: run.result.subscribe(),
        })
    }

    fn finish(&self, key: K, result: RecordedResult, is_released: bool) {
        let mut state = self.state.lock();
        let result = if is_released {
            state.table.release(key);
            result
        } else {
            state.table.finish(key, result)
        };
        if let Some(run) = state.runs.swap_remove(&key) {
            run.result.send_replace(Some(result));
        }
    }

    fn remove_waiter(&self, key: K) {
        let abort = {
            let mut state = self.state.lock();
            let Some(run) = state.runs.get_mut(&key) else {
                return;
            };
            run.waiters -= 1;
            let is_cancelled = run.waiters == 0 && self.cancels_abandoned_runs;
            is_cancelled.then(|| run.abort.take()).flatten()
        };
        if let Some(abort) = abort {
            abort.abort();
        }
    }
}

impl<K: RunKey> RunGuard<K> {
    /// Records the result of the run.
    pub fn finish(mut self, result: RecordedResult) {
        if let Some(key) = self.key.take() {
            self.records.finish(key, result, false);
        }
    }

    /// Removes the record of a request that was not run, so that its key can be used again. The
    /// requests that wait for it get `result`.
    pub fn release(mut self, result: RecordedResult) {
        if let Some(key) = self.key.take() {
            self.records.finish(key, result, true);
        }
    }
}

impl<K: RunKey> Drop for RunGuard<K> {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.records.finish(key, RecordedResult::Unknown, false);
        }
    }
}

impl<K: RunKey> RunWaiter<K> {
    /// Sets the task that is cancelled when the last waiter is dropped.
    pub fn set_abort(&self, abort: AbortHandle) {
        if let Some(run) = self.records.state.lock().runs.get_mut(&self.key) {
            run.abort = Some(abort);
        }
    }

    /// Waits for the result of the run.
    pub async fn result(&mut self) -> RecordedResult {
        match self.result.wait_for(Option::is_some).await {
            Ok(result) => result.clone().unwrap_or(RecordedResult::Unknown),
            Err(_) => RecordedResult::Unknown,
        }
    }
}

impl<K: RunKey> Drop for RunWaiter<K> {
    fn drop(&mut self) {
        self.records.remove_waiter(self.key);
    }
}
