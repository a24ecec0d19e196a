//! Detection of store updates that peers sent and this daemon did not receive.

use crate::{common::*, decision::mesh::store_position::StorePosition};

/// Time for which a daemon waits for updates that a peer already has. Another peer may deliver them
/// at any moment.
const UPDATE_WAIT: Duration = Duration::from_millis(300);

/// Time for which a daemon waits for the response to a full sync request before it asks another
/// peer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Detects store updates that a peer has and this daemon has not received.
#[derive(Debug, Default)]
pub struct UpdateGap {
    position: StorePosition,
    /// Position of the latest update, also after a gap.
    latest: StorePosition,
    /// Whether the store came back from a copy since this daemon has entries.
    has_changed_era: bool,
    behind_since: Option<Instant>,
    requested_at: Option<Instant>,
}

impl UpdateGap {
    /// Returns the position up to which the entries have been received without a gap.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Records that all entries as of a position have been received.
    pub fn mark_complete(&mut self, position: StorePosition) {
        self.has_changed_era |= position.era > self.position.era && !self.position.is_start();
        self.position = self.position.max(position);
    }

    /// Records updates up to position `last` that follow position `previous`. Updates after a gap do
    /// not count. Neither do those from one era to the next: the store has lost changes that this
    /// daemon may have and the sender does not.
    pub fn record_range(&mut self, previous: StorePosition, last: StorePosition) {
        if previous.era == last.era && previous <= self.position {
            self.mark_complete(last);
        }
        self.latest = self.latest.max(last);
    }

    /// Returns whether this daemon may hold other entries than daemons at the same position: those that
    /// knew a departure hold it against a restored store.
    pub fn has_changed_era(&self) -> bool {
        self.has_changed_era
    }

    /// Records what a list as of position `last` changed for a sender that was at position `previous`.
    /// A daemon with other entries than the sender may have some whose removal the list does not show.
    pub fn record_list(&mut self, previous: StorePosition, last: StorePosition) {
        if previous == self.position && self.latest <= previous && !self.has_changed_era {
            self.record_range(previous, last);
        }
        self.latest = self.latest.max(last);
    }

    /// Returns whether to request the full state of a peer, since its updates did not arrive in
    /// time. `position` is that of the peer, and `is_behind` is true if the peer has a later
    /// configuration.
    pub fn needs_full_sync(
        &mut self,
        position: StorePosition,
        is_behind: bool,
        now: Instant,
    ) -> bool {
        if position <= self.position && !is_behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        // Peers send no updates to a daemon that has no entries yet, so waiting would not help.
        let is_waiting = !self.position.is_start() && since + UPDATE_WAIT > now;
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
