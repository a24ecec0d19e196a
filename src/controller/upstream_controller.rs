//! Upstreams of the services that the own backend server calls.

use crate::{
    common::*,
    decision::routing::upstream_set::{AttemptResult, InstanceInfo, UpstreamKey, UpstreamSet},
};

/// One set of upstreams for each called service, each under its own lock.
#[derive(Debug)]
pub struct UpstreamController {
    sets: IndexMap<SmolStr, Mutex<UpstreamSet>>,
}

impl UpstreamController {
    /// Creates empty sets for the called services.
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
    pub fn knows(&self, service: &str) -> bool {
        self.sets.contains_key(service)
    }

    /// Replaces the members of a set.
    pub fn update(&self, service: &str, members: &[InstanceInfo], now: Instant) {
        if let Some(set) = self.sets.get(service) {
            set.lock().update(members, now);
        }
    }

    /// Chooses an upstream that was not tried yet.
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

    /// Chooses the upstream with a given name.
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

    /// Records the end of an attempt.
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

    /// Returns the attempts in flight to a service.
    pub fn in_flight(&self, service: &str) -> u32 {
        self.sets
            .get(service)
            .map_or(0, |set| set.lock().in_flight())
    }

    /// Marks an upstream as leaving.
    pub fn mark_leaving(&self, service: &str, key: UpstreamKey) {
        if let Some(set) = self.sets.get(service) {
            set.lock().mark_leaving(key);
        }
    }
}
