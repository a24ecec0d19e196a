//! Bounded record of runs and their responses.

use crate::{common::*, decision::once::recorded_response::RecordedResponse};
use std::{collections::BTreeSet, hash::Hash};

/// Interval of the checks whether a run that outlives its record's expiry has ended.
const IN_FLIGHT_EXTENSION: Duration = Duration::from_secs(1);

/// Bounds of a record.
#[derive(Clone, Copy, Debug)]
pub struct RecordLimits {
    /// Most records.
    pub records: usize,
    /// Most bytes of responses.
    pub bytes: usize,
    /// Largest response that is kept, in bytes.
    pub response_bytes: usize,
    /// Bytes set aside for the response of each run in flight.
    pub reserved_bytes: usize,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// The response is kept.
    Kept(Arc<RecordedResponse>),
    /// The run has a response that is not kept.
    NotKept,
    /// It is unknown whether the request ran.
    Lost,
}

/// What to do with a request whose key is recorded here.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordDecision {
    /// The key is new: run the request and report its end.
    Run,
    /// The request is in flight: wait for its end.
    Wait,
    /// The run has ended.
    Ended(RunEnd),
    /// The key is cancelled; the request was not run and must not be run.
    Cancelled,
    /// The key was used for a different request.
    Mismatch,
    /// The record is full. The key is not in it.
    Full,
}

#[derive(Clone, Debug)]
enum RecordState {
    InFlight,
    Ended(RunEnd),
    Cancelled,
}

#[derive(Debug)]
struct RecordEntry {
    state: RecordState,
    fingerprint: u64,
    expiry: Instant,
}

/// Remembers runs until they expire, and never forgets one earlier to make room.
#[derive(Debug)]
pub struct AttemptRecord<K> {
    limits: RecordLimits,
    entries: IndexMap<K, RecordEntry>,
    expiries: BTreeSet<(Instant, K)>,
    bytes: usize,
}

impl<K: Copy + Eq + Hash + Ord> AttemptRecord<K> {
    /// Creates an empty record.
    pub fn new(limits: RecordLimits) -> Self {
        Self {
            limits,
            entries: IndexMap::new(),
            expiries: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Decides on the arrival of a request. `fingerprint` tells apart requests that misuse a key.
    pub fn begin(
        &mut self,
        key: K,
        fingerprint: u64,
        expiry: Instant,
        now: Instant,
    ) -> RecordDecision {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.decision(fingerprint);
        }
        if self.is_full() || self.bytes + self.limits.reserved_bytes > self.limits.bytes {
            return RecordDecision::Full;
        }
        self.bytes += self.limits.reserved_bytes;
        self.insert(key, RecordState::InFlight, fingerprint, expiry);
        RecordDecision::Run
    }

    /// Decides on a question for an earlier request. A key that was never seen is cancelled, so that
    /// a late arrival does not run.
    pub fn resume(&mut self, key: K, expiry: Instant, now: Instant) -> RecordDecision {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.decision(entry.fingerprint);
        }
        if self.is_full() {
            return RecordDecision::Full;
        }
        self.insert(key, RecordState::Cancelled, 0, expiry);
        RecordDecision::Cancelled
    }

    /// Records the end of a run and returns what is kept of it.
    pub fn finish(&mut self, key: K, end: RunEnd) -> RunEnd {
        let Some(entry) = self.entries.get_mut(&key) else {
            return end;
        };
        if !matches!(entry.state, RecordState::InFlight) {
            return end;
        }
        self.bytes -= self.limits.reserved_bytes;
        let size = end.size();
        let fits = size <= self.limits.response_bytes && self.bytes + size <= self.limits.bytes;
        let end = if fits { end } else { RunEnd::NotKept };
        self.bytes += end.size();
        entry.state = RecordState::Ended(end.clone());
        end
    }

    /// Forgets a run in flight that turned out not to have run, so that the key can be used again.
    pub fn release(&mut self, key: K) {
        let in_flight = self
            .entries
            .get(&key)
            .is_some_and(|entry| matches!(entry.state, RecordState::InFlight));
        if in_flight {
            self.remove(key);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of kept and expected responses.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.records
    }

    fn insert(&mut self, key: K, state: RecordState, fingerprint: u64, expiry: Instant) {
        self.expiries.insert((expiry, key));
        self.entries.insert(
            key,
            RecordEntry {
                state,
                fingerprint,
                expiry,
            },
        );
    }

    fn remove(&mut self, key: K) {
        let Some(entry) = self.entries.swap_remove(&key) else {
            return;
        };
        self.expiries.remove(&(entry.expiry, key));
        self.bytes -= match entry.state {
            RecordState::InFlight => self.limits.reserved_bytes,
            RecordState::Ended(end) => end.size(),
            RecordState::Cancelled => 0,
        };
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(expiry, key)) = self.expiries.first()
            && expiry <= now
        {
            match self.entries.get_mut(&key) {
                Some(entry) if matches!(entry.state, RecordState::InFlight) => {
                    self.expiries.remove(&(expiry, key));
                    entry.expiry = now + IN_FLIGHT_EXTENSION;
                    self.expiries.insert((entry.expiry, key));
                }
                _ => self.remove(key),
            }
        }
    }
}

impl RecordEntry {
    fn decision(&self, fingerprint: u64) -> RecordDecision {
        match &self.state {
            RecordState::Cancelled => RecordDecision::Cancelled,
            _ if self.fingerprint != fingerprint => RecordDecision::Mismatch,
            RecordState::InFlight => RecordDecision::Wait,
            RecordState::Ended(end) => RecordDecision::Ended(end.clone()),
        }
    }
}

impl RunEnd {
    fn size(&self) -> usize {
        match self {
            Self::Kept(response) => response.size(),
            Self::NotKept | Self::Lost => 0,
        }
    }
}
