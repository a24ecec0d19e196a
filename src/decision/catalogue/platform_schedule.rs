//! Schedule of a daemon's calls to the platform.

use super::{
    catalogue_message::PlatformCall, catalogue_node::CATALOGUE_TICK,
    platform_budget::PlatformBudget,
};
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Maximum number of concurrent reads of values from the platform.
const MAX_VALUE_CALLS: usize = 4;

/// Time after which a reader reads the whole index again. A platform that was restored from an
/// older copy may have reached the known revision with other keys.
const RESYNC_INTERVAL: Duration = Duration::from_secs(300);

/// Minimum time between two reads of a value. A stale platform returns an older version each time,
/// so that the read is repeated.
const VALUE_INTERVAL: Duration = Duration::from_secs(2);

/// What a daemon needs from the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformNeeds {
    /// Whether the daemon is a reader.
    pub is_reader: bool,
    /// Whether the index is empty.
    pub is_index_empty: bool,
    /// Whether no message was received from any peer within the peer timeout.
    pub is_isolated: bool,
    /// Largest number of daemons that were ever in the instance lists.
    pub fleet_size: usize,
    /// Keys whose values have to be read from the platform.
    pub missing: Vec<SmolStr>,
}

/// Schedule of the calls of one daemon to the platform, with those in progress.
#[derive(Debug)]
pub struct PlatformSchedule {
    budget: PlatformBudget,
    revision: Option<u64>,
    synced_at: Instant,
    is_index_call_pending: bool,
    pending_values: Vec<SmolStr>,
    last_reads: IndexMap<SmolStr, Instant>,
}

impl PlatformSchedule {
    /// Creates the schedule. A daemon without seed peers may call at once.
    pub fn new(has_no_seeds: bool, now: Instant) -> Self {
        Self {
            budget: PlatformBudget::new(has_no_seeds, now),
            revision: None,
            synced_at: now,
            is_index_call_pending: false,
            pending_values: Vec::new(),
            last_reads: IndexMap::new(),
        }
    }

    /// Returns the calls that are due; must be called on each tick.
    pub fn next_calls(
        &mut self,
        needs: &PlatformNeeds,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlatformCall> {
        self.last_reads.retain(|_, at| now < *at + VALUE_INTERVAL);
        if needs.is_reader {
            return self.reader_calls(needs, now, rng);
        }
        self.non_reader_call(needs, now, rng).into_iter().collect()
    }

    /// Records a successful index or watch call.
    pub fn on_index(&mut self, call: &PlatformCall, revision: u64, now: Instant) {
        self.is_index_call_pending = false;
        self.budget.record_success();
        match call {
            PlatformCall::Index => {
                self.revision = Some(revision);
                self.synced_at = now;
            }
            // A lower revision comes from an older copy of the platform. Its next revisions are
            // lower than `after` too, so that watching on would miss them.
            PlatformCall::Watch { after, .. } if revision < *after => self.revision = None,
            _ => self.revision = Some(revision),
        }
    }

    /// Records a successful read of a value.
    pub fn on_value(&mut self, key: &SmolStr, now: Instant) {
        self.last_reads.insert(key.clone(), now);
        self.pending_values.retain(|pending| pending != key);
        self.budget.record_success();
    }

    /// Records a failed call.
    pub fn on_failure(&mut self, call: &PlatformCall, now: Instant, rng: &mut Pcg64Mcg) {
        match call {
            PlatformCall::Value(key) => self.pending_values.retain(|pending| pending != key),
            _ => {
                self.is_index_call_pending = false;
                self.revision = None;
            }
        }
        self.budget.record_failure(now, rng);
    }

    fn reader_calls(
        &mut self,
        needs: &PlatformNeeds,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlatformCall> {
        let mut calls = Vec::new();
        if !self.is_index_call_pending && self.budget.take_reader_token(now) {
            self.is_index_call_pending = true;
            calls.push(self.index_call(true, now));
        }
        while let Some(key) = self.pick_value(needs, rng) {
            if !self.budget.take_reader_token(now) {
                self.pending_values.pop();
                break;
            }
            calls.push(PlatformCall::Value(key));
        }
        calls
    }

    fn non_reader_call(
        &mut self,
        needs: &PlatformNeeds,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Option<PlatformCall> {
        let interval = CATALOGUE_TICK;
        let is_index_call_possible = !self.is_index_call_pending;
        // One sample allows either an index or a value call, so that the rate limit covers both.
        if (needs.is_index_empty || !needs.missing.is_empty())
            && self.budget.sample_call(interval, now, rng)
        {
            if needs.is_index_empty && is_index_call_possible {
                self.is_index_call_pending = true;
                return Some(PlatformCall::Index);
            }
            return self.pick_value(needs, rng).map(PlatformCall::Value);
        }
        let is_isolated = needs.is_isolated;
        if is_index_call_possible
            && self
                .budget
                .sample_check(needs.fleet_size, is_isolated, interval, now, rng)
        {
            self.is_index_call_pending = true;
            return Some(self.index_call(false, now));
        }
        None
    }

    fn index_call(&self, is_long_poll: bool, now: Instant) -> PlatformCall {
        match self.revision {
            Some(after) if now < self.synced_at + RESYNC_INTERVAL => PlatformCall::Watch {
                after,
                is_long_poll,
            },
            _ => PlatformCall::Index,
        }
    }

    fn pick_value(&mut self, needs: &PlatformNeeds, rng: &mut Pcg64Mcg) -> Option<SmolStr> {
        if self.pending_values.len() >= MAX_VALUE_CALLS {
            return None;
        }
        let candidates: Vec<&SmolStr> = needs
            .missing
            .iter()
            .filter(|key| !self.pending_values.contains(key) && !self.last_reads.contains_key(*key))
            .collect();
        // With a random choice the readers start with different keys and share the work.
        let key = candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        self.pending_values.push((*key).clone());
        Some((*key).clone())
    }
}
