//! One daemon: its state and its listeners.

use crate::{
    common::*,
    controller::{
        call_ledgers::CallLedgers,
        gate_controller::GateController,
        overload_controller::OverloadController,
        profile_controller::{self, ApplyError, ProfileController},
        upstream_controller::UpstreamController,
    },
    decision::{
        clock::{Clock, SystemClock},
        profile::service_profile::AdmissionLimits,
    },
    filter::{
        identify_filter::RequestOrigin, inbound_chain::inbound_chain,
        outbound_handler::OutboundHandler,
    },
    settings::DaemonSettings,
    shell::{
        admin_server, http_client::HttpClient, http_server, platform_client::PlatformClient,
        span_recorder::SpanRecorder,
    },
};
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
    /// Thresholds and retry budgets of the called services.
    pub overload: OverloadController,
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
            overload: OverloadController::new(&settings.calls),
            profiles: ProfileController::default(),
            ledgers: CallLedgers::new(),
            client: HttpClient::new(),
            spans,
            clock,
            settings,
        })
    }

    async fn refresh(&self, platform: &PlatformClient) -> Result<(), ApplyError> {
        let own = &self.settings.service;
        self.profiles.refresh(platform, own).await?;
        if let Some(in_force) = self.profiles.get(own) {
            self.gate.set_limits(in_force.profile.admission.clone());
        }
        for service in &self.settings.calls {
            self.profiles.refresh(platform, service).await?;
            let members = profile_controller::read_instances(platform, service).await?;
            self.upstreams.update(service, &members, self.clock.now());
        }
        Ok(())
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
    let mut background = JoinSet::new();
    background.spawn(follow_platform(Arc::clone(&daemon)));
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
