//! Values that a daemon stores in memory.

use super::version_stamp::VersionStamp;
use crate::common::*;
use bytes::Bytes;

/// Maximum total size of the values, in bytes.
pub const MAX_CACHE_BYTES: usize = 16 << 20;

/// Values by key and version; at most the latest and the highest valid version of each key.
#[derive(Debug, Default)]
pub struct ValueCache {
    values: IndexMap<SmolStr, Vec<(VersionStamp, Bytes)>>,
    bytes: usize,
}

impl ValueCache {
    /// Returns a value.
    pub fn get(&self, key: &str, stamp: VersionStamp) -> Option<&Bytes> {
        let versions = self.values.get(key)?;
        versions
            .iter()
            .find(|(known, _)| *known == stamp)
            .map(|(_, bytes)| bytes)
    }

    /// Stores a value; returns false if the cache is full.
    pub fn insert(&mut self, key: &str, stamp: VersionStamp, bytes: Bytes) -> bool {
        if self.get(key, stamp).is_some() {
            return true;
        }
        if self.bytes + bytes.len() > MAX_CACHE_BYTES {
            return false;
        }
        self.bytes += bytes.len();
        let versions = self.values.entry(key.into()).or_default();
        versions.push((stamp, bytes));
        true
    }

    /// Drops the versions for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, VersionStamp) -> bool) {
        let mut bytes = 0;
        self.values.retain(|key, versions| {
            versions.retain(|(stamp, _)| keep(key, *stamp));
            bytes += versions.iter().map(|(_, value)| value.len()).sum::<usize>();
            !versions.is_empty()
        });
        self.bytes = bytes;
    }

    /// Returns the total size of the values, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
