//! Backend servers of all services, merged from the store and from peers.

use crate::{
    common::*,
    decision::mesh::{
        store_outage::{DEFAULT_HEARTBEAT, EXPIRY_GRACE, OutageTracker},
        store_position::{StorePosition, WriteStamp},
    },
};
use std::cmp::Ordering;

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
    /// Reports that the entry was removed after its position, without those that change nothing beside
    /// another one.
    removals: Vec<RemovalReport>,
}

/// Report of one daemon that an entry was removed.
#[derive(Clone, Copy, Debug)]
struct RemovalReport {
    position: StorePosition,
    terms: RemovalTerms,
}

/// When the removal of a ready entry takes effect. The entry may have expired during an outage of the
/// store, in which case its backend server renews it.
#[derive(Clone, Copy, Debug)]
struct RemovalTerms {
    effective_at: Instant,
    /// Whether the removal also waits for the end of an outage that began since.
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

/// Backend servers of all services. Entries are merged by their position in the store, so the order
/// in which they arrive from the store and from peers does not matter. Neither does that of several
/// reports of a removal: the one that takes effect first counts, since a daemon that saw no outage knows
/// that the entry did not expire in one.
///
/// A store that came back from an older copy may show a backend server as ready that has announced
/// or completed its departure since. Between two eras a departure therefore holds against entries
/// that the server did not write after it.
#[derive(Debug)]
pub struct FleetView {
    members: IndexMap<SmolStr, MemberState>,
    /// What was known last of removed entries.
    removed: IndexMap<SmolStr, KnownEntry>,
    outage: OutageTracker,
    /// Last era in which the store responded to this daemon.
    era: Option<u64>,
    /// Position of the last complete list that was merged.
    complete: StorePosition,
}

/// Maximum number of removed entries that are remembered.
const MAX_REMOVED_ENTRIES: usize = 4_096;

impl FleetView {
    /// Creates an empty view for backend servers that renew their entries at the default interval.
    pub fn new() -> Self {
        Self::with_heartbeat(DEFAULT_HEARTBEAT)
    }

    /// Creates an empty view for backend servers that renew their entries at an interval.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            members: IndexMap::new(),
            removed: IndexMap::new(),
            outage: OutageTracker::new(heartbeat),
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
        if self.era.replace(era).is_some() {
            self.outage.record_restore(now);
        }
    }

    /// Records that the store does not respond to this daemon.
    pub fn mark_store_unreachable(&mut self, now: Instant) {
        self.outage.record_failure(now);
    }

    /// Records that the store responded to this daemon.
    pub fn mark_store_reachable(&mut self, now: Instant) {
        self.outage.record_response(now);
    }

    /// Records that this daemon no longer reads the store.
    pub fn stop_reading(&mut self) {
        self.outage.stop_calls();
    }

    /// Records that the store responded at a time to a peer that knows of no outage.
    pub fn record_peer_contact(&mut self, at: Instant, now: Instant) {
        self.outage.record_contact(at, now);
    }

    /// Returns when the last outage of the store ended, as long as entries that expired in it may still
    /// be missing. Returns `now` during an outage, the earliest time at which it can end.
    pub fn recovered_at(&self, now: Instant) -> Option<Instant> {
        self.outage.recovered_at(now)
    }

    /// Returns the value of [`Self::recovered_at`] for a complete list of the members. The list lacks
    /// those whose removal is still to take effect, also if only a peer knows of the outage.
    pub fn list_recovered_at(&self, now: Instant) -> Option<Instant> {
        let pending = self.members.values().filter_map(MemberState::effective_at);
        let recovered = pending.filter_map(|at| at.checked_sub(EXPIRY_GRACE));
        recovered.max().max(self.recovered_at(now))
    }

    /// Returns whether the store did not respond to the last call.
    pub fn is_store_unreachable(&self) -> bool {
        self.outage.is_unreachable()
    }

    /// Merges an entry that this daemon read from the store; returns whether it was newer, or the
    /// removal of an entry that is now to take effect earlier.
    pub fn apply(&mut self, entry: &VersionedEntry, now: Instant) -> bool {
        self.merge(entry, self.local_terms(now))
    }

    /// Merges an entry received from a peer; returns the same as [`Self::apply`]. `recovered_at` is the
    /// result of [`Self::recovered_at`] at the peer.
    pub fn apply_from_peer(
        &mut self,
        entry: &VersionedEntry,
        recovered_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.merge(entry, peer_terms(recovered_at, now))
    }

    /// Returns the terms of a removal that this daemon read from the store.
    fn local_terms(&self, now: Instant) -> RemovalTerms {
        RemovalTerms {
            waits_for_store: true,
            ..peer_terms(self.recovered_at(now), now)
        }
    }

    fn merge(&mut self, entry: &VersionedEntry, terms: RemovalTerms) -> bool {
        let is_newer = self.known(&entry.id).is_replaced_by(entry);
        match &entry.value {
            Some(value) if is_newer => {
                self.removed.swap_remove(&entry.id);
                let state = MemberState {
                    position: entry.position,
                    entry: value.clone(),
                    removals: Vec::new(),
                };
                self.members.insert(entry.id.clone(), state);
            }
            Some(value) => {
                if let Some(state) = self.members.get_mut(&entry.id) {
                    state.update_removed(entry.position, value);
                }
            }
            None if is_newer => self.remove(&entry.id, entry.position, terms),
            None => {
                let state = self.members.get_mut(&entry.id);
                return state.is_some_and(|state| {
                    entry.position > state.position && state.add_removal(entry.position, terms)
                });
            }
        }
        is_newer
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
        self.merge_all(entries, position, self.local_terms(now))
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
        self.merge_all(entries, position, peer_terms(recovered_at, now))
    }

    fn merge_all(
        &mut self,
        entries: &[VersionedEntry],
        position: StorePosition,
        terms: RemovalTerms,
    ) -> Vec<SmolStr> {
        self.begin_list(position);
        for entry in entries {
            self.merge(entry, terms);
        }
        let missing: Vec<SmolStr> = self
            .members
            .iter()
            .filter(|(id, state)| {
                state.position <= position && !entries.iter().any(|entry| entry.id == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.remove(id, position, terms);
        }
        self.complete = self.complete.max(position);
        missing
    }

    fn remove(&mut self, id: &SmolStr, position: StorePosition, terms: RemovalTerms) {
        if let Some(state) = self.members.get_mut(id) {
            state.add_removal(position, terms);
            return;
        }
        let known = KnownEntry {
            position,
            ..self.known(id)
        };
        self.remember_removed(id.clone(), known);
    }

    /// Drops members whose removal has taken effect; returns their ids.
    pub fn drop_removed(&mut self, now: Instant) -> Vec<SmolStr> {
        let is_waiting = self.outage.is_out_of_reach() || self.recovered_at(now).is_some();
        let dropped: Vec<(SmolStr, KnownEntry)> = self
            .members
            .iter()
            .filter(|(_, state)| state.is_gone(is_waiting, now))
            .map(|(id, state)| (id.clone(), state.known()))
            .collect();
        let ids = dropped.iter().map(|(id, _)| id.clone()).collect();
        for (id, known) in dropped {
            self.members.swap_remove(&id);
            self.remember_removed(id, known);
        }
        ids
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
        let leaves = !self.removals.is_empty() || self.entry.state == ServingState::Draining;
        let removals = self.removals.iter();
        KnownEntry {
            position: removals.fold(self.position, |last, report| report.position.max(last)),
            departure: leaves.then_some(stamp),
            service: (!leaves).then_some(stamp),
        }
    }

    /// Adds a report that the entry was removed; returns whether it changes anything.
    fn add_removal(&mut self, position: StorePosition, terms: RemovalTerms) -> bool {
        let added = RemovalReport { position, terms };
        if self.removals.iter().any(|report| report.covers(&added)) {
            return false;
        }
        self.removals.retain(|report| !added.covers(report));
        self.removals.push(added);
        true
    }

    /// Applies a value that preceded a removal which arrived before it.
    fn update_removed(&mut self, position: StorePosition, value: &BackendEntry) {
        if position.era != self.position.era || position <= self.position {
            return;
        }
        self.position = position;
        self.entry = value.clone();
        self.removals.retain(|report| report.position > position);
    }

    /// Returns when the removal takes effect, if the entry was removed.
    fn effective_at(&self) -> Option<Instant> {
        let times = self.removals.iter().map(|report| report.terms.effective_at);
        times.min()
    }

    /// Returns whether the entry was removed and the removal has taken effect.
    /// `is_waiting` tells whether removals that this daemon read wait for the store.
    fn is_gone(&self, is_waiting: bool, now: Instant) -> bool {
        // Only a ready entry can be missing because of an outage although its backend server is still
        // running. A draining one was removed because the server has left.
        let may_have_expired = self.entry.state == ServingState::Ready;
        self.removals.iter().any(|report| {
            let terms = report.terms;
            let is_held_back = terms.waits_for_store && is_waiting;
            !may_have_expired || (terms.effective_at <= now && !is_held_back)
        })
    }
}

impl RemovalReport {
    /// Returns whether another report changes nothing beside this one.
    fn covers(&self, other: &Self) -> bool {
        self.position >= other.position
            && self.terms.effective_at <= other.terms.effective_at
            && self.terms.waits_for_store <= other.terms.waits_for_store
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

/// Returns the terms of a removal received from a peer. It does not wait for the store.
fn peer_terms(recovered_at: Option<Instant>, now: Instant) -> RemovalTerms {
    RemovalTerms {
        effective_at: recovered_at.map_or(now, |at| at + EXPIRY_GRACE),
        waits_for_store: false,
    }
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}
