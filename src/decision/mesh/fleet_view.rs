//! Backend servers of all services, merged from the store and from peers.

use crate::{
    common::*,
    decision::mesh::store_position::{StorePosition, WriteStamp},
};
use std::cmp::Ordering;

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
    /// Number of the write since the start of the backend server.
    pub sequence: u64,
}

impl BackendEntry {
    /// Returns the order of this entry among those of its backend server.
    pub fn write_stamp(&self) -> WriteStamp {
        WriteStamp {
            started_ms: self.started_ms,
            sequence: self.sequence,
        }
    }
}

/// Value of the store under the key of one backend server, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedEntry {
    /// Instance id of the backend server.
    pub id: SmolStr,
    /// Position of the store at which the value was last changed.
    pub position: StorePosition,
    /// Decoded entry; `None` if it was removed or cannot be decoded.
    pub value: Option<BackendEntry>,
}

#[derive(Debug)]
struct MemberState {
    position: StorePosition,
    entry: BackendEntry,
    removal: Option<Removal>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    position: StorePosition,
    effective_at: Instant,
    /// Whether the removal waits until this daemon can read the store again, since the entry may
    /// have been renewed.
    waits_for_store: bool,
}

/// What is known of an entry.
#[derive(Clone, Copy, Debug, Default)]
struct KnownEntry {
    position: StorePosition,
    /// Last write of a backend server that leaves or has left; `None` if it serves, or if no entry of
    /// it was known when it was removed.
    departure: Option<WriteStamp>,
    /// Last write of a backend server that serves.
    service: Option<WriteStamp>,
}

/// Whether this daemon can read the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreReachability {
    Reachable,
    Unreachable,
    RecoveredAt(Instant),
}

/// Backend servers of all services. Entries are merged by their position in the store, so the order
/// in which they arrive from the store and from peers does not matter.
///
/// A store that came back from an older copy may show a backend server as ready that has announced
/// or completed its departure since. Between two eras a departure therefore holds against entries
/// that the server did not write after it.
#[derive(Debug)]
pub struct FleetView {
    members: IndexMap<SmolStr, MemberState>,
    /// What was known last of removed entries.
    removed: IndexMap<SmolStr, KnownEntry>,
    store_reachability: StoreReachability,
    /// Last era in which the store responded to this daemon.
    era: Option<u64>,
    /// Position of the last complete list that was merged.
    complete: StorePosition,
}

/// Maximum number of removed entries that are remembered.
const MAX_REMOVED_ENTRIES: usize = 4_096;

impl FleetView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self {
            members: IndexMap::new(),
            removed: IndexMap::new(),
            store_reachability: StoreReachability::Reachable,
            era: None,
            complete: StorePosition::default(),
        }
    }

    /// Records that the store responded in an era. In a new one, entries that were written after the
    /// copy are missing until their backend servers write them again.
    pub fn enter_era(&mut self, era: u64, now: Instant) {
        if self.era.is_some_and(|current| era <= current) {
            return;
        }
        let is_restored = self.era.replace(era).is_some();
        if is_restored && self.store_reachability != StoreReachability::Unreachable {
            self.store_reachability = StoreReachability::RecoveredAt(now);
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
        if !self.known(&entry.id).is_replaced_by(entry) {
            return false;
        }
        match &entry.value {
            Some(value) => {
                self.removed.swap_remove(&entry.id);
                let state = MemberState {
                    position: entry.position,
                    entry: value.clone(),
                    removal: None,
                };
                self.members.insert(entry.id.clone(), state);
            }
            None => self.remove(&entry.id, entry.position, removal, now),
        }
        true
    }

    fn known(&self, id: &SmolStr) -> KnownEntry {
        if let Some(state) = self.members.get(id) {
            return state.known();
        }
        let known = self.removed.get(id).copied().unwrap_or_default();
        KnownEntry {
            // What a complete list lacks is not added by what came before it.
            position: known.position.max(self.complete),
            ..known
        }
    }

    /// Starts to merge a complete list. One that is not older than the last one may add any entry.
    pub fn begin_list(&mut self, position: StorePosition) {
        if position >= self.complete {
            self.complete = StorePosition::default();
        }
    }

    /// Merges a complete list that this daemon read at `position`, and marks the members that are
    /// not in it as removed. Returns the ids of those.
    pub fn reconcile(
        &mut self,
        entries: &[VersionedEntry],
        position: StorePosition,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.merge_all(entries, position, self.local_removal(now), now)
    }

    /// Merges a complete list received from a peer as of `position`, and marks the members that are
    /// not in it as removed. Returns the ids of those. `recovered_at` is the result of
    /// [`Self::recovered_at`] at the peer.
    pub fn reconcile_from_peer(
        &mut self,
        entries: &[VersionedEntry],
        position: StorePosition,
        recovered_at: Option<Instant>,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.merge_all(entries, position, peer_removal(recovered_at, now), now)
    }

    fn merge_all(
        &mut self,
        entries: &[VersionedEntry],
        position: StorePosition,
        removal: (Instant, bool),
        now: Instant,
    ) -> Vec<SmolStr> {
        self.begin_list(position);
        for entry in entries {
            self.merge(entry, removal, now);
        }
        let missing: Vec<SmolStr> = self
            .members
            .iter()
            .filter(|(id, state)| {
                state.known().position <= position && !entries.iter().any(|entry| entry.id == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.remove(id, position, removal, now);
        }
        self.complete = self.complete.max(position);
        missing
    }

    fn remove(
        &mut self,
        id: &SmolStr,
        position: StorePosition,
        removal: (Instant, bool),
        now: Instant,
    ) {
        let Some(state) = self.members.get_mut(id) else {
            let known = KnownEntry {
                position,
                ..self.known(id)
            };
            self.remember_removed(id.clone(), known);
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
        let removal = Removal {
            position,
            effective_at,
            waits_for_store,
        };
        // A removal that is still to take effect is not put off by another one.
        state.removal = Some(state.removal.map_or(removal, |pending| Removal {
            position,
            effective_at: pending.effective_at.min(effective_at),
            waits_for_store: pending.waits_for_store && waits_for_store,
        }));
    }

    /// Drops members whose removal has taken effect; returns whether any was dropped.
    pub fn drop_removed(&mut self, now: Instant) -> bool {
        let is_unreachable = self.store_reachability == StoreReachability::Unreachable;
        let dropped: Vec<(SmolStr, KnownEntry)> = self
            .members
            .iter()
            .filter_map(|(id, state)| {
                let removal = state.removal?;
                let is_due =
                    removal.effective_at <= now && !(is_unreachable && removal.waits_for_store);
                is_due.then(|| (id.clone(), state.known()))
            })
            .collect();
        let has_dropped = !dropped.is_empty();
        for (id, known) in dropped {
            self.members.swap_remove(&id);
            self.remember_removed(id, known);
        }
        has_dropped
    }

    fn remember_removed(&mut self, id: SmolStr, known: KnownEntry) {
        if self.removed.len() >= MAX_REMOVED_ENTRIES {
            self.removed.swap_remove_index(0);
        }
        self.removed.insert(id, known);
    }

    /// Returns all members with their ids.
    pub fn members(&self) -> impl Iterator<Item = (&SmolStr, &BackendEntry)> {
        self.members.iter().map(|(id, state)| (id, &state.entry))
    }

    /// Returns the members without those whose address a later start of a backend server has. The
    /// entry of a server that has ended stays until it expires.
    pub fn current_members(&self) -> impl Iterator<Item = (&SmolStr, &BackendEntry)> {
        let mut latest: IndexMap<SocketAddr, StartOrder> = IndexMap::new();
        for state in self.members.values() {
            let order = latest.entry(state.entry.address).or_default();
            *order = state.start_order().max(*order);
        }
        self.members
            .iter()
            .filter(move |(_, state)| latest[&state.entry.address] == state.start_order())
            .map(|(id, state)| (id, &state.entry))
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Order of the entries with one address: by the start of the backend server, which a restored store
/// does not change, and then by their position.
type StartOrder = (Option<u64>, StorePosition);

impl MemberState {
    fn start_order(&self) -> StartOrder {
        (self.entry.started_ms, self.position)
    }

    fn known(&self) -> KnownEntry {
        let stamp = self.entry.write_stamp();
        let leaves = self.removal.is_some() || self.entry.state == ServingState::Draining;
        KnownEntry {
            position: self
                .removal
                .map_or(self.position, |removal| removal.position),
            departure: leaves.then_some(stamp),
            service: (!leaves).then_some(stamp),
        }
    }
}

impl KnownEntry {
    /// Returns whether an entry takes the place of what is known. Within an era the position decides.
    fn is_replaced_by(&self, entry: &VersionedEntry) -> bool {
        let stamp = entry.value.as_ref().map(BackendEntry::write_stamp);
        let is_ready = entry
            .value
            .as_ref()
            .is_some_and(|value| value.state == ServingState::Ready);
        match entry.position.era.cmp(&self.position.era) {
            Ordering::Equal => entry.position > self.position,
            // The older copy does not undo a departure.
            Ordering::Greater if is_ready => self.departure.is_none_or(|last| stamp > Some(last)),
            Ordering::Greater => true,
            // The copy lacks a departure that was written after it.
            Ordering::Less if is_ready => false,
            Ordering::Less => self.service.is_some_and(|last| stamp > Some(last)),
        }
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
