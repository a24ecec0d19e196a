//! Upstreams of one service.

use crate::common::*;
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

#[derive(Debug)]
struct UpstreamState {
    info: InstanceInfo,
    in_flight: u32,
    is_leaving: bool,
}

/// Upstreams of one service as one daemon sees them.
#[derive(Debug)]
pub struct UpstreamSet {
    data_centre: SmolStr,
    upstreams: SlotMap<UpstreamKey, UpstreamState>,
    rng: Pcg64Mcg,
}

impl UpstreamSet {
    /// Creates an empty set for a daemon in `data_centre`.
    pub fn new(data_centre: SmolStr, seed: u64) -> Self {
        Self {
            data_centre,
            upstreams: SlotMap::with_key(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the members of the set; known instances keep their state.
    pub fn update(&mut self, members: &[InstanceInfo], _now: Instant) {
        self.upstreams
            .retain(|_, state| members.iter().any(|info| info.peer == state.info.peer));
        for info in members {
            let known = self
                .upstreams
                .values_mut()
                .find(|state| state.info.peer == info.peer);
            match known {
                Some(state) => {
                    state.is_leaving |= info.leaving;
                    state.info = info.clone();
                }
                None => {
                    self.upstreams.insert(UpstreamState {
                        info: info.clone(),
                        in_flight: 0,
                        is_leaving: info.leaving,
                    });
                }
            }
        }
    }

    /// Chooses an upstream that is not in `tried` and counts the attempt as in flight.
    pub fn choose(&mut self, tried: &[UpstreamKey], _now: Instant) -> Option<UpstreamKey> {
        let local = self.candidates(tried, true);
        let candidates = if local.is_empty() {
            self.candidates(tried, false)
        } else {
            local
        };
        let first = *candidates.get(self.random_index(candidates.len())?)?;
        let second = *candidates.get(self.random_index(candidates.len())?)?;
        let key = if self.upstreams[second].in_flight < self.upstreams[first].in_flight {
            second
        } else {
            first
        };
        self.upstreams[key].in_flight += 1;
        Some(key)
    }

    /// Chooses the upstream with a given name, also when it is leaving, and counts the attempt as in
    /// flight.
    pub fn choose_named(&mut self, data_centre: &str, instance: &str) -> Option<UpstreamKey> {
        let (key, state) = self.upstreams.iter_mut().find(|(_, state)| {
            state.info.data_centre == data_centre && state.info.instance == instance
        })?;
        state.in_flight += 1;
        Some(key)
    }

    /// Records the end of an attempt.
    pub fn finish(
        &mut self,
        key: UpstreamKey,
        _result: AttemptResult,
        _latency: Duration,
        _now: Instant,
    ) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Marks an upstream as leaving; it gets no new calls from this daemon.
    pub fn mark_leaving(&mut self, key: UpstreamKey) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.is_leaving = true;
        }
    }

    /// Returns the attempts in flight to all upstreams.
    pub fn in_flight(&self) -> u32 {
        self.upstreams.values().map(|state| state.in_flight).sum()
    }

    /// Returns the published data of an upstream.
    pub fn info(&self, key: UpstreamKey) -> Option<&InstanceInfo> {
        self.upstreams.get(key).map(|state| &state.info)
    }

    fn candidates(&self, tried: &[UpstreamKey], is_local: bool) -> Vec<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(key, state)| {
                !state.is_leaving
                    && !tried.contains(key)
                    && (state.info.data_centre == self.data_centre) == is_local
            })
            .map(|(key, _)| key)
            .collect()
    }

    fn random_index(&mut self, length: usize) -> Option<usize> {
        (length > 0).then(|| self.rng.random_range(0..length))
    }
}
