//! One daemon: its state and its listeners.

use crate::{
    common::*,
    controller::{
        call_ledgers::CallLedgers, gate_controller::GateController,
        gossip_controller::GossipController, platform_reader::PlatformReader,
        profile_controller::ProfileController, upstream_controller::UpstreamController,
    },
    decision::{
        catalogue::{
            catalogue_message::AppliedValue, catalogue_node::NodeSettings,
            catalogue_value::CatalogueValue, peer_view::PeerInfo,
        },
        clock::{Clock, SystemClock},
        profile::service_profile::AdmissionLimits,
    },
    filter::{
        identify_filter::RequestOrigin, inbound_chain::inbound_chain,
        outbound_handler::OutboundHandler,
    },
    settings::DaemonSettings,
    shell::{
        admin_server, control::ControlHeader, control_client::ControlClient,
        control_driver::ControlDriver, control_server, http_client::HttpClient, http_server,
        platform_client::PlatformClient, span_recorder::SpanRecorder,
    },
};
use std::{io, panic::RefUnwindSafe};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

/// Interval of decisions that depend on the time alone.
const TICK: Duration = Duration::from_millis(5);

/// State that all requests of a daemon share.
pub struct DaemonState {
    /// Settings read at start.
    pub settings: DaemonSettings,
    /// Clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// Profiles in force.
    pub profiles: ProfileController,
    /// Catalogue exchange with other daemons.
    pub gossip: Arc<GossipController>,
    /// Gate of the own backend server.
    pub gate: Arc<GateController>,
    /// Ledgers of the calls in flight.
    pub ledgers: CallLedgers,
    /// Upstreams of the called services.
    pub upstreams: UpstreamController,
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
        let gossip = GossipController::new(node_settings(&settings), Arc::clone(&clock));
        Ok(Self {
            gate: Arc::new(GateController::new(
                AdmissionLimits::default(),
                Arc::clone(&clock),
            )),
            upstreams: UpstreamController::new(
                &settings.data_centre,
                &settings.calls,
                rand::random(),
            ),
            profiles: ProfileController::new(gossip.node(), Arc::clone(&clock)),
            gossip: Arc::new(gossip),
            ledgers: CallLedgers::new(),
            client: HttpClient::new(),
            spans,
            clock,
            settings,
        })
    }

    /// Follows a value that came into force.
    fn follow(&self, applied: &AppliedValue) {
        if let CatalogueValue::Instances(instances) = &applied.value
            && let Some(service) = applied.key.strip_prefix("instances/")
        {
            self.upstreams.update(service, instances, self.clock.now());
        }
    }

    /// Puts a value in force.
    fn apply(&self, applied: &AppliedValue) {
        let own = &self.settings.service;
        let before = self.profiles.get(own);
        self.profiles.apply(applied, |applied| self.follow(applied));
        let Some(in_force) = self.profiles.get(own) else {
            return;
        };
        if before.is_none_or(|before| !Arc::ptr_eq(&before.profile, &in_force.profile)) {
            self.gate.set_limits(in_force.profile.admission.clone());
        }
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

fn control_driver(daemon: &Arc<DaemonState>) -> ControlDriver {
    let platform = PlatformClient::new(daemon.settings.platform, daemon.client.clone());
    let (node, clock) = (daemon.gossip.node(), Arc::clone(&daemon.clock));
    let applying = Arc::clone(daemon);
    ControlDriver {
        gossip: Arc::clone(&daemon.gossip),
        platform: PlatformReader::new(platform, node, clock),
        client: ControlClient::new(
            ControlHeader::new(daemon.settings.cluster.clone()),
            Arc::clone(&daemon.gossip.traffic),
        ),
        apply: Box::new(move |applied| applying.apply(applied)),
    }
}

/// Runs a daemon until `stop` turns true and all requests in flight are answered.
pub async fn run(settings: DaemonSettings, stop: watch::Receiver<bool>) -> Result<(), DaemonError> {
    let daemon = Arc::new(DaemonState::new(settings)?);
    let settings = &daemon.settings;
    let edge = listen(settings.edge).await?;
    let peer = listen(settings.peer).await?;
    let outbound = listen(settings.outbound).await?;
    let admin = listen(settings.admin).await?;
    let control = listen(settings.control).await?;
    let mut background = JoinSet::new();
    background.spawn(control_server::serve(
        control,
        ControlHeader::new(settings.cluster.clone()),
        Arc::clone(&daemon.gossip),
    ));
    background.spawn(Arc::new(control_driver(&daemon)).run());
    background.spawn(tick(Arc::clone(&daemon)));
    log::info!(
        "daemon: Serving {} as {}.",
        settings.service,
        settings.instance
    );
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
    // The outbound listener outlives the inbound ones, since requests in flight need it.
    tokio::join!(
        http_server::serve(
            edge,
            inbound_chain(&daemon, RequestOrigin::Edge),
            stop.clone()
        ),
        http_server::serve(peer, inbound_chain(&daemon, RequestOrigin::Peer), stop),
    );
    inner_stop.send_replace(true);
    while inner.join_next().await.is_some() {}
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
