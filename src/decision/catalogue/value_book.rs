//! Values of a daemon and which of them are in force.

use super::{
    catalogue_index::CatalogueIndex,
    catalogue_message::AppliedValue,
    catalogue_report::{KeyRefusal, KeyReport, ValueSource},
    catalogue_roles::CatalogueRoles,
    catalogue_value::CatalogueValue,
    value_store::{MAX_STORE_BYTES, ValueStore},
    version_stamp::VersionStamp,
};
use crate::common::*;
use bytes::Bytes;
use std::collections::HashSet;

/// Bytes of the store that values for others must leave free.
const OWN_RESERVE_BYTES: usize = 4 << 20;

#[derive(Debug)]
struct InForce {
    stamp: VersionStamp,
    source: ValueSource,
    since: Instant,
}

/// Values held, with their sources, refusals and what is in force.
#[derive(Debug, Default)]
pub struct ValueBook {
    store: ValueStore,
    sources: IndexMap<SmolStr, ValueSource>,
    refusals: IndexMap<SmolStr, KeyRefusal>,
    in_force: IndexMap<SmolStr, InForce>,
    selections: IndexMap<SmolStr, SmolStr>,
}

impl ValueBook {
    /// Returns a value.
    pub fn get(&self, key: &str, stamp: VersionStamp) -> Option<&Bytes> {
        self.store.get(key, stamp)
    }

    /// Returns the bytes of all values.
    pub fn bytes(&self) -> usize {
        self.store.bytes()
    }

    /// Returns the stamp in force of a key.
    pub fn in_force(&self, key: &str) -> Option<VersionStamp> {
        self.in_force.get(key).map(|in_force| in_force.stamp)
    }

    /// Stores a value that the daemon wants; returns false when it is not stored.
    pub fn insert(
        &mut self,
        key: &SmolStr,
        stamp: VersionStamp,
        bytes: &Bytes,
        source: ValueSource,
        roles: &CatalogueRoles,
    ) -> bool {
        if !roles.wants(key) {
            return false;
        }
        let reserve = if roles.needs(key) {
            0
        } else {
            OWN_RESERVE_BYTES
        };
        let is_fitting = self.store.bytes() + bytes.len() + reserve <= MAX_STORE_BYTES;
        if !is_fitting || !self.store.insert(key, stamp, bytes.clone()) {
            return false;
        }
        self.sources.insert(key.clone(), source);
        true
    }

    /// Records that a version is refused.
    pub fn refuse(&mut self, key: &SmolStr, version: u64, reason: String) {
        let refusal = KeyRefusal { version, reason };
        self.refusals.insert(key.clone(), refusal);
    }

    /// Drops the values that are no longer current or wanted.
    pub fn prune(&mut self, index: &CatalogueIndex, roles: &CatalogueRoles) {
        self.store
            .retain(|key, stamp| index.is_current(key, stamp) && roles.wants(key));
    }

    /// Puts the highest valid value of a key in force if it is stored, needed and higher.
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
        let value = CatalogueValue::parse(key, self.store.get(key, stamp)?).ok()?;
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

    /// Returns the keys that a daemon of these services needs.
    pub fn needed_keys(&self, services: &[SmolStr]) -> HashSet<SmolStr> {
        let selected = services.iter().filter_map(|name| self.selections.get(name));
        services
            .iter()
            .map(|name| format!("services/{name}").into())
            .chain(selected.map(|name| format!("profiles/{name}").into()))
            .collect()
    }

    /// Returns the state of the needed keys for operators.
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
