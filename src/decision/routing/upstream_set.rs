//! Load balancing over the upstreams of one service.

use crate::{
    common::*,
    decision::routing::{
        load_hint::LoadHint, outlier_ejector, routing_config::RoutingConfig,
        spill_window::SpillWindow, upstream_state::UpstreamState, warm_up_ramp::WarmUpRamp,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an upstream in its set.
    pub struct UpstreamKey;
}

/// Instance of a service as published in the instance list.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address of the peer listener of its daemon.
    pub peer: SocketAddr,
    /// Address of the control listener of its daemon.
    pub control: SocketAddr,
    /// Whether the instance is leaving and gets no new calls.
    #[serde(default)]
    pub leaving: bool,
}

/// Result of an attempt at an upstream, as far as load balancing distinguishes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The upstream sent a complete response.
    Completed,
    /// The upstream refused the request before running it.
    Refused,
    /// The upstream could not be reached, broke the connection or did not respond in time.
    Failed,
    /// The attempt was cancelled, or its deadline passed too early to show a failure.
    Abandoned,
}

/// Time after a pause of this daemon in which failures of upstreams are ignored, since connections
/// that broke during the pause are detected only then.
const PAUSE_GRACE_TIME: Duration = Duration::from_secs(1);

/// Assumed latency while there is no measurement of any upstream of the set, in seconds.
const DEFAULT_LATENCY_S: f64 = 0.01;

/// Upstreams of one service, each with the state that this daemon records.
#[derive(Debug)]
pub struct UpstreamSet {
    data_centre: SmolStr,
    config: RoutingConfig,
    upstreams: SlotMap<UpstreamKey, UpstreamState>,
    spill: SpillWindow,
    pause_end: Option<Instant>,
    has_had_members: bool,
    rng: Pcg64Mcg,
}

impl UpstreamSet {
    /// Creates an empty set for a daemon in `data_centre`.
    pub fn new(data_centre: SmolStr, seed: u64) -> Self {
        Self {
            data_centre,
            config: RoutingConfig::default(),
            upstreams: SlotMap::with_key(),
            spill: SpillWindow::default(),
            pause_end: None,
            has_had_members: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Puts new parameters in force.
    pub fn set_config(&mut self, config: RoutingConfig) {
        self.config = config;
    }

    /// Replaces the members of the set; instances that are already members keep their state.
    ///
    /// The first members of the set get their full weight, since their age is unknown. Members that
    /// are added later start with a warm-up.
    pub fn set_members(&mut self, members: &[InstanceInfo], now: Instant) {
        self.upstreams
            .retain(|_, state| members.iter().any(|info| info.peer == state.info.peer));
        for info in members {
            match self.find(info.peer) {
                Some(key) => {
                    let state = &mut self.upstreams[key];
                    state.is_leaving |= info.leaving;
                    state.info = info.clone();
                }
                None => {
                    let ramp = if self.has_had_members {
                        WarmUpRamp::starting_at(now)
                    } else {
                        WarmUpRamp::finished()
                    };
                    self.upstreams
                        .insert(UpstreamState::new(info.clone(), ramp));
                }
            }
        }
        self.has_had_members |= !members.is_empty();
    }

    /// Chooses an upstream that is not in `tried` and counts the attempt as in flight.
    pub fn choose(&mut self, tried: &[UpstreamKey], now: Instant) -> Option<UpstreamKey> {
        let candidates = self.candidates(tried, now);
        let mean_latency = self.mean_latency(now);
        // Both samples can be the same upstream. Each candidate therefore gets a small share of the
        // calls, which keeps its measurements recent, and daemons with equal measurements do not
        // all choose the same upstream.
        let first = self.sample_weighted(&candidates, now)?;
        let second = self.sample_weighted(&candidates, now)?;
        let cost = |key| self.upstreams[key].cost(mean_latency, &self.config, now);
        let key = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        self.upstreams[key].in_flight += 1;
        Some(key)
    }

    /// Chooses the upstream with a given name, even if it is leaving, and counts the attempt as in
    /// flight.
    pub fn choose_named(&mut self, data_centre: &str, instance: &str) -> Option<UpstreamKey> {
        let (key, state) = self.upstreams.iter_mut().find(|(_, state)| {
            state.info.data_centre == data_centre && state.info.instance == instance
        })?;
        state.in_flight += 1;
        Some(key)
    }

    /// Records the result of an attempt; `latency` is the time to the head of the response.
    pub fn finish(
        &mut self,
        key: UpstreamKey,
        result: AttemptResult,
        latency: Duration,
        now: Instant,
    ) {
        let is_affected = self.is_affected_by_pause(latency, now);
        let Some(state) = self.upstreams.get_mut(key) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if is_affected && result != AttemptResult::Refused {
            return;
        }
        if state.record(result, latency, &self.config, now) {
            self.eject(key, now);
        }
    }

    /// Marks an upstream as leaving; it gets no new calls from this daemon.
    pub fn mark_leaving(&mut self, key: UpstreamKey) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.is_leaving = true;
        }
    }

    /// Returns whether an upstream is leaving.
    pub fn is_leaving(&self, key: UpstreamKey) -> bool {
        self.upstreams
            .get(key)
            .is_some_and(|state| state.is_leaving)
    }

    /// Returns the upstreams that are leaving.
    pub fn leaving(&self) -> Vec<InstanceInfo> {
        let leaving = self.upstreams.values().filter(|state| state.is_leaving);
        leaving.map(|state| state.info.clone()).collect()
    }

    /// Returns the number of attempts in flight at an upstream.
    pub fn in_flight(&self, key: UpstreamKey) -> u32 {
        self.upstreams.get(key).map_or(0, |state| state.in_flight)
    }

    /// Returns the number of attempts in flight at all upstreams.
    pub fn total_in_flight(&self) -> u32 {
        self.upstreams.values().map(|state| state.in_flight).sum()
    }

    /// Returns whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records that a new incarnation serves at the address of an upstream; its warm-up starts.
    pub fn mark_restarted(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.reset_measurements();
            state.is_leaving = false;
            state.ramp = WarmUpRamp::starting_at(now);
        }
    }

    /// Records the load that an upstream reported, or the result of a probe.
    pub fn set_hint(&mut self, key: UpstreamKey, hint: LoadHint) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.hint = Some(hint);
        }
    }

    /// Resets the measurements and failures of all upstreams after a pause of this daemon, since
    /// the pause may have distorted them.
    pub fn reset_after_pause(&mut self, now: Instant) {
        self.pause_end = Some(now);
        self.upstreams
            .values_mut()
            .for_each(UpstreamState::reset_measurements);
    }

    /// Returns the published data of an upstream.
    pub fn info(&self, key: UpstreamKey) -> Option<&InstanceInfo> {
        self.upstreams.get(key).map(|state| &state.info)
    }

    /// Returns the upstream with a peer address.
    pub fn find(&self, peer: SocketAddr) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .find(|(_, state)| state.info.peer == peer)
            .map(|(key, _)| key)
    }

    /// Returns the number of upstreams that are ejected now.
    pub fn ejected(&self, now: Instant) -> usize {
        self.upstreams
            .values()
            .filter(|state| state.ejector.is_ejected(now))
            .count()
    }

    /// Returns the upstreams to choose from: local ones that admit; otherwise remote ones, within
    /// the limit on spill; otherwise local ones, even if they do not admit.
    ///
    /// Local upstreams are those in the data centre of this daemon.
    fn candidates(&mut self, tried: &[UpstreamKey], now: Instant) -> Vec<UpstreamKey> {
        let local = self.usable(tried, true, true, now);
        let has_live_local = self
            .upstreams
            .values()
            .any(|state| self.is_local(state) && state.is_live(now));
        if !has_live_local {
            // The limit on spill does not apply without a live local upstream.
            return [(false, true), (false, false), (true, false)]
                .into_iter()
                .map(|(is_local, must_admit)| self.usable(tried, is_local, must_admit, now))
                .find(|keys| !keys.is_empty())
                .unwrap_or_default();
        }
        if !local.is_empty() {
            self.spill.record(false, now);
            return local;
        }
        let remote = self.usable(tried, false, true, now);
        if !remote.is_empty() && self.spill.allows(self.config.max_spill_percent, now) {
            self.spill.record(true, now);
            return remote;
        }
        let not_admitting = self.usable(tried, true, false, now);
        if !not_admitting.is_empty() {
            self.spill.record(false, now);
        }
        not_admitting
    }

    fn usable(
        &self,
        tried: &[UpstreamKey],
        is_local: bool,
        must_admit: bool,
        now: Instant,
    ) -> Vec<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(key, state)| {
                self.is_local(state) == is_local
                    && !state.is_leaving
                    && !state.ejector.is_ejected(now)
                    && (!must_admit || state.is_admitting(now))
                    && !tried.contains(key)
            })
            .map(|(key, _)| key)
            .collect()
    }

    fn is_local(&self, state: &UpstreamState) -> bool {
        state.info.data_centre == self.data_centre
    }

    /// Samples a candidate at random, weighted by the warm-up ramps.
    fn sample_weighted(&mut self, candidates: &[UpstreamKey], now: Instant) -> Option<UpstreamKey> {
        let weight = |key: &UpstreamKey| self.upstreams[*key].ramp.weight(&self.config, now);
        let total: f64 = candidates.iter().map(weight).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        candidates
            .iter()
            .find(|key| {
                remaining -= self.upstreams[**key].ramp.weight(&self.config, now);
                remaining < 0.0
            })
            .or(candidates.last())
            .copied()
    }

    /// Returns the mean latency of the upstreams with a measurement. It is used for those without
    /// one, which would otherwise seem to be the fastest and attract all calls.
    fn mean_latency(&self, now: Instant) -> f64 {
        let measured: Vec<f64> = self
            .upstreams
            .values()
            .filter_map(|state| state.latency(now))
            .collect();
        if measured.is_empty() {
            return DEFAULT_LATENCY_S;
        }
        measured.iter().sum::<f64>() / measured.len() as f64
    }

    fn eject(&mut self, key: UpstreamKey, now: Instant) {
        let ejected = self.ejected(now);
        if outlier_ejector::may_eject(&self.config, ejected, self.upstreams.len()) {
            self.upstreams[key].ejector.eject();
        }
    }

    /// Returns whether an attempt was sent before the end of the last pause, or its result came so
    /// soon after the pause that the pause may have caused it.
    fn is_affected_by_pause(&self, latency: Duration, now: Instant) -> bool {
        self.pause_end.is_some_and(|pause_end| {
            now.saturating_duration_since(pause_end) < latency.max(PAUSE_GRACE_TIME)
        })
    }
}
