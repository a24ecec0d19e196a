//! Upstreams of one service.

use crate::{
    common::*,
    decision::routing::{
        cold_ramp::ColdRamp, load_hint::LoadHint, outlier_ejector, routing_config::RoutingConfig,
        spill_window::SpillWindow, upstream_state::UpstreamState,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an upstream in its set.
    pub struct UpstreamKey;
}

/// Instance of a service as published in the list of instances.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address of the daemon's peer listener.
    pub peer: SocketAddr,
    /// Address of the daemon's control listener.
    pub control: SocketAddr,
    /// Whether the list reports the instance as leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// How an attempt at an upstream ended, as far as the choice of upstreams is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request before running it.
    Refused,
    /// The upstream could not be reached or broke the connection.
    Failed,
    /// The sender gave the attempt up itself.
    Abandoned,
}

/// Time after a pause of the own daemon in which failures are not held against upstreams, since
/// connections that broke during the pause are noticed only then.
const PAUSE_GRACE: Duration = Duration::from_secs(1);

/// Latency of upstreams as long as no upstream of the set has been measured, in seconds.
const DEFAULT_LATENCY: f64 = 0.01;

/// Upstreams of one service as one daemon sees them.
#[derive(Debug)]
pub struct UpstreamSet {
    data_centre: SmolStr,
    config: RoutingConfig,
    upstreams: SlotMap<UpstreamKey, UpstreamState>,
    spill: SpillWindow,
    resumed: Option<Instant>,
    is_filled: bool,
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
            resumed: None,
            is_filled: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Puts new parameters in force.
    pub fn set_config(&mut self, config: RoutingConfig) {
        self.config = config;
    }

    /// Replaces the members of the set; known instances keep their state.
    ///
    /// The members of the first update count as warm, since nothing tells their age; later ones
    /// start cold.
    pub fn update(&mut self, members: &[InstanceInfo], now: Instant) {
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
                    let ramp = if self.is_filled {
                        ColdRamp::starting(now)
                    } else {
                        ColdRamp::warm()
                    };
                    self.upstreams
                        .insert(UpstreamState::new(info.clone(), ramp));
                }
            }
        }
        self.is_filled |= !members.is_empty();
    }

    /// Chooses an upstream that is not in `tried` and counts the attempt as in flight.
    pub fn choose(&mut self, tried: &[UpstreamKey], now: Instant) -> Option<UpstreamKey> {
        let candidates = self.candidates(tried, now);
        let usual_latency = self.usual_latency(now);
        // Both samples can be the same upstream. Each candidate so keeps a small share, which
        // renews its measurements, and many daemons with the same view do not all pick the best.
        let first = self.sample(&candidates, now)?;
        let second = self.sample(&candidates, now)?;
        let cost = |key| self.upstreams[key].cost(usual_latency, &self.config, now);
        let key = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        self.upstreams[key].in_flight += 1;
        Some(key)
    }

    /// Records the end of an attempt; `latency` is the time to the head of the response.
    pub fn finish(
        &mut self,
        key: UpstreamKey,
        result: AttemptResult,
        latency: Duration,
        now: Instant,
    ) {
        let is_pause = self.spans_pause(latency, now);
        let Some(state) = self.upstreams.get_mut(key) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if is_pause && result != AttemptResult::Refused {
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

    /// Returns the attempts in flight at an upstream.
    pub fn in_flight(&self, key: UpstreamKey) -> u32 {
        self.upstreams.get(key).map_or(0, |state| state.in_flight)
    }

    /// Returns whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records that a new incarnation serves at the address of an upstream; it starts cold.
    pub fn mark_restarted(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.forget_measurements();
            state.is_leaving = false;
            state.ramp = ColdRamp::starting(now);
        }
    }

    /// Records the load that an upstream reports, or the result of a probe.
    pub fn set_hint(&mut self, key: UpstreamKey, hint: LoadHint) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.hint = Some(hint);
        }
    }

    /// Drops latencies and forgives failures after a pause of the own daemon.
    pub fn forgive_pause(&mut self, now: Instant) {
        self.resumed = Some(now);
        self.upstreams
            .values_mut()
            .for_each(UpstreamState::forget_measurements);
    }

    /// Returns the published data of an upstream.
    pub fn info(&self, key: UpstreamKey) -> Option<&InstanceInfo> {
        self.upstreams.get(key).map(|state| &state.info)
    }

    /// Finds the upstream with a peer address.
    pub fn find(&self, peer: SocketAddr) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .find(|(_, state)| state.info.peer == peer)
            .map(|(key, _)| key)
    }

    /// Returns the upstreams that are ejected now.
    pub fn ejected(&self, now: Instant) -> usize {
        self.upstreams
            .values()
            .filter(|state| state.ejector.is_ejected(now))
            .count()
    }

    /// Returns the upstreams to choose from: local ones that admit; else remote ones within the
    /// spill bound; else local ones even if they refused recently.
    fn candidates(&mut self, tried: &[UpstreamKey], now: Instant) -> Vec<UpstreamKey> {
        let local = self.usable(tried, true, true, now);
        let is_local_live = self
            .upstreams
            .values()
            .any(|state| self.is_local(state) && state.is_live(now));
        if !is_local_live {
            // The bound on spill does not apply without a live upstream in the data centre.
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
        let refusing = self.usable(tried, true, false, now);
        if !refusing.is_empty() {
            self.spill.record(false, now);
        }
        refusing
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

    /// Samples a candidate by its ramp weight.
    fn sample(&mut self, candidates: &[UpstreamKey], now: Instant) -> Option<UpstreamKey> {
        let weight = |key: &UpstreamKey| self.upstreams[*key].ramp.weight(&self.config, now);
        let total: f64 = candidates.iter().map(weight).sum();
        let mut left = self.rng.random::<f64>() * total;
        candidates
            .iter()
            .find(|key| {
                left -= self.upstreams[**key].ramp.weight(&self.config, now);
                left < 0.0
            })
            .or(candidates.last())
            .copied()
    }

    /// Returns the mean latency of the measured upstreams. It stands in for upstreams without a
    /// measurement, which would otherwise look fastest and draw all calls.
    fn usual_latency(&self, now: Instant) -> f64 {
        let measured: Vec<f64> = self
            .upstreams
            .values()
            .filter_map(|state| state.latency(now))
            .collect();
        if measured.is_empty() {
            return DEFAULT_LATENCY;
        }
        measured.iter().sum::<f64>() / measured.len() as f64
    }

    fn eject(&mut self, key: UpstreamKey, now: Instant) {
        let ejected = self.ejected(now);
        if outlier_ejector::may_eject(&self.config, ejected, self.upstreams.len()) {
            self.upstreams[key].ejector.eject();
        }
    }

    /// Returns whether an attempt began before the last pause, or ends so shortly after it that
    /// the pause may have caused its result.
    fn spans_pause(&self, latency: Duration, now: Instant) -> bool {
        self.resumed.is_some_and(|resumed| {
            now.saturating_duration_since(resumed) < latency.max(PAUSE_GRACE)
        })
    }
}
