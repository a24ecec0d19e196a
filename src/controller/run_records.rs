//! Connects repeated requests with the run that they repeat.

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

/// Record with the runs in flight and the requests that wait for them.
pub struct RunRecords<K: RunKey> {
    state: Mutex<RecordsState<K>>,
    clock: Arc<dyn Clock>,
    is_cancelled_by_leave: bool,
}

struct RecordsState<K> {
    record: RunRecordTable<K>,
    runs: IndexMap<K, ActiveRun>,
    unrecorded_until: Option<Instant>,
}

struct ActiveRun {
    end: watch::Sender<Option<RecordedResult>>,
    waiters: usize,
    abort: Option<AbortHandle>,
}

/// What to do with an arriving request.
pub enum RunEntry<K: RunKey> {
    /// Run it; the waiter stands for the request itself.
    Run(RunGuard<K>, RunWaiter<K>),
    /// Wait for the run in flight.
    Wait(RunWaiter<K>),
    /// The decision of the record is final.
    Decided(RecordDecision),
}

/// Run that reports its end. Dropping it records that the outcome is unknown.
pub struct RunGuard<K: RunKey> {
    records: Arc<RunRecords<K>>,
    key: Option<K>,
}

/// Request that waits for a run.
pub struct RunWaiter<K: RunKey> {
    records: Arc<RunRecords<K>>,
    key: K,
    end: watch::Receiver<Option<RecordedResult>>,
}

impl<K: RunKey> RunRecords<K> {
    /// Creates an empty record. With `is_cancelled_by_leave`, a run is cancelled when the last
    /// request that waits for it goes away.
    pub fn new(limits: RecordLimits, clock: Arc<dyn Clock>, is_cancelled_by_leave: bool) -> Self {
        Self {
            state: Mutex::new(RecordsState {
                record: RunRecordTable::new(limits),
                runs: IndexMap::new(),
                unrecorded_until: None,
            }),
            clock,
            is_cancelled_by_leave,
        }
    }

    /// Decides on the arrival of a request.
    pub fn begin(self: &Arc<Self>, key: K, fingerprint: u64, expiry: Instant) -> RunEntry<K> {
        let mut state = self.state.lock();
        let decision = state
            .record
            .begin(key, fingerprint, expiry, self.clock.now());
        if decision == RecordDecision::Run {
            let run = ActiveRun {
                end: watch::Sender::new(None),
                waiters: 0,
                abort: None,
            };
            state.runs.insert(key, run);
            let waiter = self.wait(&mut state, key);
            let guard = RunGuard {
                records: Arc::clone(self),
                key: Some(key),
            };
            return waiter.map_or(RunEntry::Decided(decision), |waiter| {
                RunEntry::Run(guard, waiter)
            });
        }
        self.entry(&mut state, key, decision)
    }

    /// Decides on a question for an earlier request.
    pub fn resume(self: &Arc<Self>, key: K, expiry: Instant) -> RunEntry<K> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let mut decision = state.record.resume(key, expiry, now);
        let may_be_unrecorded = state.unrecorded_until.is_some_and(|until| now < until);
        if decision == RecordDecision::Cancelled && may_be_unrecorded {
            decision = RecordDecision::Finished(RecordedResult::Unknown);
        }
        self.entry(&mut state, key, decision)
    }

    /// Notes that a request runs without a record until `expiry`; a question for an unseen request
    /// has an unknown answer until then.
    pub fn note_unrecorded(&self, expiry: Instant) {
        let mut state = self.state.lock();
        state.unrecorded_until = state.unrecorded_until.max(Some(expiry));
    }

    fn entry(
        self: &Arc<Self>,
        state: &mut RecordsState<K>,
        key: K,
        decision: RecordDecision,
    ) -> RunEntry<K> {
        if decision != RecordDecision::Wait {
            return RunEntry::Decided(decision);
        }
        match self.wait(state, key) {
            Some(waiter) => RunEntry::Wait(waiter),
            None => RunEntry::Decided(RecordDecision::Finished(RecordedResult::Unknown)),
        }
    }

    fn wait(self: &Arc<Self>, state: &mut RecordsState<K>, key: K) -> Option<RunWaiter<K>> {
        let run = state.runs.get_mut(&key)?;
        run.waiters += 1;
        Some(RunWaiter {
            records: Arc::clone(self),
            key,
            end: run.end.subscribe(),
        })
    }

    fn finish(&self, key: K, end: RecordedResult, is_released: bool) {
        let mut state = self.state.lock();
        let end = if is_released {
            state.record.release(key);
            end
        } else {
            state.record.finish(key, end)
        };
        if let Some(run) = state.runs.swap_remove(&key) {
            run.end.send_replace(Some(end));
        }
    }

    fn leave(&self, key: K) {
        let abort = {
            let mut state = self.state.lock();
            let Some(run) = state.runs.get_mut(&key) else {
                return;
            };
            run.waiters -= 1;
            let is_cancelled = run.waiters == 0 && self.is_cancelled_by_leave;
            is_cancelled.then(|| run.abort.take()).flatten()
        };
        if let Some(abort) = abort {
            abort.abort();
        }
    }
}

impl<K: RunKey> RunGuard<K> {
    /// Records the end of the run.
    pub fn finish(mut self, end: RecordedResult) {
        if let Some(key) = self.key.take() {
            self.records.finish(key, end, false);
        }
    }

    /// Forgets a request that was not run; those that wait for it get its response.
    pub fn release(mut self, end: RecordedResult) {
        if let Some(key) = self.key.take() {
            self.records.finish(key, end, true);
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
    /// Sets the task that is cancelled when the last waiter goes away.
    pub fn set_abort(&self, abort: AbortHandle) {
        if let Some(run) = self.records.state.lock().runs.get_mut(&self.key) {
            run.abort = Some(abort);
        }
    }

    /// Waits for the end of the run.
    pub async fn end(&mut self) -> RecordedResult {
        match self.end.wait_for(Option::is_some).await {
            Ok(end) => end.clone().unwrap_or(RecordedResult::Unknown),
            Err(_) => RecordedResult::Unknown,
        }
    }
}

impl<K: RunKey> Drop for RunWaiter<K> {
    fn drop(&mut self) {
        self.records.leave(self.key);
    }
}
