//! Runs that other daemons asked for.

use crate::common::*;

/// Identifies one attempt: the start of the sending daemon and its counter.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash)]
pub struct RunId {
    /// Random number that the sender draws at its start.
    pub sender: u64,
    /// Counter of the sender.
    pub number: u64,
}

/// Time for which the result of a run is kept for a sender whose connection broke.
const RESULT_LIFETIME: Duration = Duration::from_secs(4);

/// Time for which a barred run is remembered. A request that was under way longer is refused for
/// its age.
const BAR_LIFETIME: Duration = Duration::from_secs(20);

/// Most bytes of kept results.
const MAX_RESULT_BYTES: usize = 8 << 20;

/// What is known of a run.
#[derive(Debug)]
enum RunState<T> {
    Running {
        orphaned: Option<Instant>,
    },
    Finished {
        result: T,
        bytes: usize,
        at: Instant,
    },
    Barred {
        at: Instant,
    },
}

/// Answer to a sender that asks for a run on a new connection.
#[derive(Debug, Eq, PartialEq)]
pub enum ResumedRun<T> {
    /// The run goes on; its result will follow.
    Running,
    /// The run has ended.
    Finished(T),
    /// The run never arrived, and will not start if it does.
    Barred,
}

/// Table of the runs of other daemons. A run starts at most once.
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

    /// Starts a run; returns false if it is known, so that it must not start.
    pub fn start(&mut self, id: RunId) -> bool {
        if self.runs.contains_key(&id) {
            return false;
        }
        self.runs.insert(id, RunState::Running { orphaned: None });
        true
    }

    /// Records the result of a run that was not barred meanwhile.
    pub fn finish(&mut self, id: RunId, result: T, bytes: usize, now: Instant) {
        let Some(state @ RunState::Running { .. }) = self.runs.get_mut(&id) else {
            return;
        };
        *state = RunState::Finished {
            result,
            bytes,
            at: now,
        };
        self.result_bytes += bytes;
    }

    /// Ends a run for good, or makes sure that it does not start.
    pub fn bar(&mut self, id: RunId, now: Instant) {
        if let Some(RunState::Finished { bytes, .. }) =
            self.runs.insert(id, RunState::Barred { at: now })
        {
            self.result_bytes -= bytes;
        }
    }

    /// Looks a run up for a sender on a new connection; an unknown one is barred.
    pub fn resume(&mut self, id: RunId, now: Instant) -> ResumedRun<T> {
        match self.runs.get_mut(&id) {
            Some(RunState::Running { orphaned }) => {
                *orphaned = None;
                ResumedRun::Running
            }
            Some(RunState::Finished { result, .. }) => ResumedRun::Finished(result.clone()),
            Some(RunState::Barred { .. }) => ResumedRun::Barred,
            None => {
                self.runs.insert(id, RunState::Barred { at: now });
                ResumedRun::Barred
            }
        }
    }

    /// Records that the connection of a sender ended; its runs end unless it comes back.
    pub fn orphan(&mut self, sender: u64, now: Instant) {
        for (id, state) in &mut self.runs {
            if let RunState::Running { orphaned } = state
                && id.sender == sender
            {
                orphaned.get_or_insert(now);
            }
        }
    }

    /// Drops old entries; returns the runs that have been without a sender for `patience`.
    pub fn expire(&mut self, patience: Duration, now: Instant) -> Vec<RunId> {
        let mut dropped_bytes = 0;
        let is_over = self.result_bytes > MAX_RESULT_BYTES;
        self.runs.retain(|_, state| match state {
            RunState::Running { .. } => true,
            RunState::Finished { bytes, at, .. } => {
                let is_kept = *at + RESULT_LIFETIME > now && !is_over;
                dropped_bytes += if is_kept { 0 } else { *bytes };
                is_kept
            }
            RunState::Barred { at } => *at + BAR_LIFETIME > now,
        });
        self.result_bytes -= dropped_bytes;
        let lost = self.runs.iter().filter_map(|(id, state)| match state {
            RunState::Running {
                orphaned: Some(since),
            } if *since + patience <= now => Some(*id),
            _ => None,
        });
        lost.collect()
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
