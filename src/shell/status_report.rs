//! Report on the state of a daemon, for operators.

use crate::{
    common::*,
    controller::gate_controller::GateLoad,
    decision::profile::service_profile::{AdmissionLimits, RetryLimits},
    shell::{control_traffic::TrafficReport, daemon::DaemonState},
};

/// State of a daemon, as JSON or as text.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusReport {
    /// Cluster of the daemon.
    pub cluster: SmolStr,
    /// Name of the instance.
    pub instance: SmolStr,
    /// Service of the daemon's backend server.
    pub service: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Version of the daemon program.
    pub program_version: SmolStr,
    /// Name of the profile in force for the daemon's service, if any.
    pub profile: Option<SmolStr>,
    /// Version of the profile in force, if any.
    pub profile_version: Option<u64>,
    /// Requests in flight and queued, and the concurrency limit.
    pub load: GateLoad,
    /// Lowest priority that is admitted, in the form `<class>.<rank>.<retry>`.
    pub threshold: SmolStr,
    /// Admission limits in force.
    pub admission: AdmissionLimits,
    /// Retry limits in force.
    pub retry: RetryLimits,
    /// Called services.
    pub calls: Vec<CalledService>,
    /// Control addresses of the peers that the daemon contacts at its start.
    pub seed_peers: Vec<SocketAddr>,
    /// Number of peers from which a message was received within the last 10 s.
    pub peers_heard: usize,
    /// Number of these peers whose catalogue index is equal to that of the daemon.
    pub peers_in_agreement: usize,
    /// Bytes sent and received on control connections.
    pub control: TrafficReport,
    /// Number of spans that were not exported.
    pub dropped_spans: u64,
}

/// Called service and the attempts sent to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CalledService {
    /// Name of the service.
    pub service: SmolStr,
    /// Version of its profile that is in force, if any.
    pub profile_version: Option<u64>,
    /// First attempts sent to the service.
    pub first_attempts: u64,
    /// Extra attempts sent to the service.
    pub extra_attempts: u64,
}

impl StatusReport {
    /// Builds the report of a daemon.
    pub fn new(daemon: &DaemonState) -> Self {
        let settings = &daemon.settings;
        let in_force = daemon.profiles.get(&settings.service);
        let profile = in_force.as_ref().map(|current| &current.profile);
        let catalogue = daemon.profiles.report();
        let calls = settings.calls.iter().map(|service| {
            let (first_attempts, extra_attempts) = daemon.metrics.attempts(service);
            CalledService {
                service: service.clone(),
                profile_version: daemon.profiles.get(service).map(|current| current.version),
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
            profile_version: in_force.as_ref().map(|current| current.version),
            load: daemon.gate.load(),
            threshold: smol_str::format_smolstr!("{}", daemon.gate.threshold()),
            admission: profile.map_or_else(AdmissionLimits::default, |own| own.admission.clone()),
            retry: profile.map_or_else(RetryLimits::default, |own| own.retry.clone()),
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
        let (seen, agreeing) = (self.peers_heard, self.peers_in_agreement);
        writeln!(f, "peers       {seen} heard from, {agreeing} in agreement")?;
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
