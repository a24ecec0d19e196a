//! One daemon: its state and its listeners.

use crate::{
    common::*,
    controller::{
        call_ledgers::CallLedgers,
        gate_controller::GateController,
        lifecycle_controller::LifecycleController,
        membership_controller::MembershipController,
        profile_controller::{self, ApplyError, ProfileController},
        upstream_controller::UpstreamController,
    },
    decision::{
        clock::{Clock, SystemClock},
        lifecycle::lifecycle_state::Lifecycle,
        membership::{
            incarnation::Incarnation,
            member_phase::MemberPhase,
            member_record::{MemberRecord, PeerObservation},
        },
        profile::service_profile::AdmissionLimits,
        routing::upstream_set::InstanceInfo,
    },
    filter::{
        identify_filter::RequestOrigin, inbound_chain::inbound_chain,
        outbound_handler::OutboundHandler, request_headers,
    },
    settings::DaemonSettings,
    shell::{
        admin_server, daemon_lifecycle, header_names, http_client::HttpClient, http_server,
        peer_probe, platform_client::PlatformClient, span_recorder::SpanRecorder,
    },
};
use http::HeaderMap;
use std::{io, panic::RefUnwindSafe};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

/// Interval of decisions that depend on the time alone.
const TICK: Duration = Duration::from_millis(5);

/// Longest wait for a change on the platform.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed call to the platform.
const PLATFORM_BACKOFF: Duration = Duration::from_millis(500);

/// State that all requests of a daemon share.
pub struct DaemonState {
    /// Settings read at start.
    pub settings: DaemonSettings,
    /// Clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// Profiles in force.
    pub profiles: ProfileController,
    /// Gate of the own backend server.
    pub gate: Arc<GateController>,
    /// Ledgers of the calls in flight.
    pub ledgers: CallLedgers,
    /// Upstreams of the called services.
    pub upstreams: Arc<UpstreamController>,
    /// Members of all services.
    pub members: MembershipController,
    /// Life cycle of the own daemon.
    pub lifecycle: LifecycleController,
    /// HTTP client.
    pub client: HttpClient,
    /// Trace spans.
    pub spans: SpanRecorder,
}

// Gotham catches panics of handlers. All shared state is behind `parking_lot` locks, whose guarded
// operations do not leave partial changes.
impl RefUnwindSafe for DaemonState {}

/// A daemon cannot start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener cannot be opened.
    #[error("The address {address} cannot be opened: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The trace file cannot be opened.
    #[error("The trace file cannot be opened: {0}")]
    TraceFile(io::Error),
}

impl DaemonState {
    /// Creates the state of a daemon.
    pub fn new(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let spans = match &settings.trace_file {
            Some(path) => {
                SpanRecorder::to_file(path, settings.service.clone(), settings.instance.clone())
                    .map_err(DaemonError::TraceFile)?
            }
            None => SpanRecorder::disabled(),
        };
        let upstreams = Arc::new(UpstreamController::new(
            &settings.data_centre,
            &settings.calls,
            rand::random(),
        ));
        let incarnation = Incarnation(rand::random());
        let own = own_record(&settings, incarnation);
        Ok(Self {
            members: MembershipController::new(own, Arc::clone(&upstreams), clock.now()),
            lifecycle: LifecycleController::new(incarnation),
            gate: Arc::new(GateController::new(
                AdmissionLimits::default(),
                Arc::clone(&clock),
            )),
            upstreams,
            profiles: ProfileController::default(),
            ledgers: CallLedgers::new(),
            client: HttpClient::new(),
            spans,
            clock,
            settings,
        })
    }

    /// Records what the response of a peer says about its incarnation.
    pub fn observe_peer(
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
        self.members.observe(&PeerObservation {
            service: service.clone(),
            info: info.clone(),
            incarnation,
            is_leaving: leaving.is_some(),
            sent,
            received: self.clock.now(),
        });
    }

    /// Drops the views that a pause of this process has made stale.
    pub(super) fn drop_stale_views(&self, now: Instant) {
        self.members.forgive_pause(now);
        // The gate refuses expired requests before it starts any.
        self.gate.tick();
    }

    pub(super) fn is_configured(&self) -> bool {
        let mut calls = self.settings.calls.iter();
        calls.all(|call| self.profiles.get(call).is_some() && !self.upstreams.is_empty(call))
    }

    async fn refresh(&self, platform: &PlatformClient) -> Result<(), ApplyError> {
        let own = &self.settings.service;
        self.profiles.refresh(platform, own).await?;
        if let Some(in_force) = self.profiles.get(own) {
            self.gate.set_limits(in_force.profile.admission.clone());
        }
        for service in &self.settings.calls {
            self.profiles.refresh(platform, service).await?;
            let (version, members) = profile_controller::read_instances(platform, service).await?;
            self.members
                .apply_list(service, version, &members, self.clock.now());
        }
        Ok(())
    }
}

fn own_record(settings: &DaemonSettings, incarnation: Incarnation) -> MemberRecord {
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

/// Runs a daemon until it is asked to drain, by `stop` or otherwise, and all requests that it
/// accepted are answered or past their deadline.
pub async fn run(settings: DaemonSettings, stop: watch::Receiver<bool>) -> Result<(), DaemonError> {
    let daemon = Arc::new(DaemonState::new(settings)?);
    let settings = &daemon.settings;
    let edge = listen(settings.edge).await?;
    let peer = listen(settings.peer).await?;
    let outbound = listen(settings.outbound).await?;
    let admin = listen(settings.admin).await?;
    let mut background = JoinSet::new();
    background.spawn(follow_platform(Arc::clone(&daemon)));
    background.spawn(tick(Arc::clone(&daemon)));
    background.spawn(daemon_lifecycle::detect_pauses(Arc::clone(&daemon)));
    background.spawn(peer_probe::run(Arc::clone(&daemon)));
    background.spawn(daemon_lifecycle::drain_on_stop(Arc::clone(&daemon), stop));
    let inner_stop = watch::Sender::new(false);
    let mut inner = JoinSet::new();
    let handler = OutboundHandler {
        daemon: Arc::clone(&daemon),
    };
    inner.spawn(http_server::serve(
        outbound,
        handler,
        inner_stop.subscribe(),
    ));
    inner.spawn(http_server::serve(
        admin,
        admin_server::router(&daemon),
        inner_stop.subscribe(),
    ));
    let inbound_stop = watch::Sender::new(false);
    let mut inbound = JoinSet::new();
    for (listener, origin) in [(edge, RequestOrigin::Edge), (peer, RequestOrigin::Peer)] {
        let chain = inbound_chain(&daemon, origin);
        inbound.spawn(http_server::serve(
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
    daemon_lifecycle::finish_accepted(&daemon, &mut inbound).await;
    // The outbound listener outlives the inbound ones, since requests in flight need it.
    inner_stop.send_replace(true);
    daemon_lifecycle::finish_accepted(&daemon, &mut inner).await;
    daemon.lifecycle.enter(&draining.stop());
    log::info!("daemon: Stopped.");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen { address, source })
}

async fn tick(daemon: Arc<DaemonState>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        daemon.gate.tick();
    }
}

async fn follow_platform(daemon: Arc<DaemonState>) {
    let platform = PlatformClient::new(daemon.settings.platform, daemon.client.clone());
    let mut revision = 0;
    loop {
        let step = async {
            let change = platform.watch(revision, WATCH_WAIT).await?;
            if change.revision > revision {
                daemon.refresh(&platform).await?;
            }
            Ok::<_, ApplyError>(change.revision)
        };
        match step.await {
            Ok(latest) => revision = revision.max(latest),
            Err(error) => {
                log::warn!("platform: {error}");
                tokio::time::sleep(PLATFORM_BACKOFF).await;
            }
        }
    }
}
