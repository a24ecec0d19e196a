//! State of a daemon as operators see it.

use crate::{
    common::*,
    controller::gate_controller::GateLoad,
    decision::profile::service_profile::{AdmissionLimits, RetryLimits},
    shell::{control_traffic::TrafficReport, daemon::DaemonState},
};

/// State of a daemon as operators see it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusReport {
    /// Cluster of the daemon.
    pub cluster: SmolStr,
    /// Name of the instance.
    pub instance: SmolStr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Version of the program.
    pub program_version: SmolStr,
    /// Profile of the own service, if one is in force.
    pub profile: Option<SmolStr>,
    /// Version of the profile in force, if any.
    pub profile_version: Option<u64>,
    /// Load of the backend server.
    pub load: GateLoad,
    /// Lowest priority that is admitted, as `<class>.<rank>.<retry>`.
    pub threshold: SmolStr,
    /// Admission bounds in force.
    pub admission: AdmissionLimits,
    /// Retry bounds in force.
    pub retry: RetryLimits,
    /// Called services with the versions of their profiles.
    pub calls: Vec<CalledService>,
    /// Addresses asked at start.
    pub seed_peers: Vec<SocketAddr>,
    /// Peers heard from lately.
    pub peers_heard: usize,
    /// Peers among them with the same catalogue.
    pub peers_in_agreement: usize,
    /// Bytes on control connections.
    pub control: TrafficReport,
    /// Spans that were not exported.
    pub dropped_spans: u64,
}

/// Called service as operators see it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CalledService {
    /// Name of the service.
    pub service: SmolStr,
    /// Version of its profile in force, if any.
    pub profile_version: Option<u64>,
    /// First attempts sent to the service.
    pub first_attempts: u64,
    /// Extra attempts sent to the service.
    pub extra_attempts: u64,
}

impl StatusReport {
    /// Reads the state of a daemon.
    pub fn new(daemon: &DaemonState) -> Self {
        let settings = &daemon.settings;
        let own = daemon.profiles.get(&settings.service);
        let profile = own.as_ref().map(|own| &own.profile);
        let catalogue = daemon.profiles.report();
        let calls = settings.calls.iter().map(|service| {
            let (first_attempts, extra_attempts) = daemon.metrics.attempts(service);
            CalledService {
                service: service.clone(),
                profile_version: daemon.profiles.get(service).map(|found| found.version),
                first_attempts,
                extra_attempts,
            }
        });
        Self {
            cluster: settings.cluster.clone(),
            instance: settings.instance.clone(),
            service: settings.service.clone(),
            data_centre: settings.data_centre.clone(),
            program_version: env!("CARGO_PKG_VERSION").into(),
            profile: profile.map(|profile| profile.name.clone()),
            profile_version: own.as_ref().map(|own| own.version),
            load: daemon.gate.load(),
            threshold: smol_str::format_smolstr!("{}", daemon.gate.threshold()),
            admission: profile.map_or_else(AdmissionLimits::default, |it| it.admission.clone()),
            retry: profile.map_or_else(RetryLimits::default, |it| it.retry.clone()),
            calls: calls.collect(),
            seed_peers: settings.seed_peers.clone(),
            peers_heard: catalogue.peers_heard,
            peers_in_agreement: catalogue.peers_in_agreement,
            control: daemon.gossip.traffic.report(),
            dropped_spans: daemon.spans.dropped(),
        }
    }
}

impl Display for StatusReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        writeln!(f, "instance    {}", self.instance)?;
        writeln!(f, "service     {}", self.service)?;
        writeln!(
            f,
            "place       cluster {}, data centre {}",
            self.cluster, self.data_centre
        )?;
        writeln!(f, "program     {}", self.program_version)?;
        match (&self.profile, self.profile_version) {
            (Some(name), Some(version)) => writeln!(f, "profile     {name} version {version}")?,
            _ => writeln!(f, "profile     none in force")?,
        }
        let admission = &self.admission;
        writeln!(
            f,
            "in flight   {} of limit {} ({} to {})",
            self.load.in_flight,
            self.load.limit,
            admission.min_concurrency,
            admission.max_concurrency
        )?;
        writeln!(
            f,
            "queued      {} of {}, at most {} ms",
            self.load.queued, admission.queue_length, admission.queue_wait_ms
        )?;
        writeln!(f, "threshold   {} (class.rank.retry)", self.threshold)?;
        writeln!(
            f,
            "retries     allowance {}, budget {}%",
            self.retry.allowance, self.retry.budget_percent
        )?;
        let peers: Vec<_> = self.seed_peers.iter().map(ToString::to_string).collect();
        let peers = if peers.is_empty() {
            "none".to_owned()
        } else {
            peers.join(", ")
        };
        writeln!(f, "seed peers  {peers}")?;
        let (heard, equal) = (self.peers_heard, self.peers_in_agreement);
        writeln!(f, "peers       {heard} heard from, {equal} in agreement")?;
        let TrafficReport {
            sent_bytes,
            received_bytes,
        } = self.control;
        writeln!(
            f,
            "control     {sent_bytes} bytes sent, {received_bytes} received"
        )?;
        writeln!(f, "spans lost  {}", self.dropped_spans)?;
        if self.calls.is_empty() {
            return Ok(());
        }
        writeln!(
            f,
            "\n{:<24} {:>8} {:>14} {:>14}",
            "CALLS", "VERSION", "FIRST ATTEMPTS", "EXTRA ATTEMPTS"
        )?;
        self.calls.iter().try_for_each(|call| {
            let version = call
                .profile_version
                .map_or("-".to_owned(), |version| version.to_string());
            let (first, extra) = (call.first_attempts, call.extra_attempts);
            writeln!(
                f,
                "{:<24} {version:>8} {first:>14} {extra:>14}",
                call.service
            )
        })
    }
}
