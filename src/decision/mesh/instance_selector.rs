//! Selection of the instance that runs a request.

use crate::{
    common::*,
    decision::mesh::{
        fleet_sums::PeerReach,
        fleet_view::FleetView,
        instance_state::{FailureRate, InstanceState},
        server_notes::ServerNotes,
        service_times::ServiceTimes,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an instance in an [`InstanceSelector`].
    pub struct InstanceKey;
}

/// Load of a backend server, which its daemon reports with each response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that the backend server is processing.
    pub in_flight: u32,
    /// Requests that wait at the concurrency gate.
    pub queued: u32,
    /// Nested calls among the waiting requests.
    pub queued_calls: u32,
    /// Concurrency limit of the gate.
    pub limit: u32,
}

/// Time for which an instance gets no requests after its daemon has announced that it is leaving.
const LEAVING_TIME: Duration = Duration::from_secs(8);

/// Time for which an instance is ejected at first; it doubles with each further consecutive
/// failure.
const INITIAL_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest time for which an instance is ejected.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Consecutive failures after which an instance is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Failure rate above that of the best instance of the service from which an instance in the own
/// data centre has no advantage.
const MAX_LOCAL_EXCESS_FAILURES: f64 = 0.1;

/// Largest failure rate above that of the best instance that raises the cost.
const MAX_EXCESS_FAILURES: f64 = 0.9;

/// Service time of a route without measurements, in seconds.
const DEFAULT_SERVICE_TIME_S: f64 = 0.05;

/// Part of the latency target by which an instance in another data centre must be faster to be
/// selected, since traffic between data centres is paid for.
const LOCAL_ADVANTAGE: f64 = 0.1;

/// Number of load intervals without a message of a daemon after which its instance counts as
/// suspect.
pub const MAX_MISSED_LOAD_MESSAGES: u32 = 3;

/// Minimum number of instances for a daemon to detect that it is isolated.
const MIN_INSTANCES_FOR_ISOLATION: usize = 5;

/// Share of reachable instances below which a daemon is isolated. A daemon in a data centre that is
/// cut off is above it, since it still reaches the instances there.
const ISOLATED_SHARE: f64 = 0.2;

/// Relative noise on the estimates, so that daemons with equal estimates select different
/// instances.
const NOISE: f64 = 0.1;

/// Request for which an instance is selected.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Route of the request.
    pub route: &'a str,
    /// Time within which the caller needs the response.
    pub latency_target: Duration,
    /// Whether instances that appear to have no free slot come last.
    pub needs_slot: bool,
}

/// Instance that was selected for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectedInstance {
    /// Key of the instance.
    pub key: InstanceKey,
    /// Instance id that the backend server has to confirm.
    pub id: SmolStr,
    /// Address of the backend server.
    pub address: SocketAddr,
}

/// Result of an attempt at an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceResult {
    /// The backend server responded.
    Responded,
    /// The instance did not run the request, for example because it was full or the backend server
    /// has a different id now.
    Busy,
    /// The daemon of the instance is leaving.
    Leaving,
    /// The backend server or the connection failed.
    Failed,
    /// The sender abandoned the attempt.
    Abandoned,
}

/// Selects instances from the members of all services and the measurements of one daemon.
#[derive(Debug)]
pub struct InstanceSelector {
    data_centre: SmolStr,
    instances: SlotMap<InstanceKey, InstanceState>,
    by_service: IndexMap<SmolStr, Vec<InstanceKey>>,
    peer_timeout: Duration,
    rng: Pcg64Mcg,
}

impl InstanceSelector {
    /// Creates a selector without instances for a daemon in `data_centre`.
    pub fn new(data_centre: SmolStr, seed: u64) -> Self {
        Self {
            data_centre,
            instances: SlotMap::with_key(),
            by_service: IndexMap::new(),
            peer_timeout: Duration::MAX,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Applies the current members, one for each address. Instances that remain keep their
    /// measurements; a restart of the backend server resets its service times and failures.
    pub fn update(&mut self, view: &FleetView, now: Instant) {
        let mut previous: IndexMap<SmolStr, InstanceKey> = self
            .instances
            .iter()
            .map(|(key, state)| (state.id.clone(), key))
            .collect();
        for (id, entry) in view.current_members() {
            let warm_up_until = now + entry.remaining_warm_up;
            match previous.swap_remove(id) {
                Some(key) => {
                    let state = &mut self.instances[key];
                    if state.entry.started_ms != entry.started_ms {
                        state.service_times = ServiceTimes::default();
                        state.failures = 0;
                        state.failure_rate = FailureRate::default();
                        state.ejected_until = None;
                        state.leaving_until = None;
                        state.named_rate = None;
                        state.is_server_leaving = false;
                    }
                    state.entry = entry.clone();
                    state.warm_up_until = warm_up_until;
                }
                None => {
                    self.instances.insert(InstanceState {
                        id: id.clone(),
                        entry: entry.clone(),
                        local_attempts: 0,
                        report: None,
                        sent_since_report: 0,
                        service_times: ServiceTimes::default(),
                        failures: 0,
                        failure_rate: FailureRate::default(),
                        ejected_until: None,
                        busy_until: None,
                        leaving_until: None,
                        named_rate: None,
                        is_server_leaving: false,
                        is_unreachable: false,
                        last_seen: None,
                        warm_up_until,
                    });
                }
            }
        }
        for key in previous.values() {
            self.instances.remove(*key);
        }
        self.by_service.clear();
        for (key, state) in &self.instances {
            let service = state.entry.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
    }

    /// Returns whether a service has an instance that is reachable and accepts requests.
    pub fn can_reach(&self, service: &str, now: Instant) -> bool {
        let mut keys = self.by_service.get(service).into_iter().flatten();
        keys.any(|key| self.instances[*key].is_serving(now))
    }

    /// Returns whether the backend server on a machine can be used.
    pub fn peer_reach(&self, ip: std::net::IpAddr, now: Instant) -> PeerReach {
        let states = self.instances.values();
        let reaches =
            states
                .filter(|state| state.entry.address.ip() == ip)
                .map(|state| match state {
                    _ if state.is_serving(now) => PeerReach::Serving,
                    _ if state.is_unreachable => PeerReach::Unreachable,
                    _ => PeerReach::NotServing,
                });
        reaches
            .min_by_key(|reach| *reach as u8)
            .unwrap_or(PeerReach::NotServing)
    }

    /// Returns whether nearly all other machines are unreachable.
    pub fn is_isolated(&self) -> bool {
        let total = self.instances.len();
        let reachable = self
            .instances
            .values()
            .filter(|state| !state.is_unreachable);
        total >= MIN_INSTANCES_FOR_ISOLATION
            && (reachable.count() as f64) < ISOLATED_SHARE * total as f64
    }

    /// Selects the instance of a service that has the lowest cost and whose backend server is not at
    /// one of the addresses in `tried`, and counts the attempt. Suspect instances come last.
    pub fn select(
        &mut self,
        request: SelectionRequest<'_>,
        tried: &[SocketAddr],
        now: Instant,
    ) -> Option<SelectedInstance> {
        let keys = self.by_service.get(request.service)?;
        let candidates: Vec<InstanceKey> = keys
            .iter()
            .copied()
            .filter(|key| {
                let state = &self.instances[*key];
                !tried.contains(&state.entry.address) && state.is_serving(now)
            })
            .collect();
        let fallback = self.fallback_time(keys, request.route);
        // A common cause, such as a failing called service, raises the failure rates of all
        // instances, so only differences count.
        let failure_rates = candidates.iter();
        let failure_rates = failure_rates.map(|key| self.instances[*key].failure_rate.get(now));
        let lowest_failure_rate = failure_rates.fold(f64::INFINITY, f64::min);
        let mut best: Option<(bool, f64, InstanceKey)> = None;
        for key in candidates {
            let noise = 1.0 + NOISE * self.rng.random::<f64>();
            let state = &self.instances[key];
            let excess_failures = state.failure_rate.get(now) - lowest_failure_rate;
            let successes = 1.0 - excess_failures.min(MAX_EXCESS_FAILURES);
            let time = state.expected_time(request.route, fallback, now);
            let mut cost = noise * time / (successes * successes);
            let has_advantage = state.has_local_advantage(&self.data_centre, now)
                && excess_failures < MAX_LOCAL_EXCESS_FAILURES;
            // An instance that has no measurement is tried, so that the comparison is possible.
            let is_measured = state.service_times.mean(request.route).is_some();
            if !has_advantage && is_measured {
                cost += request.latency_target.as_secs_f64() * LOCAL_ADVANTAGE;
            }
            let is_suspect = state.is_suspect(self.peer_timeout, now)
                || (request.needs_slot && state.is_full(now));
            let is_better = best.is_none_or(|(best_suspect, best_cost, _)| {
                (is_suspect, cost) < (best_suspect, best_cost)
            });
            if is_better {
                best = Some((is_suspect, cost, key));
            }
        }
        let (_, _, key) = best?;
        let state = &mut self.instances[key];
        state.local_attempts += 1;
        state.sent_since_report += 1;
        Some(SelectedInstance {
            key,
            id: state.id.clone(),
            address: state.entry.address,
        })
    }

    /// Returns whether a service has an instance that is not at one of the addresses in `tried`,
    /// accepts requests and is not suspect.
    pub fn has_alternative(&self, service: &str, tried: &[SocketAddr], now: Instant) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.map(|key| &self.instances[*key])
            .filter(|state| !tried.contains(&state.entry.address))
            .any(|state| state.is_serving(now) && !state.is_suspect(self.peer_timeout, now))
    }

    /// Records the result of an attempt.
    pub fn record_result(&mut self, key: InstanceKey, result: InstanceResult, now: Instant) {
        let daemons = self.instances.len();
        let Some(state) = self.instances.get_mut(key) else {
            return;
        };
        state.local_attempts = state.local_attempts.saturating_sub(1);
        match result {
            InstanceResult::Responded => {
                state.failure_rate.record(false, now);
                state.failures = 0;
                state.ejected_until = None;
            }
            InstanceResult::Busy => state.busy_until = Some(now + state.busy_time(daemons)),
            InstanceResult::Leaving => state.leaving_until = Some(now + LEAVING_TIME),
            InstanceResult::Failed => {
                state.failure_rate.record(true, now);
                state.failures += 1;
                if state.failures >= EJECTION_THRESHOLD {
                    let doublings = (state.failures - EJECTION_THRESHOLD).min(4);
                    let ejection =
                        (INITIAL_EJECTION_TIME * 2u32.pow(doublings)).min(MAX_EJECTION_TIME);
                    state.ejected_until = Some(now + ejection);
                }
            }
            InstanceResult::Abandoned => {}
        }
    }

    /// Records the load and the mean service time that the daemon of an instance reports.
    pub fn record_report(
        &mut self,
        key: InstanceKey,
        report: LoadReport,
        time: Option<(&SmolStr, Duration)>,
        now: Instant,
    ) {
        let Some(state) = self.instances.get_mut(key) else {
            return;
        };
        state.report = Some((report, now));
        state.sent_since_report = 0;
        if let Some((route, time)) = time {
            state.service_times.set(route, time);
        }
    }

    /// Records what the backend server of an instance says of itself. Once it has announced that it
    /// leaves, it leaves, whatever later messages say.
    pub fn record_notes(&mut self, key: InstanceKey, notes: &ServerNotes) {
        let Some(state) = self.instances.get_mut(key) else {
            return;
        };
        state.named_rate = notes.named_rate;
        state.is_server_leaving |= notes.is_leaving && notes.instance == state.id;
    }

    /// Records what the daemon on a machine says of its backend server.
    pub fn record_peer_notes(&mut self, ip: std::net::IpAddr, notes: &ServerNotes) {
        let states = self.instances.values_mut();
        let mut local_states = states.filter(|state| state.entry.address.ip() == ip);
        if let Some(state) = local_states.find(|state| state.id == notes.instance) {
            state.named_rate = notes.named_rate.or(state.named_rate);
            state.is_server_leaving |= notes.is_leaving;
        }
    }

    /// Returns what the backend server on a machine said of itself.
    pub fn server_notes(&self, ip: std::net::IpAddr) -> ServerNotes {
        let mut states = self.instances.values();
        let local_state = states.find(|state| state.entry.address.ip() == ip);
        let notes = local_state.map(|state| ServerNotes {
            instance: state.id.clone(),
            named_rate: state.named_rate,
            is_leaving: state.is_server_leaving,
            crash: None,
        });
        notes.filter(|notes| !notes.is_empty()).unwrap_or_default()
    }

    /// Sets the interval at which daemons send their load. A daemon that sent load before and
    /// then misses several messages is probably cut off.
    pub fn set_load_interval(&mut self, interval: Duration) {
        self.peer_timeout = interval * MAX_MISSED_LOAD_MESSAGES;
    }

    /// Records when a load message of the daemon at an address was received.
    pub fn set_last_seen(&mut self, ip: std::net::IpAddr, now: Instant) {
        for state in self.instances.values_mut() {
            if state.entry.address.ip() == ip {
                state.last_seen = Some(now);
            }
        }
    }

    /// Records whether the daemon at an address is reachable.
    pub fn set_reachable(&mut self, ip: std::net::IpAddr, is_reachable: bool) {
        for state in self.instances.values_mut() {
            if state.entry.address.ip() == ip {
                state.is_unreachable = !is_reachable;
            }
        }
    }

    /// Records whether the daemon at an address is leaving and refuses new runs.
    pub fn set_leaving(&mut self, ip: std::net::IpAddr, is_leaving: bool, now: Instant) {
        for state in self.instances.values_mut() {
            if state.entry.address.ip() == ip {
                state.leaving_until = is_leaving.then_some(now + LEAVING_TIME);
            }
        }
    }

    /// Resets failures, ejections and load reports after a pause of this process.
    pub fn reset_failures(&mut self) {
        for state in self.instances.values_mut() {
            state.failures = 0;
            state.failure_rate = FailureRate::default();
            state.ejected_until = None;
            state.report = None;
        }
    }

    fn fallback_time(&self, keys: &[InstanceKey], route: &str) -> f64 {
        let times = keys
            .iter()
            .filter_map(|key| self.instances[*key].service_times.mean(route));
        let best = times.min().map(|time| time.as_secs_f64());
        best.unwrap_or(DEFAULT_SERVICE_TIME_S)
    }
}
