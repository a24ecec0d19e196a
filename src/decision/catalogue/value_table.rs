//! Values that a daemon stores, and which of them are in force.

use super::{
    catalogue_index::CatalogueIndex,
    catalogue_message::AppliedValue,
    catalogue_report::{KeyRefusal, KeyReport, ValueSource},
    catalogue_roles::CatalogueRoles,
    catalogue_value::CatalogueValue,
    value_cache::{MAX_CACHE_BYTES, ValueCache},
    version_stamp::VersionStamp,
};
use crate::common::*;
use bytes::Bytes;
use std::collections::HashSet;

/// Part of the cache that is reserved for values that the daemon needs for itself, in bytes.
const OWN_RESERVE_BYTES: usize = 4 << 20;

#[derive(Debug)]
struct InForce {
    stamp: VersionStamp,
    source: ValueSource,
    since: Instant,
}

/// Stored values with their sources and refusals, and the versions in force.
#[derive(Debug, Default)]
pub struct ValueTable {
    cache: ValueCache,
    sources: IndexMap<SmolStr, ValueSource>,
    refusals: IndexMap<SmolStr, KeyRefusal>,
    in_force: IndexMap<SmolStr, InForce>,
    selections: IndexMap<SmolStr, SmolStr>,
}

impl ValueTable {
    /// Returns a value.
    pub fn get(&self, key: &str, stamp: VersionStamp) -> Option<&Bytes> {
        self.cache.get(key, stamp)
    }

    /// Returns the total size of the stored values, in bytes.
    pub fn bytes(&self) -> usize {
        self.cache.bytes()
    }

    /// Returns the version of a key that is in force.
    pub fn in_force(&self, key: &str) -> Option<VersionStamp> {
        self.in_force.get(key).map(|in_force| in_force.stamp)
    }

    /// Stores a value if the daemon keeps the key and the cache has room; returns whether it is
    /// stored.
    pub fn insert(
        &mut self,
        key: &SmolStr,
        stamp: VersionStamp,
        bytes: &Bytes,
        source: ValueSource,
        roles: &CatalogueRoles,
    ) -> bool {
        if !roles.keeps(key) {
            return false;
        }
        let reserve = if roles.needs(key) {
            0
        } else {
            OWN_RESERVE_BYTES
        };
        let has_room = self.cache.bytes() + bytes.len() + reserve <= MAX_CACHE_BYTES;
        if !has_room || !self.cache.insert(key, stamp, bytes.clone()) {
            return false;
        }
        self.sources.insert(key.clone(), source);
        true
    }

    /// Records that a version is refused.
    pub fn record_refusal(&mut self, key: &SmolStr, version: u64, reason: String) {
        let refusal = KeyRefusal { version, reason };
        self.refusals.insert(key.clone(), refusal);
    }

    /// Drops the values that are no longer current or that the daemon no longer keeps.
    pub fn prune(&mut self, index: &CatalogueIndex, roles: &CatalogueRoles) {
        self.cache
            .retain(|key, stamp| index.is_current(key, stamp) && roles.keeps(key));
    }

    /// Puts the highest valid version of a key in force if the daemon stores and needs it and the
    /// version in force is lower.
    pub fn apply(
        &mut self,
        key: &SmolStr,
        index: &CatalogueIndex,
        roles: &CatalogueRoles,
        now: Instant,
    ) -> Option<AppliedValue> {
        let stamp = index.get(key)?.valid?;
        let current = self.in_force(key);
        let is_newer = current.is_none_or(|current| current.version < stamp.version);
        if !is_newer || !roles.needs(key) {
            return None;
        }
        let value = CatalogueValue::parse(key, self.cache.get(key, stamp)?).ok()?;
        let source = *self.sources.get(key)?;
        let since = now;
        let in_force = InForce {
            stamp,
            source,
            since,
        };
        self.in_force.insert(key.clone(), in_force);
        if let (CatalogueValue::Selection(profile), Some(service)) =
            (&value, key.strip_prefix("services/"))
        {
            self.selections.insert(service.into(), profile.clone());
        }
        Some(AppliedValue {
            key: key.clone(),
            stamp,
            value,
            source,
            lag: Duration::ZERO,
        })
    }

    /// Returns whether some version of each list of the index is in force or refused.
    pub fn has_all_lists(&self, index: &CatalogueIndex) -> bool {
        index
            .keys()
            .filter(|key| key.starts_with("instances/"))
            .all(|key| self.in_force.contains_key(key) || self.refusals.contains_key(key))
    }

    /// Returns the keys that a daemon needs for its own service and the services that it calls.
    pub fn needed_keys(&self, services: &[SmolStr]) -> HashSet<SmolStr> {
        let selected = services.iter().filter_map(|name| self.selections.get(name));
        services
            .iter()
            .map(|name| format!("services/{name}").into())
            .chain(selected.map(|name| format!("profiles/{name}").into()))
            .collect()
    }

    /// Returns the state of the keys that the daemon needs, for operators.
    pub fn report(
        &self,
        index: &CatalogueIndex,
        roles: &CatalogueRoles,
        now: Instant,
    ) -> Vec<KeyReport> {
        let mut keys: Vec<&SmolStr> = roles.needed().chain(self.in_force.keys()).collect();
        keys.sort_unstable();
        keys.dedup();
        let report = |key| self.key_report(key, index, now);
        keys.into_iter().map(report).collect()
    }

    fn key_report(&self, key: &SmolStr, index: &CatalogueIndex, now: Instant) -> KeyReport {
        let in_force = self.in_force.get(key);
        KeyReport {
            key: key.clone(),
            version: in_force.map(|value| value.stamp.version),
            digest: in_force.map(|value| value.stamp.digest.hex()),
            source: in_force.map(|value| value.source),
            age_s: in_force.map(|value| now.saturating_duration_since(value.since).as_secs()),
            latest_version: index.get(key).map(|record| record.latest.version),
            refusal: self.refusals.get(key).cloned(),
        }
    }
}
