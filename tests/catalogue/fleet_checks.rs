//! Checks of the state of a simulated fleet.

use crate::fleet::{Fleet, Member};
use skylarkstream::decision::catalogue::{
    catalogue_node::{CATALOGUE_TICK, CatalogueNode},
    catalogue_value::CatalogueValue,
};
use std::time::Duration;

impl Fleet {
    /// Runs until version `version` of a service's profile is in force in all its running daemons.
    /// Returns the time that it took, or `None` after a minute.
    pub fn run_until_in_force(&mut self, name: &str, version: u64) -> Option<Duration> {
        let start = self.elapsed;
        while self.elapsed < start + Duration::from_secs(60) {
            if self.is_in_force(name, version) {
                return Some(self.elapsed - start);
            }
            self.run(CATALOGUE_TICK);
        }
        None
    }

    pub fn is_in_force(&self, name: &str, version: u64) -> bool {
        let key = format!("profiles/{name}");
        self.members
            .iter()
            .filter(|member| member.service == name)
            .filter_map(|member| member.node.as_ref())
            .all(|node| node.in_force(&key).map(|stamp| stamp.version) == Some(version))
    }

    /// Returns whether all running daemons have the same index, and the highest valid versions of
    /// their profile and instance list are in force in each.
    pub fn is_converged(&self) -> bool {
        let nodes: Vec<(&Member, &CatalogueNode)> = self
            .members
            .iter()
            .filter_map(|member| Some((member, member.node.as_ref()?)))
            .collect();
        let hash = nodes[0].1.index().root_hash();
        nodes.iter().all(|(member, node)| {
            let is_valid_in_force = |key: String| {
                let valid = node.index().get(&key).and_then(|record| record.valid);
                (valid.is_some() || self.is_refused_on_platform(&key))
                    && node.in_force(&key) == valid
            };
            node.index().root_hash() == hash
                && is_valid_in_force(format!("profiles/{}", member.service))
                && is_valid_in_force(format!("instances/{}", member.service))
        })
    }

    /// Returns whether the platform's version of a key is invalid. If no daemon received an older
    /// valid version, none can be in force.
    fn is_refused_on_platform(&self, key: &str) -> bool {
        let value = self.platform.read(key);
        value.is_some_and(|(_, text)| CatalogueValue::parse(key, text.as_bytes()).is_err())
    }

    /// Returns whether each valid profile on the platform is in force.
    pub fn is_as_published(&self) -> bool {
        self.members.iter().all(|member| {
            let key = format!("profiles/{}", member.service);
            let Some((version, _)) = self.platform.read(&key) else {
                return false;
            };
            let is_in_force = self.is_in_force(&member.service, version);
            is_in_force || self.is_refused_on_platform(&key)
        })
    }

    /// Returns the largest number of platform calls in one second, long polls included.
    pub fn max_platform_calls_per_second(&self) -> u32 {
        self.platform_calls_by_second
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
    }
}
