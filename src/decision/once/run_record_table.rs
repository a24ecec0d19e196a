//! Bounded table of runs and their responses.

use crate::{common::*, decision::once::recorded_response::RecordedResponse};
use std::{collections::BTreeSet, hash::Hash};

/// Time by which the expiry of a record is postponed while its run is still in flight.
const IN_FLIGHT_EXTENSION: Duration = Duration::from_secs(1);

/// Limits of a table.
#[derive(Clone, Copy, Debug)]
pub struct RecordLimits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of stored and reserved responses, in bytes.
    pub bytes: usize,
    /// Maximum size of a stored response, in bytes.
    pub response_bytes: usize,
    /// Bytes that are reserved for the response of each run in flight.
    pub reserved_bytes: usize,
}

/// Result of a run as recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedResult {
    /// The run has a response, which is stored.
    Kept(Arc<RecordedResponse>),
    /// The run has a response, which is not stored, for example because it is too large.
    NotKept,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Decision on a request with a key.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordDecision {
    /// The key is new: run the request and report its result.
    Run,
    /// The run is in flight: wait for its result.
    Wait,
    /// The run has finished with this result.
    Finished(RecordedResult),
    /// The key is cancelled: the request was not run and must not be run.
    Cancelled,
    /// The key was used for a different request.
    Mismatch,
    /// The table is full and has no record of the key.
    Full,
}

#[derive(Clone, Debug)]
enum RecordState {
    InFlight,
    Finished(RecordedResult),
    Cancelled,
}

#[derive(Debug)]
struct RecordEntry {
    state: RecordState,
    fingerprint: u64,
    expiry: Instant,
}

/// Stores the records of runs until their expiry.
///
/// No record is evicted before its expiry to make room, since its key could then run again. A full
/// table accepts no new keys instead.
#[derive(Debug)]
pub struct RunRecordTable<K> {
    limits: RecordLimits,
    entries: IndexMap<K, RecordEntry>,
    expiries: BTreeSet<(Instant, K)>,
    bytes: usize,
}

impl<K: Copy + Eq + Hash + Ord> RunRecordTable<K> {
    /// Creates an empty table.
    pub fn new(limits: RecordLimits) -> Self {
        Self {
            limits,
            entries: IndexMap::new(),
            expiries: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Decides on an arriving request. `fingerprint` depends on the content of the request and
    /// detects another request with the same key.
    pub fn begin(
        &mut self,
        key: K,
        fingerprint: u64,
        expiry: Instant,
        now: Instant,
    ) -> RecordDecision {
        self.remove_expired(now);
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

    /// Decides on a query for the result of an earlier request. A key without a record is
    /// cancelled, so that the request does not run if it arrives later.
    pub fn resume(&mut self, key: K, expiry: Instant, now: Instant) -> RecordDecision {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.decision(entry.fingerprint);
        }
        if self.is_full() {
            return RecordDecision::Full;
        }
        self.insert(key, RecordState::Cancelled, 0, expiry);
        RecordDecision::Cancelled
    }

    /// Records the result of a run and returns it as stored.
    pub fn finish(&mut self, key: K, result: RecordedResult) -> RecordedResult {
        let Some(entry) = self.entries.get_mut(&key) else {
            return result;
        };
        if !matches!(entry.state, RecordState::InFlight) {
            return result;
        }
        self.bytes -= self.limits.reserved_bytes;
        let size = result.size();
        let fits = size <= self.limits.response_bytes && self.bytes + size <= self.limits.bytes;
        let result = if fits {
            result
        } else {
            RecordedResult::NotKept
        };
        self.bytes += result.size();
        entry.state = RecordState::Finished(result.clone());
        result
    }

    /// Removes the record of a run in flight that did not run after all, so that the key can be
    /// used again.
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

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of stored responses and of reservations for runs in flight.
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
            RecordState::Finished(result) => result.size(),
            RecordState::Cancelled => 0,
        };
    }

    fn remove_expired(&mut self, now: Instant) {
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
            RecordState::Finished(result) => RecordDecision::Finished(result.clone()),
        }
    }
}

impl RecordedResult {
    fn size(&self) -> usize {
        match self {
            Self::Kept(response) => response.size(),
            Self::NotKept | Self::Unknown => 0,
        }
    }
}
