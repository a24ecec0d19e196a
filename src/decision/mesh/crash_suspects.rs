//! Requests that are suspected of crashing the backend servers that run them.
//!
//! Each daemon records the crashes that ended runs of a request, as the daemons beside the crashed
//! servers report them, and sends what changes to its peers. The records are merged by the ids of the
//! crashes, so that their order and repetitions do not matter. A response clears a request of the
//! crashes that were known by then: requests that crash servers never get one.

use crate::{
    common::*,
    decision::mesh::{crash_id::CrashId, request_fingerprint::RequestFingerprint},
};
use indexmap::IndexSet;

/// Crashes without a response in between after which a request runs only where no other suspect runs,
/// and is not sent to a further server when an attempt ends in a crash.
const ISOLATION_CRASHES: usize = 2;

/// Crashes without a response in between after which a request is refused.
const REFUSAL_CRASHES: usize = 3;

/// Time after the last crash of a refused request or its last trial until it is tried once more. A
/// request may run beside the one that crashed the server three times.
const TRIAL_DELAY: Duration = Duration::from_secs(20);

/// Most trials of a refused request. Each may end a server.
const MAX_TRIALS: u32 = 2;

/// Time after which a request that did not come again is forgotten, unless it is refused.
const FORGET_TIME: Duration = Duration::from_secs(600);

/// Time after which a refused request that did not come again is forgotten. In a large fleet a request
/// may enter at the same daemon only each few hours.
const FORGET_REFUSED_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Most requests that are recorded.
const MAX_RECORDS: usize = 4_096;

/// Most crashes that are recorded for one request.
const MAX_CRASHES: usize = 8;

/// Most records in one message.
pub const MAX_MESSAGE_RECORDS: usize = 512;

/// What a daemon knows of one suspected request, as sent to its peers.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Request.
    pub request: RequestFingerprint,
    /// Crashes that ended a run of the request.
    pub crashes: Vec<CrashId>,
    /// Crashes after which the request got a response, so that it did not cause them.
    pub cleared: Vec<CrashId>,
    /// Runs after the request was refused.
    pub trials: u32,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectVerdict {
    /// It is not suspected.
    Free,
    /// It runs only where no other suspect runs.
    Isolated,
    /// It is refused.
    Refused,
}

#[derive(Debug)]
struct SuspectState {
    record: SuspectRecord,
    /// Time of the last crash or trial.
    last_event: Instant,
    last_seen: Instant,
}

impl SuspectState {
    fn new(request: RequestFingerprint, now: Instant) -> Self {
        Self {
            record: SuspectRecord {
                request,
                crashes: Vec::new(),
                cleared: Vec::new(),
                trials: 0,
            },
            last_event: now,
            last_seen: now,
        }
    }

    fn verdict(&self, now: Instant) -> SuspectVerdict {
        let crashes = self.record.crashes.len();
        if crashes < ISOLATION_CRASHES {
            return SuspectVerdict::Free;
        }
        let is_trial_due = self.record.trials < MAX_TRIALS && self.last_event + TRIAL_DELAY <= now;
        // A trial that ended in a crash shows that the request is the cause.
        if crashes < REFUSAL_CRASHES || (crashes == REFUSAL_CRASHES && is_trial_due) {
            return SuspectVerdict::Isolated;
        }
        SuspectVerdict::Refused
    }

    /// Merges a record; returns whether anything was new.
    fn merge(&mut self, record: &SuspectRecord, now: Instant) -> bool {
        let own = &mut self.record;
        let new_crashes: Vec<CrashId> = record
            .crashes
            .iter()
            .filter(|crash| !own.crashes.contains(crash) && !own.cleared.contains(crash))
            .take(MAX_CRASHES.saturating_sub(own.crashes.len()))
            .copied()
            .collect();
        let new_cleared: Vec<CrashId> = record
            .cleared
            .iter()
            .filter(|crash| !own.cleared.contains(crash))
            .take(MAX_CRASHES)
            .copied()
            .collect();
        let is_new =
            !new_crashes.is_empty() || !new_cleared.is_empty() || record.trials > own.trials;
        if !new_crashes.is_empty() || record.trials > own.trials {
            self.last_event = now;
        }
        own.trials = own.trials.max(record.trials);
        own.crashes.extend(new_crashes);
        self.clear(&new_cleared);
        is_new
    }

    /// Moves crashes to the cleared ones.
    fn clear(&mut self, cleared: &[CrashId]) {
        let own = &mut self.record;
        own.crashes.retain(|crash| !cleared.contains(crash));
        own.cleared.extend_from_slice(cleared);
        let excess = own.cleared.len().saturating_sub(MAX_CRASHES);
        own.cleared.drain(..excess);
        if own.crashes.is_empty() {
            own.trials = 0;
        }
    }
}

/// Suspected requests, and the changes that the peers do not know yet.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: IndexMap<RequestFingerprint, SuspectState>,
    changed: IndexSet<RequestFingerprint>,
    /// Suspects that run at the local backend server.
    running: IndexSet<RequestFingerprint>,
    /// Requests that the operator has released.
    released: Vec<RequestFingerprint>,
}

impl SuspectTable {
    /// Sets the requests that are never suspected.
    pub fn set_released(&mut self, released: Vec<RequestFingerprint>) {
        self.suspects
            .retain(|request, _| !released.contains(request));
        self.released = released;
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the numbers of requests that run isolated and that are refused.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let verdicts = || self.suspects.values().map(|state| state.verdict(now));
        let count = |wanted| verdicts().filter(|verdict| *verdict == wanted).count();
        (
            count(SuspectVerdict::Isolated),
            count(SuspectVerdict::Refused),
        )
    }

    /// Returns how a request is treated that has come again.
    pub fn verdict(&mut self, request: RequestFingerprint, now: Instant) -> SuspectVerdict {
        let Some(state) = self.suspects.get_mut(&request) else {
            return SuspectVerdict::Free;
        };
        state.last_seen = now;
        state.verdict(now)
    }

    /// Returns whether a request whose attempt ended in a crash may be sent to a further server.
    pub fn may_retry(&self, request: RequestFingerprint) -> bool {
        let state = self.suspects.get(&request);
        state.is_none_or(|state| state.record.crashes.len() < ISOLATION_CRASHES)
    }

    /// Records a crash that ended a run of a request; returns whether the request is refused from
    /// now on and was not before.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        crash: CrashId,
        now: Instant,
    ) -> bool {
        let record = SuspectRecord {
            request,
            crashes: vec![crash],
            cleared: Vec::new(),
            trials: 0,
        };
        self.merge(&record, now)
    }

    /// Lets the peers know the record of a request. Only the daemon beside the server on which it ran
    /// does this, so that each change is sent once.
    pub fn announce(&mut self, request: RequestFingerprint) {
        self.changed.insert(request);
    }

    /// Records that a run of a request got a response of its backend server; returns whether this
    /// clears the request.
    pub fn record_response(&mut self, request: RequestFingerprint) -> bool {
        let Some(state) = self.suspects.get_mut(&request) else {
            return false;
        };
        if state.record.crashes.is_empty() {
            return false;
        }
        let crashes = state.record.crashes.clone();
        state.clear(&crashes);
        self.announce(request);
        true
    }

    /// Starts an isolated run of a suspect at the local backend server; returns false if another
    /// suspect runs there, or if the request is refused by now.
    pub fn start_isolated(&mut self, request: RequestFingerprint, now: Instant) -> bool {
        let Some(state) = self.suspects.get_mut(&request) else {
            return true;
        };
        if !self.running.is_empty() || state.verdict(now) == SuspectVerdict::Refused {
            return false;
        }
        self.running.insert(request);
        if state.record.crashes.len() >= REFUSAL_CRASHES {
            state.record.trials += 1;
            state.last_event = now;
            self.announce(request);
        }
        true
    }

    /// Records the end of an isolated run.
    pub fn end_isolated(&mut self, request: RequestFingerprint) {
        self.running.swap_remove(&request);
    }

    /// Merges a record of a peer; returns whether the request is refused from now on and was not
    /// before.
    pub fn merge(&mut self, record: &SuspectRecord, now: Instant) -> bool {
        let request = record.request;
        if self.released.contains(&request) {
            return false;
        }
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_RECORDS {
            self.forget_one(now);
        }
        let state = self
            .suspects
            .entry(request)
            .or_insert_with(|| SuspectState::new(request, now));
        let previous_crashes = state.record.crashes.len();
        if state.merge(record, now) {
            state.last_seen = now;
        }
        previous_crashes < REFUSAL_CRASHES && state.record.crashes.len() >= REFUSAL_CRASHES
    }

    /// Drops the requests that did not come again for a long time.
    pub fn forget_old(&mut self, now: Instant) {
        self.suspects.retain(|_, state| {
            let is_refused = state.record.crashes.len() >= REFUSAL_CRASHES;
            let lifetime = if is_refused {
                FORGET_REFUSED_TIME
            } else {
                FORGET_TIME
            };
            state.last_seen + lifetime > now
        });
    }

    /// Takes the records that changed, at most as many as a message may hold.
    pub fn take_changes(&mut self) -> Vec<SuspectRecord> {
        let count = self.changed.len().min(MAX_MESSAGE_RECORDS);
        let changed = self.changed.drain(..count);
        let states = changed.filter_map(|request| self.suspects.get(&request));
        states.map(|state| state.record.clone()).collect()
    }

    /// Returns the records of requests that are not free, for a peer that may not know them.
    pub fn known_suspects(&self, now: Instant) -> Vec<SuspectRecord> {
        let states = self.suspects.values();
        states
            .filter(|state| state.verdict(now) != SuspectVerdict::Free)
            .map(|state| state.record.clone())
            .take(MAX_MESSAGE_RECORDS)
            .collect()
    }

    /// Drops the record with the fewest crashes, and of those the one that was seen least recently.
    fn forget_one(&mut self, now: Instant) {
        self.forget_old(now);
        let states = self.suspects.iter();
        let least = states
            .min_by_key(|(_, state)| (state.record.crashes.len(), state.last_seen))
            .map(|(request, _)| *request);
        if let Some(request) = least.filter(|_| self.suspects.len() >= MAX_RECORDS) {
            self.suspects.swap_remove(&request);
        }
    }
}
