//! Decision when a daemon calls the platform.

use super::{
    catalogue_message::PlatformCall, catalogue_node::CATALOGUE_TICK,
    platform_budget::PlatformBudget,
};
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Values that a daemon reads from the platform at a time.
const MAX_VALUE_CALLS: usize = 4;

/// Time after which a reader reads the whole index again. A platform that came back with an older
/// copy may have reached the known revision with other keys.
const RESYNC_INTERVAL: Duration = Duration::from_secs(300);

/// Time between two reads of a value. A stale platform answers with an older version each time.
const VALUE_INTERVAL: Duration = Duration::from_secs(2);

/// What a daemon needs from the platform.
#[derive(Clone, Debug, Default)]
pub struct ReaderNeeds {
    /// Whether the daemon is a reader.
    pub is_reader: bool,
    /// Whether no version is known.
    pub is_empty: bool,
    /// Whether no peer was heard for a long time.
    pub is_silent: bool,
    /// Largest number of daemons seen in the lists.
    pub fleet: usize,
    /// Keys whose values only the platform may have.
    pub missing: Vec<SmolStr>,
}

/// Calls of one daemon to the platform.
#[derive(Debug)]
pub struct PlatformSchedule {
    budget: PlatformBudget,
    revision: Option<u64>,
    synced_at: Instant,
    is_waiting: bool,
    reading: Vec<SmolStr>,
    read_at: IndexMap<SmolStr, Instant>,
}

impl PlatformSchedule {
    /// Creates the schedule; a daemon without seed peers may call at once.
    pub fn new(is_alone: bool, now: Instant) -> Self {
        Self {
            budget: PlatformBudget::new(is_alone, now),
            revision: None,
            synced_at: now,
            is_waiting: false,
            reading: Vec::new(),
            read_at: IndexMap::new(),
        }
    }

    /// Returns the calls that are due; to be called with each tick.
    pub fn next_calls(
        &mut self,
        needs: &ReaderNeeds,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlatformCall> {
        self.read_at.retain(|_, at| now < *at + VALUE_INTERVAL);
        if needs.is_reader {
            return self.reader_calls(needs, now, rng);
        }
        self.single_call(needs, now, rng).into_iter().collect()
    }

    /// Records an index or watch answer.
    pub fn on_index(&mut self, call: &PlatformCall, revision: u64, now: Instant) {
        self.is_waiting = false;
        self.budget.succeed();
        match call {
            PlatformCall::Index => {
                self.revision = Some(revision);
                self.synced_at = now;
            }
            // A lower revision comes from an older copy, whose later revisions would be missed.
            PlatformCall::Watch { after, .. } if revision < *after => self.revision = None,
            _ => self.revision = Some(revision),
        }
    }

    /// Records the end of a value call.
    pub fn on_value(&mut self, key: &SmolStr, now: Instant) {
        self.read_at.insert(key.clone(), now);
        self.reading.retain(|reading| reading != key);
        self.budget.succeed();
    }

    /// Records a failed call.
    pub fn on_failure(&mut self, call: &PlatformCall, now: Instant, rng: &mut Pcg64Mcg) {
        match call {
            PlatformCall::Value(key) => self.reading.retain(|reading| reading != key),
            _ => {
                self.is_waiting = false;
                self.revision = None;
            }
        }
        self.budget.fail(now, rng);
    }

    fn reader_calls(
        &mut self,
        needs: &ReaderNeeds,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Vec<PlatformCall> {
        let mut calls = Vec::new();
        if !self.is_waiting && self.budget.take_reader_call(now) {
            self.is_waiting = true;
            calls.push(self.index_call(true, now));
        }
        while let Some(key) = self.pick_value(needs, rng) {
            if !self.budget.take_reader_call(now) {
                self.reading.pop();
                break;
            }
            calls.push(PlatformCall::Value(key));
        }
        calls
    }

    fn single_call(
        &mut self,
        needs: &ReaderNeeds,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Option<PlatformCall> {
        let step = CATALOGUE_TICK;
        let is_free = !self.is_waiting;
        // One draw pays for either an index or a value, so that the bound covers both.
        if (needs.is_empty || !needs.missing.is_empty()) && self.budget.draw_call(step, now, rng) {
            if needs.is_empty && is_free {
                self.is_waiting = true;
                return Some(PlatformCall::Index);
            }
            return self.pick_value(needs, rng).map(PlatformCall::Value);
        }
        let is_silent = needs.is_silent;
        if is_free
            && self
                .budget
                .draw_check(needs.fleet, is_silent, step, now, rng)
        {
            self.is_waiting = true;
            return Some(self.index_call(false, now));
        }
        None
    }

    fn index_call(&self, is_waiting: bool, now: Instant) -> PlatformCall {
        match self.revision {
            Some(after) if now < self.synced_at + RESYNC_INTERVAL => {
                PlatformCall::Watch { after, is_waiting }
            }
            _ => PlatformCall::Index,
        }
    }

    fn pick_value(&mut self, needs: &ReaderNeeds, rng: &mut Pcg64Mcg) -> Option<SmolStr> {
        if self.reading.len() >= MAX_VALUE_CALLS {
            return None;
        }
        let open: Vec<&SmolStr> = needs
            .missing
            .iter()
            .filter(|key| !self.reading.contains(key) && !self.read_at.contains_key(*key))
            .collect();
        // The random order makes the readers start with different keys and share the work.
        let key = open.get(rng.random_range(0..open.len().max(1)))?;
        self.reading.push((*key).clone());
        Some((*key).clone())
    }
}
