//! Detection of store updates that peers sent and this daemon did not receive.

use crate::common::*;

/// Time for which a daemon waits for updates that a peer already has. Another peer may deliver them
/// at any moment.
const UPDATE_WAIT: Duration = Duration::from_millis(300);

/// Time for which a daemon waits for the response to a full sync request before it asks another
/// peer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Detects store updates that a peer has and this daemon has not received.
#[derive(Debug, Default)]
pub struct UpdateGap {
    revision: u64,
    behind_since: Option<Instant>,
    requested_at: Option<Instant>,
}

impl UpdateGap {
    /// Returns the revision up to which the entries have been received without a gap.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that all entries as of a revision have been received.
    pub fn mark_complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records updates up to revision `last` that follow revision `previous`. Updates after a gap
    /// do not count.
    pub fn record_range(&mut self, previous: u64, last: u64) {
        if previous <= self.revision {
            self.revision = self.revision.max(last);
        }
    }

    /// Returns whether to request the full state of a peer, since its updates did not arrive in
    /// time. `revision` is the revision of the peer, and `is_behind` is true if the peer has a
    /// later configuration.
    pub fn needs_full_sync(&mut self, revision: u64, is_behind: bool, now: Instant) -> bool {
        if revision <= self.revision && !is_behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        // Peers send no updates to a daemon that has no entries yet, so waiting would not help.
        let is_waiting = self.revision > 0 && since + UPDATE_WAIT > now;
        if is_waiting
            || self
                .requested_at
                .is_some_and(|at| at + RESPONSE_TIMEOUT > now)
        {
            return false;
        }
        self.behind_since = Some(now);
        self.requested_at = Some(now);
        true
    }
}
