//! Schedule of the values that a daemon still has to fetch.

use super::version_stamp::VersionStamp;
use crate::common::*;

/// Maximum number of concurrent fetches from peers.
pub const MAX_FETCHES: usize = 8;

/// Backoff after the first failed fetch of a value.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff between fetches of a value.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time after which a fetch without a response counts as failed.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Failed fetches from peers after which a value is read from the platform.
const MAX_PEER_FAILURES: u32 = 3;

#[derive(Debug)]
struct FetchEntry {
    stamp: VersionStamp,
    announcer: Option<SocketAddr>,
    failures: u32,
    next_at: Instant,
    is_running: bool,
}

/// Scheduled and running fetches, by key and version.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    entries: IndexMap<(SmolStr, u64), FetchEntry>,
}

/// Fetch that is due.
#[derive(Clone, Debug)]
pub struct DueFetch {
    /// Catalogue key.
    pub key: SmolStr,
    /// Version to fetch.
    pub stamp: VersionStamp,
    /// Peer from which the version was received.
    pub announcer: Option<SocketAddr>,
    /// Failed fetches so far.
    pub failures: u32,
}

impl FetchSchedule {
    /// Schedules the fetch of a value unless it is already scheduled.
    pub fn add(
        &mut self,
        key: &SmolStr,
        stamp: VersionStamp,
        announcer: Option<SocketAddr>,
        now: Instant,
    ) {
        let entry = self.entries.entry((key.clone(), stamp.version));
        entry.or_insert(FetchEntry {
            stamp,
            announcer,
            failures: 0,
            next_at: now,
            is_running: false,
        });
    }

    /// Makes a scheduled fetch due at once, after a peer reported that the version is valid.
    pub fn make_due(
        &mut self,
        key: &str,
        stamp: VersionStamp,
        announcer: Option<SocketAddr>,
        now: Instant,
    ) {
        let entry = self.entries.get_mut(&(key.into(), stamp.version));
        if let Some(entry) = entry.filter(|entry| !entry.is_running) {
            entry.announcer = announcer;
            entry.next_at = now;
        }
    }

    /// Starts the fetches that are due.
    pub fn start_due(&mut self, now: Instant) -> Vec<DueFetch> {
        let mut due = Vec::new();
        let running = self.entries.values().filter(|entry| entry.is_running);
        let mut free = MAX_FETCHES.saturating_sub(running.count());
        for ((key, _), entry) in &mut self.entries {
            if free == 0 {
                break;
            }
            if now < entry.next_at {
                continue;
            }
            if entry.is_running {
                entry.failures += 1;
            }
            entry.is_running = true;
            entry.next_at = now + FETCH_TIMEOUT;
            free -= 1;
            due.push(DueFetch {
                key: key.clone(),
                stamp: entry.stamp,
                announcer: entry.announcer,
                failures: entry.failures,
            });
        }
        due
    }

    /// Records a failed fetch.
    pub fn record_failure(&mut self, key: &str, version: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&(key.into(), version)) {
            let backoff = INITIAL_BACKOFF * 2_u32.pow(entry.failures.min(5));
            entry.next_at = now + backoff.min(MAX_BACKOFF);
            entry.failures += 1;
            entry.is_running = false;
        }
    }

    /// Removes the fetch of a value.
    pub fn remove(&mut self, key: &str, version: u64) {
        self.entries.swap_remove(&(key.into(), version));
    }

    /// Keeps only the fetches for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, VersionStamp) -> bool) {
        self.entries
            .retain(|(key, _), entry| keep(key, entry.stamp));
    }

    /// Returns the keys whose fetches from peers failed too often.
    pub fn keys_failed_at_peers(&self) -> impl Iterator<Item = &SmolStr> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.failures >= MAX_PEER_FAILURES)
            .map(|((key, _), _)| key)
    }

    /// Returns the keys of all fetches.
    pub fn keys(&self) -> impl Iterator<Item = &SmolStr> {
        self.entries.keys().map(|(key, _)| key)
    }
}
