//! Times at which the latest version of each key was first seen.

use super::catalogue_index::MAX_KEYS;
use crate::common::*;

/// Time at which the latest version of each key was first seen, from which the lag until it is in
/// force is measured.
#[derive(Debug, Default)]
pub struct FirstSeenTimes {
    seen: IndexMap<SmolStr, (u64, Instant)>,
}

impl FirstSeenTimes {
    /// Records that a version was seen. Of the highest version, the first time is kept.
    pub fn record(&mut self, key: &SmolStr, version: u64, now: Instant) {
        if self.seen.len() >= MAX_KEYS && !self.seen.contains_key(key) {
            return;
        }
        let seen = self.seen.entry(key.clone()).or_insert((version, now));
        if seen.0 < version {
            *seen = (version, now);
        }
    }

    /// Returns the time since a version was first seen, or zero if it is not the recorded one.
    pub fn lag(&self, key: &str, version: u64, now: Instant) -> Duration {
        match self.seen.get(key) {
            Some((known, at)) if *known == version => now.saturating_duration_since(*at),
            _ => Duration::ZERO,
        }
    }
}
