//! How recent the values of the store are that a daemon has.

use crate::{
    common::*,
    decision::mesh::response_limit::{MAX_RESPONSE_LIMIT, WATCH_TIMEOUT},
};
use std::net::IpAddr;

/// Longest time since the last response of the store for which a daemon counts as a reader: a watch
/// and the longest limit of its response.
const MAX_RESPONSE_AGE: Duration = WATCH_TIMEOUT.saturating_add(MAX_RESPONSE_LIMIT);

/// Way by which values of the store arrived at this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateSource {
    /// This daemon read a complete list from the store.
    List,
    /// A watch of this daemon returned changes.
    Watch,
    /// The daemon at this address sent them.
    Peer(IpAddr),
}

impl UpdateSource {
    /// Returns the name of the source in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Peer(_) => "peer",
        }
    }
}

impl Display for UpdateSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peer(address) => write!(f, "peer {address}"),
            _ => f.write_str(self.name()),
        }
    }
}

/// Time at which the store last responded to this daemon.
#[derive(Debug, Default)]
pub struct StoreContact {
    last_response: Option<Instant>,
}

impl StoreContact {
    /// Records a response; returns whether it is the first one since this daemon began to read.
    pub fn record_response(&mut self, now: Instant) -> bool {
        self.last_response.replace(now).is_none()
    }

    /// Forgets the responses, since this daemon no longer reads the store.
    pub fn clear(&mut self) {
        self.last_response = None;
    }

    /// Returns the time since the store last responded, or `None` if this daemon does not read the
    /// store or has not yet read all of it.
    pub fn response_age(&self, now: Instant) -> Option<Duration> {
        let last = self.last_response?;
        Some(now.saturating_duration_since(last))
    }

    /// Returns whether this daemon has read the whole store and got its last responses in time.
    pub fn is_current(&self, now: Instant) -> bool {
        self.response_age(now)
            .is_some_and(|age| age <= MAX_RESPONSE_AGE)
    }
}
