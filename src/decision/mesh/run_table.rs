//! Runs at the local backend server that peers requested.

use crate::common::*;

/// Identifies one run by the id of the daemon that requested it and a counter of that daemon.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash)]
pub struct RunId {
    /// Id of the sender, a random number drawn at its start.
    pub sender: u64,
    /// Counter of the sender.
    pub number: u64,
}

/// Time for which the result of a run is kept for a sender whose connection broke.
const RESULT_LIFETIME: Duration = Duration::from_secs(4);

/// Time for which a blocked run is kept in the table. A request that was in transit for longer is
/// refused because of its age.
const BLOCK_LIFETIME: Duration = Duration::from_secs(20);

/// Bytes of kept results above which all of them are dropped.
const MAX_RESULT_BYTES: usize = 8 << 20;

/// State of a run.
#[derive(Debug)]
enum RunState<T> {
    Running {
        orphaned_at: Option<Instant>,
    },
    Finished {
        result: T,
        bytes: usize,
        finished_at: Instant,
    },
    Blocked {
        blocked_at: Instant,
        cause: BlockCause,
    },
}

/// Why a run will not start, or is not known any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlockCause {
    /// Its sender no longer waits for it.
    Cancelled,
    /// Its sender lost its connection and did not reconnect in time.
    Orphaned,
    /// Its sender resumed it, and it was not in the table.
    Missing,
}

impl BlockCause {
    /// Returns the name that is used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Orphaned => "orphaned",
            Self::Missing => "missing",
        }
    }
}

/// State of a run that is returned to its sender on a new connection.
#[derive(Debug, Eq, PartialEq)]
pub enum ResumedRun<T> {
    /// The run is in progress; its result will follow.
    Running,
    /// The run has ended.
    Finished(T),
    /// The run was cancelled or never arrived; it will not start if its message arrives later.
    Blocked(BlockCause),
}

/// Runs that peers requested. Each run starts at most once.
#[derive(Debug)]
pub struct RunTable<T> {
    runs: IndexMap<RunId, RunState<T>>,
    result_bytes: usize,
}

impl<T: Clone> RunTable<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            runs: IndexMap::new(),
            result_bytes: 0,
        }
    }

    /// Registers a new run; returns false if it is already in the table, so that it must not start.
    pub fn start(&mut self, id: RunId) -> bool {
        if self.runs.contains_key(&id) {
            return false;
        }
        self.runs
            .insert(id, RunState::Running { orphaned_at: None });
        true
    }

    /// Records the result of a run, unless the run was blocked in the meantime.
    pub fn finish(&mut self, id: RunId, result: T, bytes: usize, now: Instant) {
        let Some(state @ RunState::Running { .. }) = self.runs.get_mut(&id) else {
            return;
        };
        *state = RunState::Finished {
            result,
            bytes,
            finished_at: now,
        };
        self.result_bytes += bytes;
    }

    /// Discards a run and its result, and prevents it from starting later.
    pub fn block(&mut self, id: RunId, cause: BlockCause, now: Instant) {
        let blocked = RunState::Blocked {
            blocked_at: now,
            cause,
        };
        if let Some(RunState::Finished { bytes, .. }) = self.runs.insert(id, blocked) {
            self.result_bytes -= bytes;
        }
    }

    /// Returns the state of a run to its sender on a new connection. A run that is not in the table
    /// is blocked.
    pub fn resume(&mut self, id: RunId, now: Instant) -> ResumedRun<T> {
        match self.runs.get_mut(&id) {
            Some(RunState::Running { orphaned_at }) => {
                *orphaned_at = None;
                ResumedRun::Running
            }
            Some(RunState::Finished { result, .. }) => ResumedRun::Finished(result.clone()),
            Some(RunState::Blocked { cause, .. }) => ResumedRun::Blocked(*cause),
            None => {
                self.block(id, BlockCause::Missing, now);
                ResumedRun::Blocked(BlockCause::Missing)
            }
        }
    }

    /// Marks the runs of a sender as orphaned after its connection ended. They are cancelled unless
    /// the sender reconnects in time.
    pub fn orphan(&mut self, sender: u64, now: Instant) {
        for (id, state) in &mut self.runs {
            if let RunState::Running { orphaned_at } = state
                && id.sender == sender
            {
                orphaned_at.get_or_insert(now);
            }
        }
    }

    /// Drops old results and blocks; returns the runs that have been orphaned for `orphan_timeout`.
    pub fn expire(&mut self, orphan_timeout: Duration, now: Instant) -> Vec<RunId> {
        let mut dropped_bytes = 0;
        let exceeds_limit = self.result_bytes > MAX_RESULT_BYTES;
        self.runs.retain(|_, state| match state {
            RunState::Running { .. } => true,
            RunState::Finished {
                bytes, finished_at, ..
            } => {
                let is_kept = *finished_at + RESULT_LIFETIME > now && !exceeds_limit;
                dropped_bytes += if is_kept { 0 } else { *bytes };
                is_kept
            }
            RunState::Blocked { blocked_at, .. } => *blocked_at + BLOCK_LIFETIME > now,
        });
        self.result_bytes -= dropped_bytes;
        let orphaned = self.runs.iter().filter_map(|(id, state)| match state {
            RunState::Running {
                orphaned_at: Some(since),
            } if *since + orphan_timeout <= now => Some(*id),
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
}

impl<T: Clone> Default for RunTable<T> {
    fn default() -> Self {
        Self::new()
    }
}
