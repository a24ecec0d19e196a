//! Members of all services as the store publishes them.

use crate::common::*;

/// Time after the return of the store in which entries that lapsed meanwhile come back.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// State that a backend server reports of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingState {
    /// It takes requests.
    Ready,
    /// It leaves and gets no new requests.
    Draining,
}

/// Backend server as published in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendEntry {
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Address at which it serves; its daemon runs at the same IP address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Requests that it processes at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServingState,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Unix time of its start in milliseconds, if it says so.
    pub born_ms: Option<u64>,
}

/// What the store holds under the key of one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryItem {
    /// Instance id of the backend server.
    pub id: SmolStr,
    /// Revision of the store at the last change.
    pub revision: u64,
    /// The entry; `None` if it was removed or cannot be read.
    pub entry: Option<BackendEntry>,
}

#[derive(Debug)]
struct MemberState {
    revision: u64,
    entry: BackendEntry,
    removed: Option<Removal>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    revision: u64,
    effective: Instant,
    /// Whether the entry may be back as soon as this daemon reads the store again.
    waits_for_store: bool,
}

/// Whether the store can be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreState {
    Reachable,
    Away,
    BackSince(Instant),
}

/// Backend servers of all services. Items are merged by their revision, so that the order in which
/// the store and the peers report them does not matter.
#[derive(Debug)]
pub struct FleetView {
    members: IndexMap<SmolStr, MemberState>,
    removed: IndexMap<SmolStr, u64>,
    store: StoreState,
}

/// Most removed entries that are remembered.
const MAX_REMOVED: usize = 4_096;

impl FleetView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self {
            members: IndexMap::new(),
            removed: IndexMap::new(),
            store: StoreState::Reachable,
        }
    }

    /// Records that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store = StoreState::Away;
    }

    /// Records an answer of the store.
    pub fn store_answered(&mut self, now: Instant) {
        if self.store == StoreState::Away {
            self.store = StoreState::BackSince(now);
        }
    }

    /// Returns when the store came back, while entries that lapsed meanwhile may still be missing.
    pub fn returned(&self, now: Instant) -> Option<Instant> {
        match self.store {
            StoreState::Reachable => None,
            StoreState::Away => Some(now),
            StoreState::BackSince(since) => (now < since + LAPSE_GRACE).then_some(since),
        }
    }

    /// Returns whether the store did not answer lately.
    pub fn is_store_away(&self) -> bool {
        self.store == StoreState::Away
    }

    /// Merges an item that this daemon read; returns whether it was news.
    pub fn apply(&mut self, item: &EntryItem, now: Instant) -> bool {
        self.merge(item, self.own_removal(now), now)
    }

    /// Merges an item that another daemon read, for which the store came back at `returned`; returns
    /// whether it was news.
    pub fn apply_told(
        &mut self,
        item: &EntryItem,
        returned: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.merge(item, told_removal(returned, now), now)
    }

    /// Returns when the removal of a ready entry that this daemon reads is in force, and whether it
    /// waits for the store.
    fn own_removal(&self, now: Instant) -> (Instant, bool) {
        let since = self.returned(now);
        (since.map_or(now, |since| since + LAPSE_GRACE), true)
    }

    fn merge(&mut self, item: &EntryItem, removal: (Instant, bool), now: Instant) -> bool {
        let known = self.members.get(&item.id).map_or(0, |state| {
            state
                .removed
                .map_or(state.revision, |removal| removal.revision)
        });
        let removed = self.removed.get(&item.id).copied().unwrap_or(0);
        if item.revision <= known.max(removed) {
            return false;
        }
        match &item.entry {
            Some(entry) => {
                self.removed.swap_remove(&item.id);
                let state = MemberState {
                    revision: item.revision,
                    entry: entry.clone(),
                    removed: None,
                };
                self.members.insert(item.id.clone(), state);
            }
            None => self.remove(&item.id, item.revision, removal, now),
        }
        true
    }

    /// Merges a complete list that this daemon read at `revision`: members that are not in it are gone.
    /// Returns those.
    pub fn reconcile(&mut self, items: &[EntryItem], revision: u64, now: Instant) -> Vec<SmolStr> {
        self.merge_all(items, revision, self.own_removal(now), now)
    }

    /// Merges a complete list that another daemon has as of `revision`, for which the store came back at
    /// `returned`; returns the members that are gone.
    pub fn reconcile_told(
        &mut self,
        items: &[EntryItem],
        revision: u64,
        returned: Option<Instant>,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.merge_all(items, revision, told_removal(returned, now), now)
    }

    fn merge_all(
        &mut self,
        items: &[EntryItem],
        revision: u64,
        removal: (Instant, bool),
        now: Instant,
    ) -> Vec<SmolStr> {
        for item in items {
            self.merge(item, removal, now);
        }
        let missing: Vec<SmolStr> = self
            .members
            .iter()
            .filter(|(id, state)| {
                state.removed.is_none()
                    && state.revision <= revision
                    && !items.iter().any(|item| item.id == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.remove(id, revision, removal, now);
        }
        missing
    }

    fn remove(&mut self, id: &SmolStr, revision: u64, lapse: (Instant, bool), now: Instant) {
        let Some(state) = self.members.get_mut(id) else {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.swap_remove_index(0);
            }
            self.removed.insert(id.clone(), revision);
            return;
        };
        // A ready entry that vanishes while the store is away has lapsed without a departure.
        let may_be_lapse = state.entry.state == ServingState::Ready;
        let (effective, waits_for_store) = if may_be_lapse { lapse } else { (now, false) };
        state.removed = Some(Removal {
            revision,
            effective,
            waits_for_store,
        });
    }

    /// Drops members whose removal is in force; returns whether any was dropped.
    pub fn settle(&mut self, now: Instant) -> bool {
        let is_away = self.store == StoreState::Away;
        let gone: Vec<(SmolStr, u64)> = self
            .members
            .iter()
            .filter_map(|(id, state)| {
                let removal = state.removed?;
                let is_due = removal.effective <= now && !(is_away && removal.waits_for_store);
                is_due.then(|| (id.clone(), removal.revision))
            })
            .collect();
        for (id, revision) in &gone {
            self.members.swap_remove(id);
            if self.removed.len() >= MAX_REMOVED {
                self.removed.swap_remove_index(0);
            }
            self.removed.insert(id.clone(), *revision);
        }
        !gone.is_empty()
    }

    /// Returns all members with their ids.
    pub fn members(&self) -> impl Iterator<Item = (&SmolStr, &BackendEntry)> {
        self.members.iter().map(|(id, state)| (id, &state.entry))
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Returns when the removal of a ready entry that another daemon read is in force. It does not depend on
/// whether this daemon reads the store.
fn told_removal(returned: Option<Instant>, now: Instant) -> (Instant, bool) {
    (returned.map_or(now, |since| since + LAPSE_GRACE), false)
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}
