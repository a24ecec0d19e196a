//! Choice of the instance that runs a request.

use crate::{
    common::*,
    decision::mesh::{
        fleet_view::{BackendEntry, FleetView, ServingState},
        latency_book::LatencyBook,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an instance in the choice.
    pub struct InstanceKey;
}

/// Load that the daemon of an instance reports with its answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that the backend server works on.
    pub in_flight: u32,
    /// Requests that wait at the gate.
    pub queued: u32,
    /// Requests that the gate lets through at once.
    pub limit: u32,
}

/// Age at which a load report says nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which an instance whose daemon refuses work for good gets none.
const LEAVING_TIME: Duration = Duration::from_secs(8);

/// First time for which an instance that failed gets no work; it doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which an instance that failed gets no work.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Failures in a row that eject an instance.
const EJECT_AFTER: u32 = 3;

/// Time after a refusal of a full instance in which it is tried last.
const BUSY_TIME: Duration = Duration::from_millis(60);

/// Service time of a route that was never measured, in seconds.
const DEFAULT_TIME: f64 = 0.05;

/// Factor on the service time of an instance in another data centre: bytes between data centres
/// are paid for.
const REMOTE_FACTOR: f64 = 1.15;

/// Factor on the service time of a cold instance.
const COLD_FACTOR: f64 = 2.0;

/// Load messages that a daemon may miss before it counts as doubtful.
pub const MISSED_MESSAGES: u32 = 3;

/// Fewest known instances of which a daemon can tell that it is isolated.
const MIN_ISOLATED: usize = 5;

/// Share of reachable instances below which a daemon is isolated. A daemon in a data centre that is cut
/// off still reaches the instances there.
const ISOLATED_SHARE: f64 = 0.2;

/// Relative noise on the estimates, so that daemons with equal views choose differently.
const NOISE: f64 = 0.1;

/// Instance with the decision data of one daemon.
#[derive(Debug)]
struct InstanceState {
    id: SmolStr,
    entry: BackendEntry,
    own_calls: u32,
    report: Option<(LoadReport, Instant)>,
    sent_since_report: u32,
    times: LatencyBook,
    failures: u32,
    ejected_until: Option<Instant>,
    busy_until: Option<Instant>,
    leaving_until: Option<Instant>,
    unreachable: bool,
    heard: Option<Instant>,
    cold_until: Instant,
}

/// Instance that was chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenInstance {
    /// Key of the instance.
    pub key: InstanceKey,
    /// Id that the backend server has to confirm.
    pub id: SmolStr,
    /// Address of the backend server.
    pub address: SocketAddr,
}

/// How an attempt at an instance ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The backend server answered.
    Answered,
    /// The gate of the instance had no room, or the instance has another id by now.
    Busy,
    /// The daemon of the instance ends.
    Leaving,
    /// The backend server or the connection failed.
    Failed,
    /// The sender gave up.
    Abandoned,
}

/// Instances of all services as one daemon sees them.
#[derive(Debug)]
pub struct InstanceChoice {
    data_centre: SmolStr,
    instances: SlotMap<InstanceKey, InstanceState>,
    by_service: IndexMap<SmolStr, Vec<InstanceKey>>,
    silence_limit: Duration,
    rng: Pcg64Mcg,
}

impl InstanceChoice {
    /// Creates an empty choice for a daemon in `data_centre`.
    pub fn new(data_centre: SmolStr, seed: u64) -> Self {
        Self {
            data_centre,
            instances: SlotMap::with_key(),
            by_service: IndexMap::new(),
            silence_limit: Duration::MAX,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Follows the published members; known instances keep their measurements.
    pub fn update(&mut self, view: &FleetView, now: Instant) {
        let mut known: IndexMap<SmolStr, InstanceKey> = self
            .instances
            .iter()
            .map(|(key, state)| (state.id.clone(), key))
            .collect();
        for (id, entry) in view.members() {
            let cold_until = now + entry.cold;
            match known.swap_remove(id) {
                Some(key) => {
                    let state = &mut self.instances[key];
                    if state.entry.born_ms != entry.born_ms {
                        state.times = LatencyBook::default();
                        state.failures = 0;
                        state.ejected_until = None;
                        state.leaving_until = None;
                    }
                    state.entry = entry.clone();
                    state.cold_until = cold_until;
                }
                None => {
                    self.instances.insert(InstanceState {
                        id: id.clone(),
                        entry: entry.clone(),
                        own_calls: 0,
                        report: None,
                        sent_since_report: 0,
                        times: LatencyBook::default(),
                        failures: 0,
                        ejected_until: None,
                        busy_until: None,
                        leaving_until: None,
                        unreachable: false,
                        heard: None,
                        cold_until,
                    });
                }
            }
        }
        for key in known.values() {
            self.instances.remove(*key);
        }
        self.by_service.clear();
        for (key, state) in &self.instances {
            let service = state.entry.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
    }

    /// Returns whether a service has an instance that can be reached and takes work.
    pub fn can_reach(&self, service: &str, now: Instant) -> bool {
        let mut keys = self.by_service.get(service).into_iter().flatten();
        keys.any(|key| self.instances[*key].is_serving(now))
    }

    /// Returns whether nearly all other machines cannot be reached.
    pub fn is_isolated(&self) -> bool {
        let known = self.instances.len();
        let reached = self.instances.values().filter(|state| !state.unreachable);
        known >= MIN_ISOLATED && (reached.count() as f64) < ISOLATED_SHARE * known as f64
    }

    /// Chooses the instance with the least expected time that is not in `tried`, and counts the
    /// attempt. Instances that failed or were full lately come last, and with `needs_slot` those
    /// that seem to have no free slot, too.
    pub fn choose(
        &mut self,
        service: &str,
        route: &str,
        tried: &[InstanceKey],
        needs_slot: bool,
        now: Instant,
    ) -> Option<ChosenInstance> {
        let keys = self.by_service.get(service)?;
        let usable: Vec<InstanceKey> = keys
            .iter()
            .copied()
            .filter(|key| !tried.contains(key) && self.instances[*key].is_serving(now))
            .collect();
        let fallback = self.usual_time(keys, route);
        let mut best: Option<(bool, f64, InstanceKey)> = None;
        for key in usable {
            let noise = 1.0 + NOISE * self.rng.random::<f64>();
            let state = &self.instances[key];
            let cost = noise * state.expected_time(route, fallback, &self.data_centre, now);
            let is_doubtful =
                state.is_doubtful(self.silence_limit, now) || (needs_slot && state.is_full(now));
            let is_better = best.is_none_or(|(best_doubtful, best_cost, _)| {
                (is_doubtful, cost) < (best_doubtful, best_cost)
            });
            if is_better {
                best = Some((is_doubtful, cost, key));
            }
        }
        let (_, _, key) = best?;
        let state = &mut self.instances[key];
        state.own_calls += 1;
        state.sent_since_report += 1;
        Some(ChosenInstance {
            key,
            id: state.id.clone(),
            address: state.entry.address,
        })
    }

    /// Returns whether a service has a sound instance that is not in `tried`.
    pub fn has_other(&self, service: &str, tried: &[InstanceKey], now: Instant) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter(|key| !tried.contains(key))
            .map(|key| &self.instances[*key])
            .any(|state| state.is_serving(now) && !state.is_doubtful(self.silence_limit, now))
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, key: InstanceKey, end: AttemptEnd, now: Instant) {
        let Some(state) = self.instances.get_mut(key) else {
            return;
        };
        state.own_calls = state.own_calls.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                state.failures = 0;
                state.ejected_until = None;
            }
            AttemptEnd::Busy => state.busy_until = Some(now + BUSY_TIME),
            AttemptEnd::Leaving => state.leaving_until = Some(now + LEAVING_TIME),
            AttemptEnd::Failed => {
                state.failures += 1;
                if state.failures >= EJECT_AFTER {
                    let doublings = (state.failures - EJECT_AFTER).min(4);
                    let pause = (FIRST_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
                    state.ejected_until = Some(now + pause);
                }
            }
            AttemptEnd::Abandoned => {}
        }
    }

    /// Records the load and the service time that the daemon of an instance reports.
    pub fn set_report(
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
            state.times.set(route, time);
        }
    }

    /// Sets the interval at which daemons tell their load. One that was heard and then misses
    /// several messages is probably cut off.
    pub fn set_load_interval(&mut self, interval: Duration) {
        self.silence_limit = interval * MISSED_MESSAGES;
    }

    /// Records that the daemon at an address told its load.
    pub fn set_heard(&mut self, ip: std::net::IpAddr, now: Instant) {
        for state in self.instances.values_mut() {
            if state.entry.address.ip() == ip {
                state.heard = Some(now);
            }
        }
    }

    /// Records whether the daemon at an address can be reached.
    pub fn set_reachable(&mut self, ip: std::net::IpAddr, is_reachable: bool) {
        for state in self.instances.values_mut() {
            if state.entry.address.ip() == ip {
                state.unreachable = !is_reachable;
            }
        }
    }

    /// Records that the daemon at an address takes no new work, or takes it again.
    pub fn set_leaving(&mut self, ip: std::net::IpAddr, is_leaving: bool, now: Instant) {
        for state in self.instances.values_mut() {
            if state.entry.address.ip() == ip {
                state.leaving_until = is_leaving.then_some(now + LEAVING_TIME);
            }
        }
    }

    /// Drops what was measured before a pause of this process.
    pub fn forget_failures(&mut self) {
        for state in self.instances.values_mut() {
            state.failures = 0;
            state.ejected_until = None;
            state.report = None;
        }
    }

    fn usual_time(&self, keys: &[InstanceKey], route: &str) -> f64 {
        let times = keys
            .iter()
            .filter_map(|key| self.instances[*key].times.mean(route));
        let best = times.min().map(|time| time.as_secs_f64());
        best.unwrap_or(DEFAULT_TIME)
    }
}

impl InstanceState {
    fn is_serving(&self, now: Instant) -> bool {
        self.entry.state == ServingState::Ready
            && !self.unreachable
            && self.leaving_until.is_none_or(|until| until <= now)
    }

    fn is_doubtful(&self, silence_limit: Duration, now: Instant) -> bool {
        let silence = self.heard.map(|at| now.saturating_duration_since(at));
        silence.is_some_and(|silence| silence > silence_limit)
            || self.ejected_until.is_some_and(|until| now < until)
            || self.busy_until.is_some_and(|until| now < until)
    }

    /// Returns the requests that the instance probably holds.
    fn load(&self, now: Instant) -> u32 {
        match self.fresh_report(now) {
            Some(report) => report.in_flight + report.queued + self.sent_since_report,
            None => self.own_calls,
        }
    }

    fn is_full(&self, now: Instant) -> bool {
        let limit = self
            .fresh_report(now)
            .map_or(self.entry.slots, |report| report.limit);
        self.load(now) >= limit
    }

    fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_duration_since(at) < REPORT_LIFETIME).then_some(report)
    }

    /// Returns the expected time until the answer in seconds.
    fn expected_time(&self, route: &str, fallback: f64, data_centre: &str, now: Instant) -> f64 {
        let mean = self.times.mean(route);
        let mut time = mean.map_or(fallback, |time| time.as_secs_f64());
        if mean.is_none() && now < self.cold_until {
            time *= COLD_FACTOR;
        }
        if self.entry.data_centre != data_centre {
            time *= REMOTE_FACTOR;
        }
        let slots = f64::from(self.entry.slots.max(1));
        let load = f64::from(self.load(now));
        // A free slot serves at once; a fuller instance is a little worse, so that equal ones
        // share the load, and beyond the slots requests wait.
        let use_of_slots = load / slots;
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        time * (1.0 + 0.3 * use_of_slots + waiting)
    }
}
