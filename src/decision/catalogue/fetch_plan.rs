//! Values that a daemon still has to fetch.

use super::version_stamp::VersionStamp;
use crate::common::*;

/// Most fetches from peers at a time.
pub const MAX_FETCHES: usize = 8;

/// Pause after the first failed fetch of a value.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two fetches of a value.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time after which a fetch without an answer counts as failed.
const FETCH_EXPIRY: Duration = Duration::from_secs(30);

/// Failed fetches from peers before the platform is asked.
const PEER_TRIES: u32 = 3;

#[derive(Debug)]
struct FetchEntry {
    stamp: VersionStamp,
    announcer: Option<SocketAddr>,
    tries: u32,
    next_at: Instant,
    is_running: bool,
}

/// Plan of the fetches, by key.
#[derive(Debug, Default)]
pub struct FetchPlan {
    entries: IndexMap<(SmolStr, u64), FetchEntry>,
}

/// Fetch that is due.
#[derive(Clone, Debug)]
pub struct DueFetch {
    /// Catalogue key.
    pub key: SmolStr,
    /// Version to fetch.
    pub stamp: VersionStamp,
    /// Peer that announced the version.
    pub announcer: Option<SocketAddr>,
    /// Failed fetches so far.
    pub tries: u32,
}

impl FetchPlan {
    /// Adds a value unless it is planned already.
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
            tries: 0,
            next_at: now,
            is_running: false,
        });
    }

    /// Makes a value due at once, since a peer tells that it passed validation somewhere.
    pub fn wake(
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
                entry.tries += 1;
            }
            entry.is_running = true;
            entry.next_at = now + FETCH_EXPIRY;
            free -= 1;
            due.push(DueFetch {
                key: key.clone(),
                stamp: entry.stamp,
                announcer: entry.announcer,
                tries: entry.tries,
            });
        }
        due
    }

    /// Records a failed fetch.
    pub fn fail(&mut self, key: &str, version: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&(key.into(), version)) {
            let pause = FIRST_PAUSE * 2_u32.pow(entry.tries.min(5));
            entry.next_at = now + pause.min(LONGEST_PAUSE);
            entry.tries += 1;
            entry.is_running = false;
        }
    }

    /// Removes a value.
    pub fn remove(&mut self, key: &str, version: u64) {
        self.entries.swap_remove(&(key.into(), version));
    }

    /// Keeps only the values for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, VersionStamp) -> bool) {
        self.entries
            .retain(|(key, _), entry| keep(key, entry.stamp));
    }

    /// Returns the keys that peers could not deliver.
    pub fn without_peer(&self) -> impl Iterator<Item = &SmolStr> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.tries >= PEER_TRIES)
            .map(|((key, _), _)| key)
    }

    /// Returns all keys of the plan.
    pub fn keys(&self) -> impl Iterator<Item = &SmolStr> {
        self.entries.keys().map(|(key, _)| key)
    }
}
