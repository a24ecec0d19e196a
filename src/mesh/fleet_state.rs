//! State that all requests of a daemon share.

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
        mesh_metrics::MeshMetrics,
        mesh_settings::MeshSettings,
        peer_frame::{HelloFrame, LoadFrame, NewsFrame},
        store_interface::{StoreFormat, StoreItem},
    },
};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// State that all requests of a daemon share.
pub struct FleetState {
    /// Settings read at start.
    pub settings: MeshSettings,
    /// Names of the context headers.
    pub headers: ContextHeaders,
    /// Calls of the store and the form of its values.
    pub format: Arc<dyn StoreFormat>,
    /// Clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// Random number that tells the starts of daemons apart.
    pub daemon: u64,
    /// Runs requests at the own backend server.
    pub executor: Arc<Executor>,
    /// Instances to choose from.
    pub choice: Mutex<InstanceSelector>,
    /// Spread over weighted targets.
    pub spread: Mutex<TrafficSplit>,
    /// Budget of repeated requests.
    pub budget: Mutex<FleetRetryBudget>,
    /// Metrics.
    pub metrics: MeshMetrics,
    /// Admission of root requests.
    pub admission: Mutex<EntryAdmission>,
    /// Choice of the daemons that read the store.
    pub rota: Mutex<ReaderElection>,
    gap: Mutex<UpdateGap>,
    planner: Mutex<AdmissionPlanner>,
    plan: Mutex<Arc<AdmissionPlan>>,
    started: Instant,
    view: Mutex<FleetView>,
    items: Mutex<KnownItems>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    is_leaving: AtomicBool,
    ends_at: Mutex<Option<Instant>>,
    next_number: AtomicU64,
    open_requests: AtomicU64,
}

/// Values of the store in the form in which other daemons get them.
#[derive(Debug, Default)]
struct KnownItems {
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
        let choice = InstanceSelector::new(settings.data_centre.clone(), rand::random());
        let daemon = rand::random();
        let rota = ReaderElection::new(daemon, settings.data_centre.clone(), clock.now());
        Self {
            rota: Mutex::new(rota),
            gap: Mutex::default(),
            started: clock.now(),
            choice: Mutex::new(choice),
            spread: Mutex::new(TrafficSplit::new(rand::random())),
            budget: Mutex::new(FleetRetryBudget::new(settings.budget, clock.now())),
            metrics: MeshMetrics::new(),
            admission: Mutex::default(),
            planner: Mutex::default(),
            plan: Mutex::default(),
            executor: Arc::new(executor),
            settings,
            headers,
            format,
            clock,
            daemon,
            view: Mutex::default(),
            items: Mutex::default(),
            routes: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            ends_at: Mutex::default(),
            next_number: AtomicU64::new(1),
            open_requests: AtomicU64::new(0),
        }
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.lock().clone()
    }

    /// Returns whether the daemon has what it needs to serve. Clients of an isolated daemon are better
    /// served by another.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.routes.lock().is_some()
            && !self.view.lock().is_empty()
            && !self.choice.lock().is_isolated()
    }

    /// Returns whether all services that the runs of a route call can be reached from here. Work that
    /// cannot be completed is not started.
    pub fn can_complete(&self, route: &str) -> bool {
        let plan = self.plan();
        let Some(planned) = plan.route(route) else {
            return true;
        };
        let now = self.clock.now();
        let choice = self.choice.lock();
        let mut services = planned.costs.iter().map(|cost| &cost.service);
        services.all(|service| *service == self.settings.service || choice.can_reach(service, now))
    }

    /// Returns whether the daemon was asked to end.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Refuses new runs from now on; requests of callers are served if they can end before `end`.
    pub fn leave(&self, end: Instant) {
        *self.ends_at.lock() = Some(end);
        self.is_leaving.store(true, Ordering::Relaxed);
        self.executor.start_drain();
    }

    /// Puts those settings in force that can change while the daemon runs.
    pub fn reload(&self, settings: &MeshSettings) {
        self.budget.lock().set_bounds(settings.budget);
        let is_same_place = settings.backend == self.settings.backend
            && settings.service == self.settings.service
            && settings.outbound == self.settings.outbound
            && settings.peer == self.settings.peer
            && settings.store == self.settings.store;
        log::info!("settings: The settings were read again.");
        if !is_same_place {
            log::warn!("settings: A changed address or service takes effect at the next start.");
        }
    }

    /// Returns whether the process goes on until `limit`, as far as it knows.
    pub fn lasts_until(&self, limit: Instant) -> bool {
        self.ends_at.lock().is_none_or(|end| limit <= end)
    }

    /// Returns the next run number.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the time since the start in microseconds.
    pub fn uptime_us(&self) -> u64 {
        let uptime = self.clock.now().saturating_duration_since(self.started);
        uptime.as_micros() as u64
    }

    /// Counts a request as open until the result is dropped.
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

    /// Returns the number of known instances.
    pub fn members(&self) -> usize {
        self.items.lock().entries.len()
    }

    /// Returns the addresses of the daemons beside all known instances.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.peer.port();
        let own = self.settings.peer.ip();
        let view = self.view.lock();
        let mut addresses: Vec<SocketAddr> = view
            .members()
            .map(|(_, entry)| SocketAddr::new(entry.address.ip(), port))
            .filter(|address| address.ip() != own)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Returns the greeting of this daemon.
    pub fn hello(&self) -> HelloFrame {
        let version = self.routes().map_or(0, |routes| routes.version().0);
        HelloFrame {
            daemon: self.daemon,
            ip: self.settings.peer.ip(),
            is_leaving: self.is_leaving(),
            config_version: version,
            members: self.members() as u32,
            connection: 0,
        }
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        let version = self.routes().map_or(0, |routes| routes.version().0);
        self.metrics
            .text(self.executor.load(), version, self.members())
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Arc<AdmissionPlan> {
        Arc::clone(&self.plan.lock())
    }

    /// Takes the load of another daemon; returns whether to ask it for all that it knows of the store.
    pub fn learn_load(&self, load: &LoadFrame) -> bool {
        let now = self.clock.now();
        let daemon = load.summary.daemon;
        self.planner
            .lock()
            .record_summary(load.summary.clone(), now);
        self.rota.lock().record_status(daemon, &load.store, now);
        let version = self.routes().map_or(0, |routes| routes.version().0);
        let is_behind = load.store.config_version > version;
        let mut gap = self.gap.lock();
        gap.needs_full_sync(load.store.entries_revision, is_behind, now)
    }

    /// Returns what this daemon tells of its contact with the store.
    pub fn store_contact(&self) -> StoreStatus {
        StoreStatus {
            data_centre: self.settings.data_centre.clone(),
            is_reading: self.rota.lock().is_reading() && !self.is_store_unreachable(),
            entries_revision: self.gap.lock().revision(),
            config_version: self.routes().map_or(0, |routes| routes.version().0),
        }
    }

    /// Puts a new plan in force; returns the own load for the other daemons.
    pub fn renew_plan(&self) -> LoadFrame {
        let now = self.clock.now();
        let summary = self.executor.load_summary(self.daemon);
        let mut planner = self.planner.lock();
        planner.record_summary(summary.clone(), now);
        if let Some(routes) = self.routes() {
            *self.plan.lock() = Arc::new(planner.plan(&routes, now));
        }
        drop(planner);
        LoadFrame {
            summary,
            store: self.store_contact(),
        }
    }

    /// Returns all that this daemon knows of the store.
    pub fn all_items(&self) -> NewsFrame {
        let revision = self.gap.lock().revision();
        let items = self.items.lock();
        let entries = items.entries.values();
        let items = items.config.iter().chain(entries).cloned().collect();
        self.news(items, revision > 0, 0)
    }

    fn news(&self, items: Vec<StoreItem>, is_complete: bool, previous: u64) -> NewsFrame {
        let now = self.clock.now();
        let returned = self.view.lock().recovered_at(now);
        NewsFrame {
            items,
            is_complete,
            previous_revision: previous,
            last_revision: self.gap.lock().revision(),
            returned_ms: returned.map(|at| now.saturating_duration_since(at).as_millis() as u32),
        }
    }

    /// Learns changes that this daemon read; returns what to tell the others.
    pub fn learn_changes(&self, items: &[StoreItem]) -> NewsFrame {
        let now = self.clock.now();
        let apply = |entry: &VersionedEntry| self.view.lock().apply(entry, now);
        let news = self.learn_items(items, apply, now);
        let mut gap = self.gap.lock();
        let previous = gap.revision();
        let entries = items.iter().filter(|item| item.instance.is_some());
        gap.mark_complete(entries.map(|item| item.revision).max().unwrap_or(0));
        drop(gap);
        self.news(news, false, previous)
    }

    /// Learns the complete list of the entries that this daemon read as of a revision; returns what to
    /// tell the others.
    pub fn learn_entries(&self, items: &[StoreItem], revision: u64) -> NewsFrame {
        let now = self.clock.now();
        let apply = |entry: &VersionedEntry| self.view.lock().apply(entry, now);
        let mut news = self.learn_items(items, apply, now);
        let entries = self.decode_all(items);
        let gone = self.view.lock().reconcile(&entries, revision, now);
        self.forget(&gone, now);
        news.extend(gone.into_iter().map(|id| StoreItem {
            is_config: false,
            instance: Some(id),
            revision,
            value: None,
        }));
        let mut gap = self.gap.lock();
        let previous = gap.revision();
        gap.mark_complete(revision);
        drop(gap);
        self.news(news, false, previous)
    }

    /// Learns what another daemon read.
    pub fn learn_news(&self, news: &NewsFrame) {
        let now = self.clock.now();
        let age = news.returned_ms.map(|ms| Duration::from_millis(ms.into()));
        let returned = age.map(|age| now.checked_sub(age).unwrap_or(now));
        let apply = |entry: &VersionedEntry| self.view.lock().apply_from_peer(entry, returned, now);
        self.learn_items(&news.items, apply, now);
        if news.is_complete {
            let entries = self.decode_all(&news.items);
            let mut view = self.view.lock();
            let gone = view.reconcile_from_peer(&entries, news.last_revision, returned, now);
            drop(view);
            self.forget(&gone, now);
            self.gap.lock().mark_complete(news.last_revision);
            return;
        }
        let mut gap = self.gap.lock();
        gap.record_range(news.previous_revision, news.last_revision);
    }

    fn learn_items(
        &self,
        items: &[StoreItem],
        apply: impl Fn(&VersionedEntry) -> bool,
        now: Instant,
    ) -> Vec<StoreItem> {
        let news: Vec<StoreItem> = items
            .iter()
            .filter(|item| self.learn_item(item, &apply))
            .cloned()
            .collect();
        if news.iter().any(|item| item.instance.is_some()) {
            self.follow_members(now);
        }
        news
    }

    fn decode_all(&self, items: &[StoreItem]) -> Vec<VersionedEntry> {
        items.iter().filter_map(|item| self.decode(item)).collect()
    }

    fn forget(&self, gone: &[SmolStr], now: Instant) {
        if gone.is_empty() {
            return;
        }
        let mut items = self.items.lock();
        items.entries.retain(|id, _| !gone.contains(id));
        drop(items);
        self.follow_members(now);
    }

    /// Returns whether the store did not answer this daemon lately.
    pub fn is_store_unreachable(&self) -> bool {
        self.view.lock().is_store_unreachable()
    }

    /// Returns whether the entries were read or told before.
    pub fn knows_entries(&self) -> bool {
        self.gap.lock().revision() > 0
    }

    /// Records that the store does not answer.
    pub fn mark_store_unreachable(&self) {
        self.metrics.count_store_unreachable();
        self.view.lock().mark_store_unreachable();
    }

    /// Records an answer of the store.
    pub fn mark_store_reachable(&self) {
        self.view.lock().mark_store_reachable(self.clock.now());
    }

    /// Puts removals in force whose time has come.
    pub fn settle(&self) {
        let now = self.clock.now();
        if self.view.lock().drop_removed(now) {
            self.follow_members(now);
        }
    }

    fn learn_item(&self, item: &StoreItem, apply: impl Fn(&VersionedEntry) -> bool) -> bool {
        if item.is_config {
            return self.learn_config(item);
        }
        let Some(entry) = self.decode(item) else {
            return false;
        };
        if !apply(&entry) {
            return false;
        }
        let mut items = self.items.lock();
        if entry.entry.is_some() {
            items.entries.insert(entry.id, item.clone());
        } else {
            items.entries.swap_remove(&entry.id);
        }
        true
    }

    fn learn_config(&self, item: &StoreItem) -> bool {
        let Some(value) = &item.value else {
            return false;
        };
        let table = match self.format.decode_config(value) {
            Ok(table) => table,
            Err(error) => {
                log::warn!("config: The configuration stays as it is. {error}");
                return false;
            }
        };
        let mut routes = self.routes.lock();
        let version = table.version();
        if routes.as_ref().is_some_and(|now| now.version() >= version) {
            return false;
        }
        log::info!(
            "config: Version {} with {} routes is in force.",
            version.0,
            table.len()
        );
        self.spread
            .lock()
            .retain(|name| table.by_name(name).is_some());
        *routes = Some(Arc::new(table));
        drop(routes);
        self.items.lock().config = Some(item.clone());
        true
    }

    fn decode(&self, item: &StoreItem) -> Option<VersionedEntry> {
        let id = item.instance.clone()?;
        let entry = item.value.as_ref().and_then(|value| {
            let decoded = self.format.decode_entry(value);
            decoded
                .inspect_err(|error| log::warn!("members: The entry {id} is left out. {error}"))
                .ok()
        });
        Some(VersionedEntry {
            id,
            revision: item.revision,
            entry,
        })
    }

    fn follow_members(&self, now: Instant) {
        let view = self.view.lock();
        self.choice.lock().update(&view, now);
        let own = view
            .members()
            .filter(|(_, entry)| entry.address == self.settings.backend)
            .max_by_key(|(_, entry)| entry.started_ms);
        match own {
            Some((id, entry)) => self.executor.set_published_instance(id, entry.slots),
            None => {
                let mut members = view.members();
                let usual = members.find(|(_, entry)| entry.service == self.settings.service);
                if let Some((_, entry)) = usual {
                    self.executor.set_default_slots(entry.slots);
                }
            }
        }
    }
}
