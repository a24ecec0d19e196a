//! First sight of the latest version of each key.

use super::catalogue_index::MAX_KEYS;
use crate::common::*;

/// Tells how long a version was known before it came into force.
#[derive(Debug, Default)]
pub struct VersionSightings {
    seen: IndexMap<SmolStr, (u64, Instant)>,
}

impl VersionSightings {
    /// Notes a version; only the first sight of the highest version counts.
    pub fn note(&mut self, key: &SmolStr, version: u64, now: Instant) {
        if self.seen.len() >= MAX_KEYS && !self.seen.contains_key(key) {
            return;
        }
        let seen = self.seen.entry(key.clone()).or_insert((version, now));
        if seen.0 < version {
            *seen = (version, now);
        }
    }

    /// Returns the time since the first sight of a version, or zero for one that was never noted.
    pub fn lag(&self, key: &str, version: u64, now: Instant) -> Duration {
        match self.seen.get(key) {
            Some((known, at)) if *known == version => now.saturating_duration_since(*at),
            _ => Duration::ZERO,
        }
    }
}
