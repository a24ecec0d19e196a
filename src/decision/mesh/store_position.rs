//! Order of the facts in the store, also after it came back from an older copy.

use crate::common::*;
use serde::{Deserializer, Serializer};

/// Position in the history of the store.
///
/// The revision counts the changes. It goes back when the store comes back from an older copy, which
/// begins a new era, so that only positions are compared and never revisions alone. A store that
/// states no era is in era 0.
///
/// In messages between daemons a position is its revision alone, as in those of earlier builds. The era
/// follows at the end of the message.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// Counts how often the store came back from a copy.
    pub era: u64,
    /// Number of the last change, from 1; 0 before the first one.
    pub revision: u64,
}

impl StorePosition {
    /// Returns whether no change precedes this position.
    pub fn is_start(self) -> bool {
        self == Self::default()
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl Serialize for StorePosition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.revision)
    }
}

impl<'de> Deserialize<'de> for StorePosition {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let revision = u64::deserialize(deserializer)?;
        Ok(Self { era: 0, revision })
    }
}

/// Order of what one backend server says of itself, which does not depend on the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WriteStamp {
    /// Unix time of its start in milliseconds, if published.
    pub started_ms: Option<u64>,
    /// Number of the write since its start.
    pub sequence: u64,
}
