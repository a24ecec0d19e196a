//! Runs at the local backend server that peers requested.

use crate::{common::*, decision::mesh::forgotten_runs::ForgottenRuns};

/// Identifies one run by the id of the daemon that requested it and a counter of that daemon.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash)]
pub struct RunId {
    /// Id of the sender, a random number drawn at its start.
    pub sender: u64,
    /// Counter of the sender.
    pub number: u64,
}

/// Time after the deadline of a run for which its result or its end is kept. The sender waits until
/// the deadline, and can resume the run late if its process was paused.
const KEPT_AFTER_DEADLINE: Duration = Duration::from_secs(1);

/// Time for which a blocked run is kept in the table. A request that was in transit for longer is
/// refused because of its age.
const BLOCK_LIFETIME: Duration = Duration::from_secs(20);

/// Most bytes of kept results. The largest are dropped first, those of at-most-once runs last.
const MAX_RESULT_BYTES: usize = 8 << 20;

/// What the sender said of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunTerms {
    /// Whether the request may run at most once.
    pub is_at_most_once: bool,
    /// Time until which the sender waits for the result.
    pub deadline: Instant,
}

/// Why a run will not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlockCause {
    /// Its sender no longer waits for it.
    Cancelled,
    /// Its sender lost its connection and did not reconnect in time.
    Orphaned,
    /// Its sender resumed it, and its message had never arrived.
    Missing,
}

/// Whether a run starts when its message arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartVerdict {
    /// The run is new.
    Started,
    /// The run is in the table.
    Known,
    /// The message is so late that the table may have forgotten the run.
    Forgotten,
}

/// State of a run that is returned to its sender on a new connection.
#[derive(Debug, Eq, PartialEq)]
pub enum ResumedRun<T> {
    /// The run is in progress; its result will follow.
    Running,
    /// The run has ended.
    Finished(T),
    /// The run may have begun, and its result is not known.
    Unknown,
    /// The run has not begun and will not, also if its message arrives later.
    Blocked(BlockCause),
}

impl<T> ResumedRun<T> {
    /// Returns the name that is used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Finished(_) => "finished",
            Self::Unknown => "unknown",
            Self::Blocked(BlockCause::Cancelled) => "cancelled",
            Self::Blocked(BlockCause::Orphaned) => "orphaned",
            Self::Blocked(BlockCause::Missing) => "missing",
        }
    }
}

#[derive(Debug)]
enum RunState<T> {
    /// In progress. `has_begun` is whether the request may have been sent to the backend server.
    Running {
        terms: RunTerms,
        has_begun: bool,
        orphaned_at: Option<Instant>,
    },
    Finished {
        result: T,
        bytes: usize,
        terms: RunTerms,
    },
    /// Begun, without a result that is kept.
    Ended { kept_until: Instant },
    /// Not begun.
    Blocked {
        cause: BlockCause,
        kept_until: Instant,
    },
}

impl<T> RunState<T> {
    /// Returns until when the run is kept; `None` while it is in progress.
    fn kept_until(&self) -> Option<Instant> {
        match self {
            Self::Running { .. } => None,
            Self::Finished { terms, .. } => Some(terms.deadline + KEPT_AFTER_DEADLINE),
            Self::Ended { kept_until } | Self::Blocked { kept_until, .. } => Some(*kept_until),
        }
    }
}

/// Runs that peers requested. Each run begins at most once, and one that may have begun is never
/// reported as blocked, also after it was removed from the table.
#[derive(Debug)]
pub struct RunTable<T> {
    runs: IndexMap<RunId, RunState<T>>,
    forgotten: ForgottenRuns,
    result_bytes: usize,
}

impl<T: Clone> RunTable<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            runs: IndexMap::new(),
            forgotten: ForgottenRuns::default(),
            result_bytes: 0,
        }
    }

    /// Registers a run whose message arrived. Only a started run may begin.
    pub fn start(&mut self, id: RunId, terms: RunTerms) -> StartVerdict {
        if self.runs.contains_key(&id) {
            return StartVerdict::Known;
        }
        if self.forgotten.may_contain(id) {
            return StartVerdict::Forgotten;
        }
        let state = RunState::Running {
            terms,
            has_begun: false,
            orphaned_at: None,
        };
        self.runs.insert(id, state);
        StartVerdict::Started
    }

    /// Records that the request is about to be sent to the backend server; returns false if the run
    /// was stopped, so that it must not be sent.
    pub fn begin(&mut self, id: RunId) -> bool {
        let Some(RunState::Running { has_begun, .. }) = self.runs.get_mut(&id) else {
            return false;
        };
        *has_begun = true;
        true
    }

    /// Records the result of a run, unless the run was stopped in the meantime.
    pub fn finish(&mut self, id: RunId, result: T, bytes: usize) {
        let Some(state) = self.runs.get_mut(&id) else {
            return;
        };
        let RunState::Running { terms, .. } = *state else {
            return;
        };
        *state = RunState::Finished {
            result,
            bytes,
            terms,
        };
        self.result_bytes += bytes;
        while self.result_bytes > MAX_RESULT_BYTES {
            self.drop_result();
        }
    }

    /// Stops a run and drops its result. If it has not begun, it will not.
    pub fn stop(&mut self, id: RunId, cause: BlockCause, now: Instant) {
        let blocked = RunState::Blocked {
            cause,
            kept_until: now + BLOCK_LIFETIME,
        };
        let Some(state) = self.runs.get_mut(&id) else {
            if !self.forgotten.may_contain(id) {
                self.runs.insert(id, blocked);
            }
            return;
        };
        match *state {
            RunState::Running {
                has_begun: false, ..
            } => *state = blocked,
            RunState::Running { terms, .. } => *state = ended(terms),
            RunState::Finished { bytes, terms, .. } => {
                self.result_bytes -= bytes;
                *state = ended(terms);
            }
            RunState::Ended { .. } | RunState::Blocked { .. } => {}
        }
    }

    /// Returns the state of a run to its sender on a new connection. A run whose message never
    /// arrived is blocked.
    pub fn resume(&mut self, id: RunId, now: Instant) -> ResumedRun<T> {
        match self.runs.get_mut(&id) {
            Some(RunState::Running { orphaned_at, .. }) => {
                *orphaned_at = None;
                ResumedRun::Running
            }
            Some(RunState::Finished { result, .. }) => ResumedRun::Finished(result.clone()),
            Some(RunState::Ended { .. }) => ResumedRun::Unknown,
            Some(RunState::Blocked { cause, .. }) => ResumedRun::Blocked(*cause),
            None if self.forgotten.may_contain(id)
                || self.forgotten.may_have_dropped(id.sender) =>
            {
                ResumedRun::Unknown
            }
            None => {
                self.stop(id, BlockCause::Missing, now);
                ResumedRun::Blocked(BlockCause::Missing)
            }
        }
    }

    /// Marks the runs of a sender as orphaned after its connection ended. They are stopped unless
    /// the sender reconnects in time.
    pub fn orphan(&mut self, sender: u64, now: Instant) {
        for (id, state) in &mut self.runs {
            if let RunState::Running { orphaned_at, .. } = state
                && id.sender == sender
            {
                orphaned_at.get_or_insert(now);
            }
        }
    }

    /// Removes what no sender waits for any more; returns the runs to stop, which have been orphaned
    /// for `orphan_timeout`. An at-most-once run that has begun is completed: its sender may still
    /// ask for the result, and nobody may repeat it.
    pub fn expire(&mut self, orphan_timeout: Duration, now: Instant) -> Vec<RunId> {
        let (forgotten, result_bytes) = (&mut self.forgotten, &mut self.result_bytes);
        self.runs.retain(|id, state| {
            if state.kept_until().is_none_or(|kept_until| now < kept_until) {
                return true;
            }
            if let RunState::Finished { bytes, .. } = state {
                *result_bytes -= *bytes;
            }
            forgotten.add(*id);
            false
        });
        let orphaned = self.runs.iter().filter_map(|(id, state)| match state {
            RunState::Running {
                terms,
                has_begun,
                orphaned_at: Some(since),
            } if *since + orphan_timeout <= now => {
                let is_completed = *has_begun && terms.is_at_most_once;
                (!is_completed).then_some(*id)
            }
            _ => None,
        });
        orphaned.collect()
    }

    /// Returns the number of runs that have not ended.
    pub fn running(&self) -> usize {
        let states = self.runs.values();
        states
            .filter(|state| matches!(state, RunState::Running { .. }))
            .count()
    }

    /// Drops the largest result, one of an at-most-once run only if there is no other.
    fn drop_result(&mut self) {
        let largest = self
            .runs
            .values_mut()
            .filter_map(|state| match *state {
                RunState::Finished { bytes, terms, .. } if bytes > 0 => Some((state, bytes, terms)),
                _ => None,
            })
            .max_by_key(|(_, bytes, terms)| (!terms.is_at_most_once, *bytes));
        if let Some((state, bytes, terms)) = largest {
            self.result_bytes -= bytes;
            *state = ended(terms);
        }
    }
}

impl<T: Clone> Default for RunTable<T> {
    fn default() -> Self {
        Self::new()
    }
}

fn ended<T>(terms: RunTerms) -> RunState<T> {
    RunState::Ended {
        kept_until: terms.deadline + KEPT_AFTER_DEADLINE,
    }
}
