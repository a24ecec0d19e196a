//! Application of the values of the store that a daemon reads itself or gets from peers.

use super::FleetState;
use crate::{
    common::*,
    decision::mesh::{
        fleet_view::VersionedEntry, store_outage::EXPIRY_GRACE, store_position::StorePosition,
    },
    mesh::{peer_frame::StoreUpdateFrame, store_contact::UpdateSource, store_interface::StoreItem},
};
use std::{net::IpAddr, sync::atomic::Ordering};

/// Result of the application of items.
struct AppliedItems {
    /// Items that changed the state, which the peers get.
    changed: Vec<StoreItem>,
    /// Position of the last item that this daemon had already. The peers got it from another daemon, if
    /// at all.
    known: StorePosition,
}

/// Returns the position up to which peers need all entries before an update. One from an era to the next
/// starts in the earlier one.
fn range_start(previous: StorePosition, known: StorePosition) -> StorePosition {
    if known.era == previous.era {
        previous.max(known)
    } else {
        previous
    }
}

impl FleetState {
    /// Returns the route configuration and all entries that this daemon has.
    pub fn full_store_state(&self) -> StoreUpdateFrame {
        let position = self.update_gap.lock().position();
        let items = self.items.lock();
        let entries = items.entries.values();
        let items = items.config.iter().chain(entries).cloned().collect();
        let recovered_at = self.view.lock().list_recovered_at(self.clock.now());
        StoreUpdateFrame {
            is_complete: !position.is_start(),
            ..self.store_update(items, StorePosition::default(), recovered_at)
        }
    }

    /// Creates the update that sends changes which this daemon read to peers.
    fn change_update(&self, items: Vec<StoreItem>, previous: StorePosition) -> StoreUpdateFrame {
        let recovered_at = self.view.lock().recovered_at(self.clock.now());
        self.store_update(items, previous, recovered_at)
    }

    fn store_update(
        &self,
        items: Vec<StoreItem>,
        previous: StorePosition,
        recovered_at: Option<Instant>,
    ) -> StoreUpdateFrame {
        let now = self.clock.now();
        StoreUpdateFrame {
            items,
            is_complete: false,
            previous,
            last: self.update_gap.lock().position(),
            since_store_recovery_ms: recovered_at
                .map(|at| now.saturating_duration_since(at).as_millis() as u32),
            is_list: false,
        }
    }

    /// Applies changes that this daemon read from the store; returns the update for the peers.
    pub fn apply_store_changes(
        &self,
        source: UpdateSource,
        items: &[StoreItem],
    ) -> StoreUpdateFrame {
        let now = self.clock.now();
        self.mark_store_reachable(now);
        let apply = |entry: &VersionedEntry| self.view.lock().apply(entry, now);
        let applied = self.apply_items(source, items, apply, now);
        let last = items.iter().map(|item| item.position).max();
        let previous = self.mark_complete(last.unwrap_or_default());
        self.change_update(applied.changed, range_start(previous, applied.known))
    }

    /// Applies the complete list of items that this daemon read from the store as of a position;
    /// returns the update for the peers.
    pub fn apply_store_list(
        &self,
        items: &[StoreItem],
        position: StorePosition,
    ) -> StoreUpdateFrame {
        let now = self.clock.now();
        self.mark_store_reachable(now);
        self.view.lock().begin_list(position);
        let apply = |entry: &VersionedEntry| self.view.lock().apply(entry, now);
        let AppliedItems { mut changed, known } =
            self.apply_items(UpdateSource::List, items, apply, now);
        let entries = self.decode_entries(items);
        let removed = self.view.lock().reconcile(&entries, position, now);
        self.remove_items(&removed, now);
        changed.extend(removed.into_iter().map(|id| StoreItem {
            is_config: false,
            instance: Some(id),
            position,
            value: None,
        }));
        let previous = self.mark_complete(position);
        let previous = if self.update_gap.lock().has_changed_era() {
            position
        } else {
            range_start(previous, known)
        };
        StoreUpdateFrame {
            is_list: true,
            ..self.change_update(changed, previous)
        }
    }

    /// Applies a store update received from the peer at an address.
    pub fn apply_update_from_peer(&self, peer: IpAddr, update: &StoreUpdateFrame) {
        let now = self.clock.now();
        let age = update
            .since_store_recovery_ms
            .map(|ms| Duration::from_millis(ms.into()));
        let recovered_at = age.map(|age| now.checked_sub(age).unwrap_or(now));
        if update.is_complete {
            self.view.lock().begin_list(update.last);
        }
        let apply =
            |entry: &VersionedEntry| self.view.lock().apply_from_peer(entry, recovered_at, now);
        self.apply_items(UpdateSource::Peer(peer), &update.items, apply, now);
        if update.is_complete {
            let entries = self.decode_entries(&update.items);
            let mut view = self.view.lock();
            let removed = view.reconcile_from_peer(&entries, update.last, recovered_at, now);
            drop(view);
            self.remove_items(&removed, now);
            self.mark_complete(update.last);
            self.has_peer_state.store(true, Ordering::Relaxed);
            return;
        }
        let mut gap = self.update_gap.lock();
        if update.is_list {
            gap.record_list(update.previous, update.last);
        } else {
            gap.record_range(update.previous, update.last);
        }
    }

    /// Records that this daemon has all entries as of a position; returns the one before.
    fn mark_complete(&self, position: StorePosition) -> StorePosition {
        let mut gap = self.update_gap.lock();
        let previous = gap.position();
        gap.mark_complete(position);
        drop(gap);
        if position.era > previous.era && !previous.is_start() {
            log::warn!(
                previous:% = previous,
                position:% = position;
                "store: The store came back from a copy and is in another era."
            );
            self.load_due.notify_one();
        }
        previous
    }

    /// Records the era of a response of the store.
    pub fn enter_store_era(&self, era: u64) {
        self.view.lock().enter_era(era, self.clock.now());
    }

    /// Applies items; returns those that changed the state, and up to which position others did not.
    fn apply_items(
        &self,
        source: UpdateSource,
        items: &[StoreItem],
        apply: impl Fn(&VersionedEntry) -> bool,
        now: Instant,
    ) -> AppliedItems {
        let mut changed = Vec::new();
        let mut known = StorePosition::default();
        for item in items {
            if self.apply_item(source, item, &apply) {
                changed.push(item.clone());
            } else {
                known = known.max(item.position);
            }
        }
        if !changed.is_empty() {
            self.metrics.count_store_update(source);
        }
        if changed.iter().any(|item| item.instance.is_some()) {
            self.update_members(now);
        }
        AppliedItems { changed, known }
    }

    fn decode_entries(&self, items: &[StoreItem]) -> Vec<VersionedEntry> {
        items
            .iter()
            .filter_map(|item| self.decode_entry(item))
            .collect()
    }

    fn remove_items(&self, removed: &[SmolStr], now: Instant) {
        if removed.is_empty() {
            return;
        }
        let mut items = self.items.lock();
        items.entries.retain(|id, _| !removed.contains(id));
        drop(items);
        self.update_members(now);
    }

    /// Returns whether the last call of this daemon to the store failed.
    pub fn is_store_unreachable(&self) -> bool {
        self.view.lock().is_store_unreachable()
    }

    /// Returns whether entries were read from the store or received from a peer.
    pub fn has_entries(&self) -> bool {
        !self.update_gap.lock().position().is_start()
    }

    /// Counts a failed call to the store and records that the store is unreachable for this daemon.
    pub fn record_store_failure(&self) {
        self.metrics.count_store_failure();
        self.view.lock().mark_store_unreachable(self.clock.now());
    }

    /// Records a successful call to the store. The first one makes this daemon a reader, which its
    /// peers learn at once, so that no others start to read.
    pub fn record_store_response(&self) {
        let now = self.clock.now();
        let is_first = self.store_contact.lock().record_response(now);
        self.mark_store_reachable(now);
        self.config_currency.lock().confirm(now);
        if is_first {
            self.load_due.notify_one();
        }
    }

    /// Records that this daemon no longer reads the store.
    pub fn stop_reading(&self) {
        self.store_contact.lock().clear();
        self.view.lock().stop_reading();
    }

    /// Returns the time since the store last responded to this daemon, if it reads the store.
    pub fn store_response_age(&self) -> Option<Duration> {
        self.store_contact.lock().response_age(self.clock.now())
    }

    /// Applies all members again to what follows from them.
    pub fn refresh_members(&self) {
        self.update_members(self.clock.now());
    }

    /// Removes members whose removal was delayed and is now due.
    pub fn apply_due_removals(&self) {
        let now = self.clock.now();
        if self.drop_removed(now) {
            self.update_members(now);
        }
    }

    /// Drops members whose removal has taken effect; returns whether there were any.
    fn drop_removed(&self, now: Instant) -> bool {
        let dropped = self.view.lock().drop_removed(now);
        if dropped.is_empty() {
            return false;
        }
        let response_age = self.store_response_age();
        log::info!(
            entries = dropped.join(",").as_str(),
            position:% = self.update_gap.lock().position(),
            response_age_ms = response_age.map(|age| age.as_millis() as u64);
            "members: Dropped the entries of servers that were removed."
        );
        true
    }

    /// Records a response of the store to this daemon.
    fn mark_store_reachable(&self, now: Instant) {
        let mut view = self.view.lock();
        view.mark_store_reachable(now);
        let is_recovered = view.recovered_at(now) == Some(now);
        drop(view);
        if is_recovered {
            log::info!(
                wait_ms = EXPIRY_GRACE.as_millis() as u64;
                "store: It responded to no known daemon for long; missing entries may be renewed."
            );
        }
    }

    fn apply_item(
        &self,
        source: UpdateSource,
        item: &StoreItem,
        apply: impl Fn(&VersionedEntry) -> bool,
    ) -> bool {
        if item.is_config {
            return self.apply_config(source, item);
        }
        let Some(entry) = self.decode_entry(item) else {
            return false;
        };
        if !apply(&entry) {
            return false;
        }
        let mut items = self.items.lock();
        if entry.value.is_some() {
            items.entries.insert(entry.id, item.clone());
        } else {
            items.entries.swap_remove(&entry.id);
        }
        true
    }

    fn apply_config(&self, source: UpdateSource, item: &StoreItem) -> bool {
        let Some(value) = &item.value else {
            return false;
        };
        let table = match self.format.decode_config(value) {
            Ok(table) => table,
            Err(error) => {
                log::warn!("config: Ignored an invalid route configuration. {error}");
                return false;
            }
        };
        let mut routes = self.routes.lock();
        let version = table.version();
        if routes
            .as_ref()
            .is_some_and(|routes| routes.version() >= version)
        {
            return false;
        }
        let response_age = self.store_response_age();
        log::info!(
            source:% = source,
            position:% = item.position,
            response_age_ms = response_age.map(|age| age.as_millis() as u64);
            "config: Version {} with {} routes is in force.",
            version.0,
            table.len()
        );
        self.traffic_split
            .lock()
            .retain(|name| table.by_name(name).is_some());
        *routes = Some(Arc::new(table));
        drop(routes);
        self.items.lock().config = Some(item.clone());
        *self.config_source.lock() = Some(source);
        true
    }

    fn decode_entry(&self, item: &StoreItem) -> Option<VersionedEntry> {
        let id = item.instance.clone()?;
        let value = item.value.as_ref().and_then(|value| {
            let decoded = self.format.decode_entry(value);
            decoded
                .inspect_err(|error| log::warn!("members: Dropped the entry {id}. {error}"))
                .ok()
        });
        Some(VersionedEntry {
            id,
            position: item.position,
            value,
        })
    }

    /// Updates the instances of the selector and the slots of the executor after a change of
    /// members.
    fn update_members(&self, now: Instant) {
        self.drop_removed(now);
        let view = self.view.lock();
        self.selector.lock().update(&view, now);
        let local_member = view
            .current_members()
            .find(|(_, entry)| entry.address == self.settings.backend);
        let is_published = local_member.is_some();
        if self.is_published.swap(is_published, Ordering::Relaxed) != is_published {
            let change = if is_published {
                "is published"
            } else {
                "is gone"
            };
            log::info!("members: The entry of the local backend server {change}.");
        }
        match local_member {
            Some((id, entry)) => {
                self.executor
                    .set_published_instance(id, entry.started_ms, entry.slots);
            }
            None => {
                let mut members = view.current_members();
                let same_service =
                    members.find(|(_, entry)| entry.service == self.settings.service);
                if let Some((_, entry)) = same_service {
                    self.executor.set_default_slots(entry.slots);
                }
            }
        }
    }
}
