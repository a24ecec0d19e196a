//! State, listeners and background tasks of a daemon.

use crate::{
    common::*,
    controller::{
        call_ledgers::CallLedgers, gate_controller::GateController,
        gossip_controller::GossipController, lifecycle_controller::LifecycleController,
        membership_controller::MembershipController, platform_controller::PlatformController,
        profile_controller::ProfileController, retry_budgets::RetryBudgets,
        run_records::RunRecords, threshold_controller::ThresholdController,
        upstream_controller::UpstreamController,
    },
    decision::{
        catalogue::{
            catalogue_message::AppliedValue, catalogue_node::NodeSettings,
            catalogue_value::CatalogueValue, peer_view::PeerInfo,
        },
        clock::{Clock, SystemClock},
        lifecycle::lifecycle_state::Lifecycle,
        membership::{
            incarnation::Incarnation,
            member_phase::MemberPhase,
            member_record::{MemberRecord, PeerResponse},
        },
        once::ticket_issuer::TicketIssuer,
        profile::service_profile::AdmissionLimits,
        request_context::AttemptId,
        retry::retry_after::RetryAfter,
        routing::{routing_config::RoutingConfig, upstream_set::InstanceInfo},
    },
    filter::{
        attempt_filter::ATTEMPT_LIMITS,
        context_filter::RequestOrigin,
        inbound_chain::inbound_chain,
        outbound_handler::OutboundHandler,
        request_headers,
        ticket_filter::{self, TICKET_LIMITS},
    },
    settings::DaemonSettings,
    shell::{
        admin_server,
        background_tasks::BackgroundTasks,
        catalogue_driver::CatalogueDriver,
        control::ControlHeader,
        control_client::ControlClient,
        control_server, daemon_lifecycle, header_names,
        http_client::HttpClient,
        http_server,
        metrics::DaemonMetrics,
        peer_probe,
        platform_client::PlatformClient,
        span_recorder::{FLUSH_TIMEOUT, SpanRecorder},
    },
};
use http::HeaderMap;
use std::{io, panic::RefUnwindSafe};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

/// Interval at which the admission gate handles deadlines and max waits that have passed.
const GATE_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Progress timeout for connections to a service that has no profile in force.
const DEFAULT_PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a daemon, shared by all its requests and background tasks.
pub struct DaemonState {
    /// Settings from the settings file.
    pub settings: DaemonSettings,
    /// Clock for all decisions.
    pub clock: Arc<dyn Clock>,
    /// Profiles in force.
    pub profiles: ProfileController,
    /// Exchange of the configuration catalogue with other daemons.
    pub gossip: Arc<GossipController>,
    /// Serialises changes of the values in force.
    apply_lock: Mutex<()>,
    /// Admission gate of the backend server.
    pub gate: Arc<GateController>,
    /// Contexts and remaining extra attempts of the calls that the backend server works on.
    pub ledgers: CallLedgers,
    /// Admission thresholds reported by the called services.
    pub thresholds: ThresholdController,
    /// Upstreams of the called services.
    pub upstreams: Arc<UpstreamController>,
    /// Members of all services.
    pub members: MembershipController,
    /// Life cycle of this daemon.
    pub lifecycle: LifecycleController,
    /// HTTP client for the backend server, other daemons and the platform.
    pub client: HttpClient,
    /// Retry budgets of the called services.
    pub retry_budgets: RetryBudgets,
    /// Issues and verifies tickets.
    pub ticket_issuer: Mutex<TicketIssuer>,
    /// Recorded runs of requests with a ticket.
    pub ticket_runs: Arc<RunRecords<u64>>,
    /// Recorded runs of attempts that other daemons sent.
    pub attempt_runs: Arc<RunRecords<AttemptId>>,
    /// Metrics of this daemon.
    pub metrics: DaemonMetrics,
    /// Recorder of trace spans.
    pub spans: SpanRecorder,
}

// Gotham catches panics of handlers. All shared state is behind `parking_lot` locks, whose
// critical sections leave no partial changes.
impl RefUnwindSafe for DaemonState {}

/// Reason why the daemon cannot start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener cannot be bound.
    #[error("Cannot listen on {address}: {source}.")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The export of spans cannot be started.
    #[error("The export of spans cannot be started: {0}.")]
    TraceExport(io::Error),
}

impl DaemonState {
    /// Creates the state of a daemon.
    pub fn new(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let spans = span_recorder(&settings).map_err(DaemonError::TraceExport)?;
        let upstreams = Arc::new(UpstreamController::new(
            &settings.data_centre,
            &configured_services(&settings),
            rand::random(),
        ));
        let incarnation = Incarnation(rand::random());
        let own = own_member_record(&settings, incarnation);
        let gossip = GossipController::new(node_settings(&settings), Arc::clone(&clock));
        Ok(Self {
            apply_lock: Mutex::default(),
            members: MembershipController::new(own, Arc::clone(&upstreams), clock.now()),
            lifecycle: LifecycleController::new(incarnation),
            gate: Arc::new(GateController::new(
                AdmissionLimits::default(),
                Arc::clone(&clock),
            )),
            thresholds: ThresholdController::new(&settings.calls),
            upstreams,
            profiles: ProfileController::new(gossip.node(), Arc::clone(&clock)),
            gossip: Arc::new(gossip),
            ledgers: CallLedgers::new(),
            client: HttpClient::new(),
            retry_budgets: RetryBudgets::new(&settings.calls),
            ticket_issuer: Mutex::new(ticket_filter::new_issuer(
                settings.data_centre.clone(),
                settings.instance.clone(),
                clock.now(),
            )),
            ticket_runs: Arc::new(RunRecords::new(TICKET_LIMITS, Arc::clone(&clock), false)),
            attempt_runs: Arc::new(RunRecords::new(ATTEMPT_LIMITS, Arc::clone(&clock), true)),
            metrics: DaemonMetrics::new(&settings.calls, spans.dropped_counter()),
            spans,
            clock,
            settings,
        })
    }

    /// Returns how long a connection to a service may receive no byte before it counts as stalled.
    pub fn progress_timeout(&self, service: &str) -> Duration {
        let in_force = self.profiles.get(service);
        in_force.map_or(DEFAULT_PROGRESS_TIMEOUT, |entry| {
            Duration::from_millis(entry.profile.upstream.progress_time_ms.into())
        })
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        let services = std::iter::once(&self.settings.service).chain(&self.settings.calls);
        for service in services {
            if let Some(in_force) = self.profiles.get(service) {
                self.metrics.set_profile_version(service, in_force.version);
            }
        }
        self.metrics.text(self.gate.load(), self.gate.threshold())
    }

    /// Records the incarnation that a peer sent in a response, and whether it is leaving.
    pub fn record_peer_incarnation(
        &self,
        service: &SmolStr,
        info: &InstanceInfo,
        headers: &HeaderMap,
        sent: Instant,
    ) {
        let leaving = request_headers::parse(headers, &header_names::LEAVING);
        let leaving: Option<Incarnation> = leaving.unwrap_or_default();
        let incarnation = request_headers::parse(headers, &header_names::INCARNATION);
        let Some(incarnation) = leaving.or(incarnation.unwrap_or_default()) else {
            return;
        };
        self.members.record_response(&PeerResponse {
            service: service.clone(),
            info: info.clone(),
            incarnation,
            is_leaving: leaving.is_some(),
            sent,
            received: self.clock.now(),
        });
    }

    /// Resets state that a pause of this process has made outdated.
    pub fn reset_after_pause(&self, now: Instant) {
        self.members.reset_after_pause(now);
        self.thresholds.reset();
        // The gate refuses expired requests before it starts further ones.
        self.gate.tick();
    }

    pub(super) fn is_configured(&self) -> bool {
        let mut calls = self.settings.calls.iter();
        calls.all(|call| self.profiles.get(call).is_some() && !self.upstreams.is_empty(call))
    }

    /// Updates the membership of a service when its instance list comes into force.
    fn update_members(&self, applied: &AppliedValue) {
        if let CatalogueValue::Instances(instances) = &applied.value
            && let Some(service) = applied.key.strip_prefix("instances/")
        {
            let now = self.clock.now();
            self.members
                .apply_list(&service.into(), applied.stamp.version, instances, now);
        }
    }

    /// Puts a catalogue value in force.
    fn apply(&self, applied: &AppliedValue) {
        // Without the lock, an older profile could replace a newer one at the gate.
        let _guard = self.apply_lock.lock();
        self.profiles
            .apply(applied, |applied| self.update_members(applied));
        if matches!(applied.value, CatalogueValue::Instances(_)) {
            return;
        }
        if matches!(applied.value, CatalogueValue::Profile(_)) {
            self.metrics.record_profile_lag(applied.lag);
        }
        if let Some(in_force) = self.profiles.get(&self.settings.service) {
            self.gate.set_profile(&in_force.profile);
        }
        for service in configured_services(&self.settings) {
            if let Some(in_force) = self.profiles.get(&service) {
                let config = RoutingConfig::for_profile(&in_force.profile.upstream);
                self.upstreams.set_config(&service, config);
            }
        }
    }

    /// Returns the `Retry-After` times for refused callers of this daemon's service.
    pub fn retry_after(&self) -> RetryAfter {
        let in_force = self.profiles.get(&self.settings.service);
        in_force.map_or_else(RetryAfter::default, |entry| {
            RetryAfter::for_profile(&entry.profile.retry)
        })
    }
}

fn node_settings(settings: &DaemonSettings) -> NodeSettings {
    let own = std::iter::once(&settings.service);
    NodeSettings {
        own: PeerInfo {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            control: settings.control,
        },
        services: own.chain(&settings.calls).cloned().collect(),
        seeds: settings.seed_peers.clone(),
        seed: rand::random(),
    }
}

fn catalogue_driver(daemon: &Arc<DaemonState>) -> CatalogueDriver {
    let platform = PlatformClient::new(daemon.settings.platform, daemon.client.clone());
    let (node, clock) = (daemon.gossip.node(), Arc::clone(&daemon.clock));
    let state = Arc::clone(daemon);
    CatalogueDriver {
        gossip: Arc::clone(&daemon.gossip),
        platform: PlatformController::new(platform, node, clock),
        client: ControlClient::new(
            ControlHeader::new(daemon.settings.cluster.clone()),
            Arc::clone(&daemon.gossip.traffic),
        ),
        apply: Box::new(move |applied| state.apply(applied)),
    }
}

fn own_member_record(settings: &DaemonSettings, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        service: settings.service.clone(),
        info: InstanceInfo {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            peer: settings.peer,
            control: settings.control,
            leaving: false,
        },
        incarnation,
        phase: MemberPhase::Live,
    }
}

/// Runs a daemon until it has drained: a drain is requested by `stop`, by an operator or by the
/// backend server, and every accepted request has its response or is past its deadline.
pub async fn run(settings: DaemonSettings, stop: watch::Receiver<bool>) -> Result<(), DaemonError> {
    let daemon = Arc::new(DaemonState::new(settings)?);
    let settings = &daemon.settings;
    let edge = listen(settings.edge).await?;
    let peer = listen(settings.peer).await?;
    let outbound = listen(settings.outbound).await?;
    let admin = listen(settings.admin).await?;
    let control = listen(settings.control).await?;
    let mut background = BackgroundTasks::new(&daemon);
    let control = Arc::new(control);
    background.spawn("control_server", move |daemon| {
        let header = ControlHeader::new(daemon.settings.cluster.clone());
        control_server::serve(Arc::clone(&control), header, Arc::clone(&daemon.gossip))
    });
    let driver = Arc::new(catalogue_driver(&daemon));
    background.spawn("catalogue", move |_| Arc::clone(&driver).run());
    background.spawn("gate_ticks", run_gate_ticks);
    let stopping = stop.clone();
    background.spawn("drain_count", move |daemon| {
        count_drain(daemon, stopping.clone())
    });
    background.spawn("pause_detection", daemon_lifecycle::detect_pauses);
    background.spawn("peer_probe", peer_probe::run);
    background.spawn("drain", move |daemon| {
        daemon_lifecycle::drain_on_stop(daemon, stop.clone())
    });
    let local_stop = watch::Sender::new(false);
    let mut local_listeners = JoinSet::new();
    let handler = OutboundHandler {
        daemon: Arc::clone(&daemon),
    };
    local_listeners.spawn(http_server::serve(
        outbound,
        handler,
        local_stop.subscribe(),
    ));
    local_listeners.spawn(http_server::serve(
        admin,
        admin_server::router(&daemon),
        local_stop.subscribe(),
    ));
    let inbound_stop = watch::Sender::new(false);
    let mut inbound_listeners = JoinSet::new();
    for (listener, origin) in [(edge, RequestOrigin::Edge), (peer, RequestOrigin::Peer)] {
        let chain = inbound_chain(&daemon, origin);
        inbound_listeners.spawn(http_server::serve(
            listener,
            chain,
            inbound_stop.subscribe(),
        ));
    }
    let lifecycle = Lifecycle::new(daemon.lifecycle.incarnation());
    let draining = daemon_lifecycle::serve_until_drain(&daemon, lifecycle).await;
    let refuses_until = draining.refuses_until(Duration::from_millis(settings.refusal_ms));
    tokio::time::sleep_until(refuses_until.into()).await;
    inbound_stop.send_replace(true);
    daemon_lifecycle::finish_accepted(&daemon, &mut inbound_listeners).await;
    // The outbound listener closes after the inbound ones, since requests in flight use it for
    // their nested calls.
    local_stop.send_replace(true);
    daemon_lifecycle::finish_accepted(&daemon, &mut local_listeners).await;
    daemon.lifecycle.publish_phase(&draining.stop());
    daemon.spans.flush(FLUSH_TIMEOUT).await;
    log::info!("daemon: Stopped.");
    Ok(())
}

/// Returns this daemon's service and the called services.
fn configured_services(settings: &DaemonSettings) -> Vec<SmolStr> {
    let mut services = settings.calls.clone();
    if !services.contains(&settings.service) {
        services.push(settings.service.clone());
    }
    services
}

fn span_recorder(settings: &DaemonSettings) -> io::Result<SpanRecorder> {
    let (service, instance) = (settings.service.clone(), settings.instance.clone());
    match (settings.trace_endpoint, &settings.trace_file) {
        (Some(address), _) => SpanRecorder::to_endpoint(address, service, instance),
        (None, Some(path)) => SpanRecorder::to_file(path, service, instance),
        (None, None) => Ok(SpanRecorder::disabled()),
    }
}

async fn count_drain(daemon: Arc<DaemonState>, mut stop: watch::Receiver<bool>) {
    if stop.wait_for(|is_stopping| *is_stopping).await.is_ok() {
        daemon.metrics.count_drain();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen { address, source })
}

async fn run_gate_ticks(daemon: Arc<DaemonState>) {
    let mut interval = tokio::time::interval(GATE_TICK_INTERVAL);
    loop {
        interval.tick().await;
        daemon.gate.tick();
    }
}
