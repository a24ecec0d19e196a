//! Choice of the daemons that read the store.
//!
//! Calls to the store are limited and paid for, so that only a few daemons of each data centre read it and
//! tell the others what is new. Each daemon decides for itself from what the others tell: it starts to
//! read if too few do, and stops if enough daemons with smaller numbers do. A data centre that is cut off
//! from the others has readers of its own.

use crate::common::*;

/// Daemons of each data centre that read the store. Two cover the loss of one without a pause; further
/// ones are in the other data centres.
pub const READERS: usize = 2;

/// Time for which a daemon reads at least, so that the others hear of it before it counts them.
const MIN_READING: Duration = Duration::from_millis(1_500);

/// Time by which each further daemon waits longer before it takes the place of a missing reader, so
/// that not all of them start at once.
const START_STEP: Duration = Duration::from_millis(100);

/// Longest wait before a daemon takes the place of a missing reader.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);

/// What a daemon tells of its contact with the store.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct StoreContact {
    /// Data centre of the daemon.
    pub data_centre: SmolStr,
    /// Whether it reads the store, and the store answers.
    pub is_reading: bool,
    /// Revision of the store up to which it knows all entries.
    pub entries_revision: u64,
    /// Version of the route configuration in force; 0 without one.
    pub config_version: u64,
}

#[derive(Debug)]
struct HeardDaemon {
    is_reading: bool,
    at: Instant,
}

/// Choice of the daemons that read the store, as one of them sees it.
#[derive(Debug)]
pub struct ReaderRota {
    own: u64,
    data_centre: SmolStr,
    heard: IndexMap<u64, HeardDaemon>,
    reading_since: Option<Instant>,
    short_since: Option<Instant>,
}

impl ReaderRota {
    /// Creates the choice of a daemon that has just started, and reads until it has heard of others.
    pub fn new(own: u64, data_centre: SmolStr, now: Instant) -> Self {
        Self {
            own,
            data_centre,
            heard: IndexMap::new(),
            reading_since: Some(now),
            short_since: None,
        }
    }

    /// Learns of the contact of another daemon.
    pub fn learn(&mut self, daemon: u64, contact: &StoreContact, now: Instant) {
        if contact.data_centre == self.data_centre && daemon != self.own {
            let heard = HeardDaemon {
                is_reading: contact.is_reading,
                at: now,
            };
            self.heard.insert(daemon, heard);
        }
    }

    /// Decides whether to read the store from now on. Daemons that were not heard for `silence` do not
    /// count.
    pub fn decide(&mut self, silence: Duration, now: Instant) -> bool {
        self.heard.retain(|_, heard| heard.at + silence > now);
        let readers = self.heard.values().filter(|heard| heard.is_reading).count();
        if let Some(since) = self.reading_since {
            let is_smaller =
                |(id, heard): &(&u64, &HeardDaemon)| heard.is_reading && **id < self.own;
            let smaller = self.heard.iter().filter(is_smaller).count();
            if smaller >= READERS && since + MIN_READING <= now {
                self.reading_since = None;
                self.short_since = None;
            }
            return self.reading_since.is_some();
        }
        if readers >= READERS {
            self.short_since = None;
            return false;
        }
        let since = *self.short_since.get_or_insert(now);
        let before = self.heard.iter();
        let before = before.filter(|(id, heard)| !heard.is_reading && **id < self.own);
        let wait = START_STEP * u32::try_from(before.count()).unwrap_or(u32::MAX);
        if since + wait.min(MAX_START_WAIT) <= now {
            self.reading_since = Some(now);
            self.short_since = None;
        }
        self.reading_since.is_some()
    }

    /// Returns whether this daemon reads the store.
    pub fn is_reading(&self) -> bool {
        self.reading_since.is_some()
    }

    /// Returns the daemons of the own data centre that were heard lately.
    pub fn heard(&self) -> usize {
        self.heard.len()
    }
}
