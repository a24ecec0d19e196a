//! One daemon: its state and its listeners.

use crate::{
    common::*,
    controller::{
        call_ledgers::CallLedgers,
        gate_controller::GateController,
        profile_controller::{self, ApplyError, ProfileController},
        retry_budgets::RetryBudgets,
        run_records::RunRecords,
        upstream_controller::UpstreamController,
    },
    decision::{
        clock::{Clock, SystemClock},
        once::ticket_issuer::TicketIssuer,
        profile::service_profile::AdmissionLimits,
        request_context::AttemptId,
    },
    filter::{
        attempt_filter::ATTEMPT_LIMITS,
        identify_filter::RequestOrigin,
        inbound_chain::inbound_chain,
        outbound_handler::OutboundHandler,
        ticket_filter::{self, TICKET_LIMITS},
    },
    settings::DaemonSettings,
    shell::{
        admin_server,
        http_client::HttpClient,
        http_server,
        metrics::DaemonMetrics,
        platform_client::PlatformClient,
        span_recorder::{FLUSH_TIMEOUT, SpanRecorder},
    },
};
use std::{io, panic::RefUnwindSafe};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

/// Interval of decisions that depend on the time alone.
const TICK: Duration = Duration::from_millis(5);

/// Longest wait for a change on the platform.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Progress time of connections to a service without a profile.
const DEFAULT_PROGRESS_TIME: Duration = Duration::from_secs(1);

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
    pub upstreams: UpstreamController,
    /// HTTP client.
    pub client: HttpClient,
    /// Retry budgets of the called services.
    pub retry_budgets: RetryBudgets,
    /// Issuer of tickets.
    pub tickets: Mutex<TicketIssuer>,
    /// Runs of requests with a ticket.
    pub ticket_runs: Arc<RunRecords<u64>>,
    /// Runs of the attempts of other daemons.
    pub attempts: Arc<RunRecords<AttemptId>>,
    /// Metrics.
    pub metrics: DaemonMetrics,
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
    /// The export of spans cannot be started.
    #[error("The export of spans cannot be started: {0}.")]
    TraceExport(io::Error),
}

impl DaemonState {
    /// Creates the state of a daemon.
    pub fn new(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let spans = span_recorder(&settings).map_err(DaemonError::TraceExport)?;
        Ok(Self {
            gate: Arc::new(GateController::new(
                AdmissionLimits::default(),
                Arc::clone(&clock),
            )),
            upstreams: UpstreamController::new(
                &settings.data_centre,
                &known_services(&settings),
                rand::random(),
            ),
            profiles: ProfileController::default(),
            ledgers: CallLedgers::new(),
            client: HttpClient::new(),
            retry_budgets: RetryBudgets::new(&settings.calls),
            tickets: Mutex::new(ticket_filter::new_issuer(
                settings.data_centre.clone(),
                settings.instance.clone(),
                clock.now(),
            )),
            ticket_runs: Arc::new(RunRecords::new(TICKET_LIMITS, Arc::clone(&clock), false)),
            attempts: Arc::new(RunRecords::new(ATTEMPT_LIMITS, Arc::clone(&clock), true)),
            metrics: DaemonMetrics::new(&settings.calls, spans.dropped_counter()),
            spans,
            clock,
            settings,
        })
    }

    /// Returns the time without a received byte after which a connection to a service is silent.
    pub fn progress_time(&self, service: &str) -> Duration {
        let in_force = self.profiles.get(service);
        in_force.map_or(DEFAULT_PROGRESS_TIME, |entry| {
            Duration::from_millis(entry.profile.upstream.progress_time_ms.into())
        })
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        let services = std::iter::once(&self.settings.service).chain(&self.settings.calls);
        for service in services {
            if let Some(in_force) = self.profiles.get(service) {
                self.metrics.set_profile_version(service, in_force.version);
            }
        }
        self.metrics.text(self.gate.load(), self.gate.threshold())
    }

    async fn refresh_profile(
        &self,
        platform: &PlatformClient,
        service: &SmolStr,
    ) -> Result<(), ApplyError> {
        let version = || self.profiles.get(service).map(|found| found.version);
        let (before, start) = (version(), self.clock.now());
        self.profiles.refresh(platform, service).await?;
        if version() != before {
            self.metrics.observe_profile_lag(self.clock.now() - start);
        }
        Ok(())
    }

    async fn refresh(&self, platform: &PlatformClient) -> Result<(), ApplyError> {
        let own = &self.settings.service;
        self.refresh_profile(platform, own).await?;
        if let Some(in_force) = self.profiles.get(own) {
            self.gate.set_limits(in_force.profile.admission.clone());
        }
        // Tickets can name any instance of the own service.
        let members = profile_controller::read_instances(platform, own).await?;
        self.upstreams.update(own, &members, self.clock.now());
        for service in &self.settings.calls {
            self.refresh_profile(platform, service).await?;
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
    background.spawn(count_drain(Arc::clone(&daemon), stop.clone()));
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
    daemon.spans.flush(FLUSH_TIMEOUT).await;
    log::info!("daemon: Stopped.");
    Ok(())
}

/// Returns the own service and the called services.
fn known_services(settings: &DaemonSettings) -> Vec<SmolStr> {
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
