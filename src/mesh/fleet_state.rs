//! State shared by all requests at a daemon.

mod daemon_start;
mod store_updates;

use crate::{
    common::*,
    controller::task_supervisor::TaskSupervisor,
    decision::{
        clock::Clock,
        mesh::{
            admission_plan::{AdmissionPlan, AdmissionPlanner},
            entry_admission::EntryAdmission,
            fleet_retry_budget::FleetRetryBudget,
            fleet_view::FleetView,
            instance_selector::InstanceSelector,
            load_schedule::regular_interval,
            reader_election::{ReaderElection, StartProgress, StoreStatus},
            route_table::RouteTable,
            server_notes::ServerNotes,
            start_check::StartCheck,
            traffic_split::TrafficSplit,
            update_gap::UpdateGap,
        },
        organisation::{
            allotment_ledger::AllotmentLedger, config_currency::ConfigCurrency,
            organisation_spec::OrganisationSpec,
        },
    },
    mesh::{
        caller_response::LocalReason,
        context_headers::ContextHeaders,
        executor::Executor,
        mesh_metrics::{MeshMetrics, ViewReport},
        mesh_settings::MeshSettings,
        open_connections::OpenConnections,
        peer_frame::{HelloFrame, LoadFrame},
        store_contact::{StoreContact, UpdateSource},
        store_interface::{StoreFormat, StoreItem},
        suspect_controller::SuspectController,
    },
};
use std::{
    net::IpAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::sync::Notify;

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
    /// Starts tasks of this daemon again after a panic.
    pub tasks: Arc<TaskSupervisor>,
    /// Random number that identifies this process of the daemon.
    pub daemon_id: u64,
    /// Runs requests at the backend server beside this daemon.
    pub executor: Arc<Executor>,
    /// Requests that are suspected of crashing backend servers.
    pub suspects: Arc<SuspectController>,
    /// Selects an instance for each attempt.
    pub selector: Mutex<InstanceSelector>,
    /// Distributes the requests of a route over its weighted targets.
    pub traffic_split: Mutex<TrafficSplit>,
    /// Share of the fleet's retry budget that this daemon may spend.
    pub retry_budget: Mutex<FleetRetryBudget>,
    /// Allotments of the organisations.
    pub allotments: Mutex<AllotmentLedger>,
    /// Connections of callers and peers.
    pub connections: Arc<OpenConnections>,
    /// Metrics.
    pub metrics: MeshMetrics,
    /// Admission of root requests.
    pub entry_admission: Mutex<EntryAdmission>,
    /// Election of the daemons that read the store.
    pub reader_election: Mutex<ReaderElection>,
    /// Notified when the load of this daemon is to be sent before the interval has passed.
    pub load_due: Notify,
    store_contact: Mutex<StoreContact>,
    update_gap: Mutex<UpdateGap>,
    config_currency: Mutex<ConfigCurrency>,
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
    /// Way by which the configuration in force arrived.
    config_source: Mutex<Option<UpdateSource>>,
    /// Whether a peer sent a complete state.
    has_peer_state: AtomicBool,
    /// Question to the peers, until the start is complete.
    start_check: Mutex<Option<StartCheck>>,
    is_starting: AtomicBool,
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

impl fmt::Debug for OpenRequest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("OpenRequest")
    }
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
        let suspects = Arc::new(SuspectController::new(Arc::clone(&clock)));
        suspects.set_released(settings.released_requests.clone());
        let executor = Executor::new(
            settings.service.clone(),
            settings.backend,
            headers,
            Arc::clone(&suspects),
            Arc::clone(&clock),
        );
        let selector = InstanceSelector::new(settings.data_centre.clone(), rand::random());
        let daemon_id = rand::random();
        let view = FleetView::with_heartbeat(settings.heartbeat());
        let data_centre = settings.data_centre.clone();
        let reader_election = if settings.other_seeds().is_empty() {
            ReaderElection::new(daemon_id, data_centre, clock.now())
        } else {
            ReaderElection::with_seeds(daemon_id, data_centre, clock.now())
        };
        Self {
            reader_election: Mutex::new(reader_election),
            load_due: Notify::new(),
            store_contact: Mutex::default(),
            update_gap: Mutex::default(),
            started: clock.now(),
            selector: Mutex::new(selector),
            traffic_split: Mutex::new(TrafficSplit::new(rand::random())),
            retry_budget: Mutex::new(FleetRetryBudget::new(settings.budget, clock.now())),
            allotments: Mutex::new(AllotmentLedger::new(
                settings.allotment,
                rand::random(),
                clock.now(),
            )),
            config_currency: Mutex::new(ConfigCurrency::new(settings.keys)),
            connections: Arc::default(),
            metrics: MeshMetrics::new(),
            entry_admission: Mutex::default(),
            planner: Mutex::default(),
            plan: Mutex::default(),
            latest_load: Mutex::default(),
            executor: Arc::new(executor),
            tasks: Arc::new(TaskSupervisor::new(Arc::clone(&clock))),
            suspects,
            settings,
            headers,
            format,
            clock,
            daemon_id,
            view: Mutex::new(view),
            items: Mutex::default(),
            routes: Mutex::default(),
            is_published: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            config_source: Mutex::default(),
            has_peer_state: AtomicBool::new(false),
            start_check: Mutex::default(),
            is_starting: AtomicBool::new(false),
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
    /// all essential tasks work, and it is not isolated. Clients of an isolated daemon are better
    /// served by another one.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && !self.is_starting()
            && self.tasks.failing_task().is_none()
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

    /// Waits until the local backend server announces that it leaves, and takes it out of the
    /// selection of this daemon; returns what the server says of itself.
    pub async fn server_leaving(&self) -> ServerNotes {
        let notes = self.executor.server.leaving().await;
        let local_ip = self.settings.peer.ip();
        self.selector.lock().record_peer_notes(local_ip, &notes);
        notes
    }

    /// Applies the settings that can change while the daemon runs.
    pub fn reload(&self, settings: &MeshSettings) {
        self.retry_budget.lock().set_bounds(settings.budget);
        self.allotments.lock().set_bounds(settings.allotment);
        self.config_currency.lock().set_rules(settings.keys);
        self.suspects
            .set_released(settings.released_requests.clone());
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

    /// Returns what this daemon knows of the fleet.
    pub fn start_progress(&self) -> StartProgress {
        if !self.has_entries() {
            StartProgress::WithoutState
        } else if self.is_published.load(Ordering::Relaxed) {
            StartProgress::Published
        } else {
            StartProgress::Unpublished
        }
    }

    /// Returns the number of instances of which an entry is stored.
    pub fn member_count(&self) -> usize {
        self.items.lock().entries.len()
    }

    /// Returns the number of members that run the service of the local backend server.
    pub fn service_member_count(&self) -> usize {
        let view = self.view.lock();
        let members = view.current_members();
        members
            .filter(|(_, entry)| entry.service == self.settings.service)
            .count()
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
            is_leaving: self.is_leaving() || self.executor.server.is_leaving(),
            config_version: version,
            member_count: self.member_count() as u32,
            connection_number: 0,
            notes: self.executor.server.notes(),
        }
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        let (isolated_requests, refused_requests) = self.suspects.counts();
        let view = ViewReport {
            isolated_requests,
            refused_requests,
            refused_arrivals: self.suspects.refused_count(),
            config_version: self.routes().map_or(0, |routes| routes.version().0),
            store_position: self.update_gap.lock().position(),
            members: self.member_count(),
            is_published: self.is_published.load(Ordering::Relaxed),
            response_age: self.store_response_age(),
            store_readers: self.store_readers(),
            load_interval: regular_interval(self.member_count()),
            plan_daemons: self.plan().daemons(),
            oldest_summary: self.plan().oldest_summary(),
            named_rate: self.executor.server.named_rate(),
            runs: self.executor.run_count(),
            limited_runs: self.executor.server.limited_count(),
            crashes: self.executor.crash_count(),
            is_server_leaving: self.executor.server.is_leaving(),
            task_panics: self.tasks.panic_counts(),
            connections: self.connections.count(),
            closing_connections: self.connections.closing_count(),
        };
        self.metrics.text(self.executor.load(), &view)
    }

    /// Returns the number of daemons of this data centre that read the store, as far as known.
    fn store_readers(&self) -> usize {
        let election = self.reader_election.lock();
        election.other_readers() + usize::from(election.is_reading())
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
        let contact_age = load.store_status.contact_age;
        if let Some(contact_at) = contact_age.and_then(|age| now.checked_sub(age)) {
            self.view.lock().record_peer_contact(contact_at, now);
        }
        let version = self.routes().map_or(0, |routes| routes.version().0);
        let is_behind = load.store_status.config_version > version;
        if load.store_status.is_reading && !is_behind {
            self.config_currency.lock().confirm(now);
        }
        if let Some(demand) = &load.demand {
            let ip = load.summary.ip;
            self.allotments.lock().record_peer(ip, demand, now);
        }
        let mut gap = self.update_gap.lock();
        gap.needs_full_sync(load.store_status.position, is_behind, now)
    }

    /// Returns whether the configuration is recent enough to accept the keys in it.
    pub fn accepts_keys(&self) -> bool {
        let currency = self.config_currency.lock();
        currency.accepts_keys(self.clock.now())
    }

    /// Takes a request of an organisation from its allotment.
    pub fn take_allotment(&self, organisation: &OrganisationSpec) -> Result<(), LocalReason> {
        let now = self.clock.now();
        let taken = self.allotments.lock().take(organisation, now);
        taken.map_err(|wait| LocalReason::OverAllotment { wait })
    }

    /// Returns how this daemon reads the store and how recent its state is, as sent to peers.
    pub fn store_status(&self) -> StoreStatus {
        let now = self.clock.now();
        let is_current = self.store_contact.lock().is_current(now);
        let view = self.view.lock();
        let is_reading = is_current && !view.is_store_unreachable();
        let knows_outage = view.recovered_at(now).is_some();
        drop(view);
        StoreStatus {
            data_centre: self.settings.data_centre.clone(),
            is_reading,
            contact_age: self
                .store_response_age()
                .filter(|_| is_reading && !knows_outage),
            position: self.update_gap.lock().position(),
            knows_eras: true,
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
        let interval = regular_interval(self.member_count());
        let mut planner = self.planner.lock();
        planner.set_load_interval(interval);
        planner.record_summary(summary.clone(), now);
        if let Some(routes) = self.routes() {
            let selector = self.selector.lock();
            let plan = planner.plan(&routes, |ip| selector.peer_reach(ip, now), now);
            drop(selector);
            log_short_services(&plan);
            *self.plan.lock() = Arc::new(plan);
        }
        drop(planner);
        let routes = self.routes();
        let organisations = routes.as_ref().and_then(|routes| routes.organisations());
        let demand = organisations.map(|organisations| {
            let daemons = self.member_count();
            self.allotments.lock().update(organisations, daemons, now)
        });
        let load = Arc::new(LoadFrame {
            demand,
            summary,
            store_status: self.store_status(),
        });
        *self.latest_load.lock() = Some(Arc::clone(&load));
        load
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
