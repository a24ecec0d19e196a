//! State shared by all requests at a daemon.

use crate::{
    common::*,
    decision::{
        clock::Clock,
        mesh::{
            admission_plan::{AdmissionPlan, AdmissionPlanner},
            entry_admission::EntryAdmission,
            fleet_retry_budget::FleetRetryBudget,
            fleet_view::{FleetView, VersionedEntry},
            instance_selector::InstanceSelector,
            reader_election::{ReaderElection, StoreStatus},
            route_table::RouteTable,
            traffic_split::TrafficSplit,
            update_gap::UpdateGap,
        },
    },
    mesh::{
        context_headers::ContextHeaders,
        executor::Executor,
        mesh_metrics::{MeshMetrics, ViewReport},
        mesh_settings::MeshSettings,
        peer_frame::{HelloFrame, LoadFrame, StoreUpdateFrame},
        store_contact::{StoreContact, UpdateSource},
        store_interface::{StoreFormat, StoreItem, StorePrefix},
    },
};
use std::{
    net::IpAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Unserved calls per second from which a service is logged although the plan does not limit it.
const MIN_LOGGED_RATE: f64 = 1.0;

/// State shared by all requests at a daemon.
pub struct FleetState {
    /// Settings read at the start of the process.
    pub settings: MeshSettings,
    /// Names of the headers that carry the request context.
    pub headers: ContextHeaders,
    /// Request targets and value encoding of the store.
    pub format: Arc<dyn StoreFormat>,
    /// Clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// Random number that identifies this process of the daemon.
    pub daemon_id: u64,
    /// Runs requests at the backend server beside this daemon.
    pub executor: Arc<Executor>,
    /// Selects an instance for each attempt.
    pub selector: Mutex<InstanceSelector>,
    /// Distributes the requests of a route over its weighted targets.
    pub traffic_split: Mutex<TrafficSplit>,
    /// Share of the fleet's retry budget that this daemon may spend.
    pub retry_budget: Mutex<FleetRetryBudget>,
    /// Metrics.
    pub metrics: MeshMetrics,
    /// Admission of root requests.
    pub entry_admission: Mutex<EntryAdmission>,
    /// Election of the daemons that read the store.
    pub reader_election: Mutex<ReaderElection>,
    store_contact: Mutex<StoreContact>,
    update_gap: Mutex<UpdateGap>,
    planner: Mutex<AdmissionPlanner>,
    plan: Mutex<Arc<AdmissionPlan>>,
    latest_load: Mutex<Option<Arc<LoadFrame>>>,
    started: Instant,
    view: Mutex<FleetView>,
    items: Mutex<StoredItems>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    /// Whether the store has an entry of the local backend server.
    is_published: AtomicBool,
    is_leaving: AtomicBool,
    exit_deadline: Mutex<Option<Instant>>,
    next_run_number: AtomicU64,
    open_requests: AtomicU64,
}

/// Values of the store, kept undecoded so that they can be passed on to peers.
#[derive(Debug, Default)]
struct StoredItems {
    config: Option<StoreItem>,
    entries: IndexMap<SmolStr, StoreItem>,
}

/// Counts a request as open until it is dropped.
pub struct OpenRequest {
    state: Arc<FleetState>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl FleetState {
    /// Creates the state of a daemon.
    pub fn new(
        settings: MeshSettings,
        headers: ContextHeaders,
        format: Arc<dyn StoreFormat>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let executor = Executor::new(
            settings.service.clone(),
            settings.backend,
            headers,
            Arc::clone(&clock),
        );
        let selector = InstanceSelector::new(settings.data_centre.clone(), rand::random());
        let daemon_id = rand::random();
        let reader_election =
            ReaderElection::new(daemon_id, settings.data_centre.clone(), clock.now());
        Self {
            reader_election: Mutex::new(reader_election),
            store_contact: Mutex::default(),
            update_gap: Mutex::default(),
            started: clock.now(),
            selector: Mutex::new(selector),
            traffic_split: Mutex::new(TrafficSplit::new(rand::random())),
            retry_budget: Mutex::new(FleetRetryBudget::new(settings.budget, clock.now())),
            metrics: MeshMetrics::new(),
            entry_admission: Mutex::default(),
            planner: Mutex::default(),
            plan: Mutex::default(),
            latest_load: Mutex::default(),
            executor: Arc::new(executor),
            settings,
            headers,
            format,
            clock,
            daemon_id,
            view: Mutex::default(),
            items: Mutex::default(),
            routes: Mutex::default(),
            is_published: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            exit_deadline: Mutex::default(),
            next_run_number: AtomicU64::new(1),
            open_requests: AtomicU64::new(0),
        }
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.lock().clone()
    }

    /// Returns whether the daemon can serve requests: it has routes and members, is not leaving,
    /// and is not isolated. Clients of an isolated daemon are better served by another one.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.routes.lock().is_some()
            && !self.view.lock().is_empty()
            && !self.selector.lock().is_isolated()
    }

    /// Returns whether this daemon can reach an instance of every service that runs the requests of
    /// a route or their nested calls, except its own service. A request that could not be completed
    /// is not started.
    pub fn can_reach_needed_services(&self, route: &str) -> bool {
        let plan = self.plan();
        let Some(planned) = plan.route(route) else {
            return true;
        };
        let now = self.clock.now();
        let selector = self.selector.lock();
        let mut services = planned.needed_services();
        services
            .all(|service| *service == self.settings.service || selector.can_reach(service, now))
    }

    /// Returns whether the daemon is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Starts the shutdown. From now on new runs are refused, and requests of callers are served
    /// only if they can complete before `exit_deadline`.
    pub fn start_leaving(&self, exit_deadline: Instant) {
        *self.exit_deadline.lock() = Some(exit_deadline);
        self.is_leaving.store(true, Ordering::Relaxed);
        self.executor.start_drain();
    }

    /// Applies the settings that can change while the daemon runs.
    pub fn reload(&self, settings: &MeshSettings) {
        self.retry_budget.lock().set_bounds(settings.budget);
        let is_fully_applied = settings.backend == self.settings.backend
            && settings.service == self.settings.service
            && settings.outbound == self.settings.outbound
            && settings.peer == self.settings.peer
            && settings.store == self.settings.store;
        log::info!("settings: Reloaded the settings.");
        if !is_fully_applied {
            log::warn!(
                "settings: Changes of an address or the service take effect after a restart."
            );
        }
    }

    /// Returns false if the daemon is leaving and its process may exit before `limit`.
    pub fn is_running_until(&self, limit: Instant) -> bool {
        self.exit_deadline.lock().is_none_or(|exit| limit <= exit)
    }

    /// Returns the next run number.
    pub fn next_run_number(&self) -> u64 {
        self.next_run_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the time since the start of the daemon in microseconds.
    pub fn uptime_us(&self) -> u64 {
        let uptime = self.clock.now().saturating_duration_since(self.started);
        uptime.as_micros() as u64
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest {
            state: Arc::clone(self),
        }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Returns the number of instances of which an entry is stored.
    pub fn member_count(&self) -> usize {
        self.items.lock().entries.len()
    }

    /// Returns the addresses of all daemons beside members, except this daemon.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.peer.port();
        let local_ip = self.settings.peer.ip();
        let view = self.view.lock();
        let mut addresses: Vec<SocketAddr> = view
            .members()
            .map(|(_, entry)| SocketAddr::new(entry.address.ip(), port))
            .filter(|address| address.ip() != local_ip)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Returns the handshake message of this daemon.
    pub fn hello(&self) -> HelloFrame {
        let version = self.routes().map_or(0, |routes| routes.version().0);
        HelloFrame {
            daemon_id: self.daemon_id,
            ip: self.settings.peer.ip(),
            is_leaving: self.is_leaving(),
            config_version: version,
            member_count: self.member_count() as u32,
            connection_number: 0,
        }
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        let view = ViewReport {
            config_version: self.routes().map_or(0, |routes| routes.version().0),
            members: self.member_count(),
            is_published: self.is_published.load(Ordering::Relaxed),
            response_age: self.store_response_age(),
        };
        self.metrics.text(self.executor.load(), &view)
    }

    /// Returns the admission plan in force.
    pub fn plan(&self) -> Arc<AdmissionPlan> {
        Arc::clone(&self.plan.lock())
    }

    /// Applies the load received from a peer; returns whether to request the peer's full store
    /// state.
    pub fn apply_load_from_peer(&self, load: &LoadFrame) -> bool {
        let now = self.clock.now();
        let peer_id = load.summary.daemon_id;
        match load.summary.check() {
            Ok(()) => self
                .planner
                .lock()
                .record_summary(load.summary.clone(), now),
            Err(error) => log::warn!("plan: Ignored the load of {}. {error}", load.summary.ip),
        }
        self.reader_election
            .lock()
            .record_status(peer_id, &load.store_status, now);
        let version = self.routes().map_or(0, |routes| routes.version().0);
        let is_behind = load.store_status.config_version > version;
        let mut gap = self.update_gap.lock();
        gap.needs_full_sync(load.store_status.entries_revision, is_behind, now)
    }

    /// Returns how this daemon reads the store and how recent its state is, as sent to peers.
    pub fn store_status(&self) -> StoreStatus {
        let is_current = self.store_contact.lock().is_current(self.clock.now());
        StoreStatus {
            data_centre: self.settings.data_centre.clone(),
            is_reading: is_current && !self.is_store_unreachable(),
            entries_revision: self.update_gap.lock().revision(),
            config_version: self.routes().map_or(0, |routes| routes.version().0),
        }
    }

    /// Returns the last load message for the peers, unless this daemon is leaving.
    pub fn latest_load(&self) -> Option<Arc<LoadFrame>> {
        let load = self.latest_load.lock().clone();
        load.filter(|_| !self.is_leaving())
    }

    /// Returns whether a member is published on a machine.
    pub fn is_member(&self, ip: IpAddr) -> bool {
        let view = self.view.lock();
        let mut members = view.members();
        members.any(|(_, entry)| entry.address.ip() == ip)
    }

    /// Recomputes the admission plan; returns the load message for the peers.
    pub fn update_plan(&self) -> Arc<LoadFrame> {
        let now = self.clock.now();
        let local_ip = self.settings.peer.ip();
        let summary = self.executor.load_summary(self.daemon_id, local_ip);
        let mut planner = self.planner.lock();
        planner.record_summary(summary.clone(), now);
        if let Some(routes) = self.routes() {
            let selector = self.selector.lock();
            let plan = planner.plan(&routes, |ip| selector.peer_reach(ip, now), now);
            drop(selector);
            log_short_services(&plan);
            *self.plan.lock() = Arc::new(plan);
        }
        drop(planner);
        let load = Arc::new(LoadFrame {
            summary,
            store_status: self.store_status(),
        });
        *self.latest_load.lock() = Some(Arc::clone(&load));
        load
    }

    /// Returns the route configuration and all entries that this daemon has.
    pub fn full_store_state(&self) -> StoreUpdateFrame {
        let revision = self.update_gap.lock().revision();
        let items = self.items.lock();
        let entries = items.entries.values();
        let items = items.config.iter().chain(entries).cloned().collect();
        self.store_update(items, revision > 0, 0)
    }

    /// Creates the update that sends items to peers.
    fn store_update(
        &self,
        items: Vec<StoreItem>,
        is_complete: bool,
        previous: u64,
    ) -> StoreUpdateFrame {
        let now = self.clock.now();
        let recovered_at = self.view.lock().recovered_at(now);
        StoreUpdateFrame {
            items,
            is_complete,
            previous_revision: previous,
            last_revision: self.update_gap.lock().revision(),
            since_store_recovery_ms: recovered_at
                .map(|at| now.saturating_duration_since(at).as_millis() as u32),
        }
    }

    /// Applies changes that this daemon read from the store; returns the update for the peers.
    pub fn apply_store_changes(
        &self,
        source: UpdateSource,
        items: &[StoreItem],
    ) -> StoreUpdateFrame {
        let now = self.clock.now();
        let apply = |entry: &VersionedEntry| self.view.lock().apply(entry, now);
        let changed = self.apply_items(source, items, apply, now);
        let mut gap = self.update_gap.lock();
        let previous = gap.revision();
        let entries = items.iter().filter(|item| item.instance.is_some());
        gap.mark_complete(entries.map(|item| item.revision).max().unwrap_or(0));
        drop(gap);
        self.store_update(changed, false, previous)
    }

    /// Applies the complete list of entries that this daemon read from the store as of a revision;
    /// returns the update for the peers.
    pub fn apply_entry_list(&self, items: &[StoreItem], revision: u64) -> StoreUpdateFrame {
        let now = self.clock.now();
        let apply = |entry: &VersionedEntry| self.view.lock().apply(entry, now);
        let mut changed = self.apply_items(UpdateSource::List, items, apply, now);
        let entries = self.decode_entries(items);
        let removed = self.view.lock().reconcile(&entries, revision, now);
        self.remove_items(&removed, now);
        changed.extend(removed.into_iter().map(|id| StoreItem {
            is_config: false,
            instance: Some(id),
            revision,
            value: None,
        }));
        let mut gap = self.update_gap.lock();
        let previous = gap.revision();
        gap.mark_complete(revision);
        drop(gap);
        self.store_update(changed, false, previous)
    }

    /// Applies a store update received from the peer at an address.
    pub fn apply_update_from_peer(&self, peer: IpAddr, update: &StoreUpdateFrame) {
        let now = self.clock.now();
        let age = update
            .since_store_recovery_ms
            .map(|ms| Duration::from_millis(ms.into()));
        let recovered_at = age.map(|age| now.checked_sub(age).unwrap_or(now));
        let apply =
            |entry: &VersionedEntry| self.view.lock().apply_from_peer(entry, recovered_at, now);
        self.apply_items(UpdateSource::Peer(peer), &update.items, apply, now);
        if update.is_complete {
            let entries = self.decode_entries(&update.items);
            let mut view = self.view.lock();
            let removed =
                view.reconcile_from_peer(&entries, update.last_revision, recovered_at, now);
            drop(view);
            self.remove_items(&removed, now);
            self.update_gap.lock().mark_complete(update.last_revision);
            return;
        }
        let mut gap = self.update_gap.lock();
        gap.record_range(update.previous_revision, update.last_revision);
    }

    /// Applies items and returns those that changed the state.
    fn apply_items(
        &self,
        source: UpdateSource,
        items: &[StoreItem],
        apply: impl Fn(&VersionedEntry) -> bool,
        now: Instant,
    ) -> Vec<StoreItem> {
        let changed: Vec<StoreItem> = items
            .iter()
            .filter(|item| self.apply_item(source, item, &apply))
            .cloned()
            .collect();
        if !changed.is_empty() {
            self.metrics.count_store_update(source);
        }
        if changed.iter().any(|item| item.instance.is_some()) {
            self.update_members(now);
        }
        changed
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
        self.update_gap.lock().revision() > 0
    }

    /// Counts a failed call to the store and records that the store is unreachable.
    pub fn record_store_failure(&self) {
        self.metrics.count_store_failure();
        self.view.lock().mark_store_unreachable();
    }

    /// Records a successful call to the store for a prefix.
    pub fn record_store_response(&self, prefix: StorePrefix) {
        let now = self.clock.now();
        self.store_contact.lock().record_response(prefix, now);
        self.view.lock().mark_store_reachable(now);
    }

    /// Records that this daemon no longer reads a prefix.
    pub fn stop_reading(&self, prefix: StorePrefix) {
        self.store_contact.lock().clear(prefix);
    }

    /// Returns the time since the store last responded to this daemon, if it reads the store.
    pub fn store_response_age(&self) -> Option<Duration> {
        self.store_contact.lock().response_age(self.clock.now())
    }

    /// Removes members whose removal was delayed and is now due.
    pub fn apply_due_removals(&self) {
        let now = self.clock.now();
        if self.view.lock().drop_removed(now) {
            self.update_members(now);
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
            revision = item.revision,
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
            revision: item.revision,
            value,
        })
    }

    /// Updates the instances of the selector and the slots of the executor after a change of
    /// members.
    fn update_members(&self, now: Instant) {
        let view = self.view.lock();
        self.selector.lock().update(&view, now);
        let local_member = view
            .members()
            .filter(|(_, entry)| entry.address == self.settings.backend)
            .max_by_key(|(_, entry)| entry.started_ms);
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
            Some((id, entry)) => self.executor.set_published_instance(id, entry.slots),
            None => {
                let mut members = view.members();
                let same_service =
                    members.find(|(_, entry)| entry.service == self.settings.service);
                if let Some((_, entry)) = same_service {
                    self.executor.set_default_slots(entry.slots);
                }
            }
        }
    }
}

/// Writes one log line for each service that limits the plan.
fn log_short_services(plan: &AdmissionPlan) {
    for (service, planned) in plan.services() {
        let measured = planned.measurement;
        let is_short = planned.free_slots <= 0.0 && measured.admitted_slots > 0.0;
        if !is_short && measured.unserved_rate < MIN_LOGGED_RATE {
            continue;
        }
        log::info!(
            service:% = service,
            slots = measured.slots,
            requests = measured.requests,
            admitted_rate = measured.admitted_rate,
            unserved_rate = measured.unserved_rate,
            admitted_slots = measured.admitted_slots,
            allowed_slots = planned.allowed_slots;
            "plan: The service limits the admitted requests."
        );
    }
}
