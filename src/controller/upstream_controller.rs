//! Upstreams of the services that requests are sent to.

use crate::{
    common::*,
    decision::routing::{
        routing_config::RoutingConfig,
        upstream_set::{AttemptResult, InstanceInfo, UpstreamKey, UpstreamSet},
    },
};

/// Set of upstreams of each service, under a lock of its own.
#[derive(Debug)]
pub struct UpstreamController {
    sets: IndexMap<SmolStr, Mutex<UpstreamSet>>,
}

impl UpstreamController {
    /// Creates an empty set for each service; `seed` is for the random choice of upstreams.
    pub fn new(data_centre: &SmolStr, services: &[SmolStr], seed: u64) -> Self {
        let sets = services
            .iter()
            .map(|service| {
                let set = UpstreamSet::new(data_centre.clone(), seed);
                (service.clone(), Mutex::new(set))
            })
            .collect();
        Self { sets }
    }

    /// Returns whether calls to a service are declared in the settings.
    pub fn is_declared(&self, service: &str) -> bool {
        self.sets.contains_key(service)
    }

    /// Replaces the members of a set.
    pub fn set_members(&self, service: &str, members: &[InstanceInfo], now: Instant) {
        if let Some(set) = self.sets.get(service) {
            set.lock().set_members(members, now);
        }
    }

    /// Replaces the members of a set by the merged view of all membership sources. An upstream that
    /// was leaving and is live again, or whose peer address is `restarted`, starts its warm-up.
    pub fn apply_members(
        &self,
        service: &str,
        members: &[InstanceInfo],
        restarted: Option<SocketAddr>,
        now: Instant,
    ) {
        let Some(set) = self.sets.get(service) else {
            return;
        };
        let mut set = set.lock();
        set.set_members(members, now);
        for info in members.iter().filter(|info| !info.leaving) {
            let Some(key) = set.find(info.peer) else {
                continue;
            };
            if set.is_leaving(key) || restarted == Some(info.peer) {
                set.mark_restarted(key, now);
            }
        }
    }

    /// Applies new routing parameters of a service.
    pub fn set_config(&self, service: &str, config: RoutingConfig) {
        if let Some(set) = self.sets.get(service) {
            set.lock().set_config(config);
        }
    }

    /// Drops measurements that a pause of this process has made stale.
    pub fn reset_after_pause(&self, now: Instant) {
        self.sets
            .values()
            .for_each(|set| set.lock().reset_after_pause(now));
    }

    /// Returns the number of attempts in flight at an upstream.
    pub fn in_flight(&self, service: &str, key: UpstreamKey) -> u32 {
        self.sets
            .get(service)
            .map_or(0, |set| set.lock().in_flight(key))
    }

    /// Returns whether a service has no instance.
    pub fn is_empty(&self, service: &str) -> bool {
        self.sets
            .get(service)
            .is_none_or(|set| set.lock().is_empty())
    }

    /// Returns the leaving instances, which get no calls, with their services.
    pub fn leaving(&self) -> Vec<(SmolStr, InstanceInfo)> {
        self.sets
            .iter()
            .flat_map(|(service, set)| {
                let leaving = set.lock().leaving();
                leaving.into_iter().map(|info| (service.clone(), info))
            })
            .collect()
    }

    /// Chooses an upstream that is not in `tried` and counts the attempt as in flight.
    pub fn choose(
        &self,
        service: &str,
        tried: &[UpstreamKey],
        now: Instant,
    ) -> Option<(UpstreamKey, InstanceInfo)> {
        let mut set = self.sets.get(service)?.lock();
        let key = set.choose(tried, now)?;
        let info = set.info(key)?.clone();
        Some((key, info))
    }

    /// Chooses the upstream with a given name, even if it is leaving, and counts the attempt as in
    /// flight.
    pub fn choose_named(
        &self,
        service: &str,
        data_centre: &str,
        instance: &str,
    ) -> Option<(UpstreamKey, InstanceInfo)> {
        let mut set = self.sets.get(service)?.lock();
        let key = set.choose_named(data_centre, instance)?;
        let info = set.info(key)?.clone();
        Some((key, info))
    }

    /// Records the result of an attempt; `latency` is the time to the head of the response.
    pub fn finish(
        &self,
        service: &str,
        key: UpstreamKey,
        result: AttemptResult,
        latency: Duration,
        now: Instant,
    ) {
        if let Some(set) = self.sets.get(service) {
            set.lock().finish(key, result, latency, now);
        }
    }

    /// Returns the number of ejected upstreams of a service.
    pub fn ejected(&self, service: &str, now: Instant) -> usize {
        self.sets
            .get(service)
            .map_or(0, |set| set.lock().ejected(now))
    }

    /// Returns the number of attempts in flight at all upstreams of a service.
    pub fn total_in_flight(&self, service: &str) -> u32 {
        self.sets
            .get(service)
            .map_or(0, |set| set.lock().total_in_flight())
    }

    /// Marks an upstream as leaving.
    pub fn mark_leaving(&self, service: &str, key: UpstreamKey) {
        if let Some(set) = self.sets.get(service) {
            set.lock().mark_leaving(key);
        }
    }
}
