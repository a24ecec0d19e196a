//! Backend servers of all services, merged from the store and from peers.

use crate::common::*;

/// Time after the store has become reachable again within which backend servers renew entries that
/// expired during the outage.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_300);

/// State that a backend server publishes about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingState {
    /// The backend server accepts requests.
    Ready,
    /// The backend server is leaving and gets no new requests.
    Draining,
}

/// Decoded entry of a backend server in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendEntry {
    /// Service of the backend server.
    pub service: SmolStr,
    /// Address of the backend server; its daemon runs at the same IP address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Number of requests that the backend server processes at the same time.
    pub slots: u32,
    /// Published state.
    pub state: ServingState,
    /// Time until the end of the warm-up after the start of the backend server.
    pub remaining_warm_up: Duration,
    /// Unix time of the start in milliseconds, if published.
    pub started_ms: Option<u64>,
}

/// Value of the store under the key of one backend server, with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedEntry {
    /// Instance id of the backend server.
    pub id: SmolStr,
    /// Revision of the store at which the value was last changed.
    pub revision: u64,
    /// Decoded entry; `None` if it was removed or cannot be decoded.
    pub value: Option<BackendEntry>,
}

#[derive(Debug)]
struct MemberState {
    revision: u64,
    entry: BackendEntry,
    removal: Option<Removal>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    revision: u64,
    effective_at: Instant,
    /// Whether the removal waits until this daemon can read the store again, since the entry may
    /// have been renewed.
    waits_for_store: bool,
}

/// Whether this daemon can read the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreReachability {
    Reachable,
    Unreachable,
    RecoveredAt(Instant),
}

/// Backend servers of all services. Entries are merged by their revision, so the order in which
/// they arrive from the store and from peers does not matter.
#[derive(Debug)]
pub struct FleetView {
    members: IndexMap<SmolStr, MemberState>,
    removed_revisions: IndexMap<SmolStr, u64>,
    store_reachability: StoreReachability,
}

/// Maximum number of removed entries whose revisions are kept.
const MAX_REMOVED_ENTRIES: usize = 4_096;

impl FleetView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self {
            members: IndexMap::new(),
            removed_revisions: IndexMap::new(),
            store_reachability: StoreReachability::Reachable,
        }
    }

    /// Records that the store does not respond.
    pub fn mark_store_unreachable(&mut self) {
        self.store_reachability = StoreReachability::Unreachable;
    }

    /// Records that the store responded.
    pub fn mark_store_reachable(&mut self, now: Instant) {
        if self.store_reachability == StoreReachability::Unreachable {
            self.store_reachability = StoreReachability::RecoveredAt(now);
        }
    }

    /// Returns when the store became reachable again, as long as entries that expired during the
    /// outage may still be missing. Returns `now` while the store is unreachable, the earliest time
    /// at which it can recover.
    pub fn recovered_at(&self, now: Instant) -> Option<Instant> {
        match self.store_reachability {
            StoreReachability::Reachable => None,
            StoreReachability::Unreachable => Some(now),
            StoreReachability::RecoveredAt(at) => (now < at + EXPIRY_GRACE).then_some(at),
        }
    }

    /// Returns whether the store did not respond to the last call.
    pub fn is_store_unreachable(&self) -> bool {
        self.store_reachability == StoreReachability::Unreachable
    }

    /// Merges an entry that this daemon read from the store; returns whether it was newer.
    pub fn apply(&mut self, entry: &VersionedEntry, now: Instant) -> bool {
        self.merge(entry, self.local_removal(now), now)
    }

    /// Merges an entry received from a peer; returns whether it was newer. `recovered_at` is the
    /// result of [`Self::recovered_at`] at the peer.
    pub fn apply_from_peer(
        &mut self,
        entry: &VersionedEntry,
        recovered_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.merge(entry, peer_removal(recovered_at, now), now)
    }

    /// Returns when the removal of a ready entry that this daemon read from the store takes effect,
    /// and whether it waits until the store is reachable.
    fn local_removal(&self, now: Instant) -> (Instant, bool) {
        let recovered_at = self.recovered_at(now);
        (recovered_at.map_or(now, |at| at + EXPIRY_GRACE), true)
    }

    fn merge(&mut self, entry: &VersionedEntry, removal: (Instant, bool), now: Instant) -> bool {
        let current = self.members.get(&entry.id).map_or(0, |state| {
            state
                .removal
                .map_or(state.revision, |removal| removal.revision)
        });
        let removed = self.removed_revisions.get(&entry.id).copied().unwrap_or(0);
        if entry.revision <= current.max(removed) {
            return false;
        }
        match &entry.value {
            Some(value) => {
                self.removed_revisions.swap_remove(&entry.id);
                let state = MemberState {
                    revision: entry.revision,
                    entry: value.clone(),
                    removal: None,
                };
                self.members.insert(entry.id.clone(), state);
            }
            None => self.remove(&entry.id, entry.revision, removal, now),
        }
        true
    }

    /// Merges a complete list that this daemon read at `revision`, and marks the members that are
    /// not in it as removed. Returns the ids of those.
    pub fn reconcile(
        &mut self,
        entries: &[VersionedEntry],
        revision: u64,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.merge_all(entries, revision, self.local_removal(now), now)
    }

    /// Merges a complete list received from a peer as of `revision`, and marks the members that are
    /// not in it as removed. Returns the ids of those. `recovered_at` is the result of
    /// [`Self::recovered_at`] at the peer.
    pub fn reconcile_from_peer(
        &mut self,
        entries: &[VersionedEntry],
        revision: u64,
        recovered_at: Option<Instant>,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.merge_all(entries, revision, peer_removal(recovered_at, now), now)
    }

    fn merge_all(
        &mut self,
        entries: &[VersionedEntry],
        revision: u64,
        removal: (Instant, bool),
        now: Instant,
    ) -> Vec<SmolStr> {
        for entry in entries {
            self.merge(entry, removal, now);
        }
        let missing: Vec<SmolStr> = self
            .members
            .iter()
            .filter(|(id, state)| {
                state.removal.is_none()
                    && state.revision <= revision
                    && !entries.iter().any(|entry| entry.id == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.remove(id, revision, removal, now);
        }
        missing
    }

    fn remove(&mut self, id: &SmolStr, revision: u64, removal: (Instant, bool), now: Instant) {
        let Some(state) = self.members.get_mut(id) else {
            if self.removed_revisions.len() >= MAX_REMOVED_ENTRIES {
                self.removed_revisions.swap_remove_index(0);
            }
            self.removed_revisions.insert(id.clone(), revision);
            return;
        };
        // A ready entry that is missing after a store outage may have expired although its backend
        // server is still running. A draining one was removed because the server has left.
        let may_have_expired = state.entry.state == ServingState::Ready;
        let (effective_at, waits_for_store) = if may_have_expired {
            removal
        } else {
            (now, false)
        };
        state.removal = Some(Removal {
            revision,
            effective_at,
            waits_for_store,
        });
    }

    /// Drops members whose removal has taken effect; returns whether any was dropped.
    pub fn drop_removed(&mut self, now: Instant) -> bool {
        let is_unreachable = self.store_reachability == StoreReachability::Unreachable;
        let dropped: Vec<(SmolStr, u64)> = self
            .members
            .iter()
            .filter_map(|(id, state)| {
                let removal = state.removal?;
                let is_due =
                    removal.effective_at <= now && !(is_unreachable && removal.waits_for_store);
                is_due.then(|| (id.clone(), removal.revision))
            })
            .collect();
        for (id, revision) in &dropped {
            self.members.swap_remove(id);
            if self.removed_revisions.len() >= MAX_REMOVED_ENTRIES {
                self.removed_revisions.swap_remove_index(0);
            }
            self.removed_revisions.insert(id.clone(), *revision);
        }
        !dropped.is_empty()
    }

    /// Returns all members with their ids.
    pub fn members(&self) -> impl Iterator<Item = (&SmolStr, &BackendEntry)> {
        self.members.iter().map(|(id, state)| (id, &state.entry))
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Returns when the removal of a ready entry received from a peer takes effect, and false, since it
/// does not wait until this daemon can read the store.
fn peer_removal(recovered_at: Option<Instant>, now: Instant) -> (Instant, bool) {
    (recovered_at.map_or(now, |at| at + EXPIRY_GRACE), false)
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}
