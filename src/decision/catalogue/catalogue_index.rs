//! Index of the versions of all catalogue keys.

use super::version_stamp::{IndexRecord, VersionStamp};
use crate::common::*;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Maximum number of keys in an index.
pub const MAX_KEYS: usize = 4_096;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Buckets of the index, which are compared separately. With 128 buckets the hashes take about
/// 1 KB, and one changed key among 4,096 causes 32 records to be sent.
pub const INDEX_BUCKETS: usize = 128;

/// Result of merging a version into the index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeResult {
    /// The index had an older version or none, and is updated.
    Newer,
    /// The index already had this or a higher version.
    Known,
    /// The index has this version with a different digest; it is not changed.
    Conflict,
    /// The key is malformed, the version is 0, or the index is full.
    Refused,
}

/// Hashes of an index, by which two daemons detect where their indexes differ.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexHashes {
    /// Hash over the hashes of all buckets.
    pub root: u64,
    /// Hash of each bucket, or empty if only the root hash is compared.
    pub buckets: Vec<u64>,
}

#[derive(Clone, Debug)]
struct IndexEntry {
    latest: VersionStamp,
    valid: Option<VersionStamp>,
}

/// Latest version and highest valid version of each key. Neither ever decreases.
#[derive(Clone, Debug)]
pub struct CatalogueIndex {
    entries: IndexMap<SmolStr, IndexEntry>,
    buckets: Vec<u64>,
    conflicts: u64,
}

impl CatalogueIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self {
            entries: IndexMap::new(),
            buckets: vec![0; INDEX_BUCKETS],
            conflicts: 0,
        }
    }

    /// Merges a record received from a peer.
    pub fn merge(&mut self, record: &IndexRecord) -> MergeResult {
        let latest = self.merge_latest(&record.key, record.latest);
        if matches!(latest, MergeResult::Refused) {
            return latest;
        }
        let valid = record.valid.map_or(MergeResult::Known, |stamp| {
            self.merge_valid(&record.key, stamp)
        });
        match (latest, valid) {
            (MergeResult::Newer, _) | (_, MergeResult::Newer) => MergeResult::Newer,
            (MergeResult::Conflict, _) | (_, MergeResult::Conflict) => MergeResult::Conflict,
            _ => MergeResult::Known,
        }
    }

    /// Merges a version that was published, valid or not.
    pub fn merge_latest(&mut self, key: &str, stamp: VersionStamp) -> MergeResult {
        if !is_valid_key(key) || stamp.version == 0 {
            return MergeResult::Refused;
        }
        let Some(entry) = self.entries.get(key) else {
            return self.insert(key, stamp);
        };
        let known = [Some(entry.latest), entry.valid];
        if is_conflict(known, stamp) {
            self.conflicts += 1;
            return MergeResult::Conflict;
        }
        if stamp.version <= entry.latest.version {
            return MergeResult::Known;
        }
        self.update(key, |entry| entry.latest = stamp);
        MergeResult::Newer
    }

    /// Merges a version that passed validation.
    pub fn merge_valid(&mut self, key: &str, stamp: VersionStamp) -> MergeResult {
        match self.merge_latest(key, stamp) {
            MergeResult::Newer | MergeResult::Known => {}
            other => return other,
        }
        let current = self.entries.get(key).and_then(|entry| entry.valid);
        if current.is_some_and(|valid| valid.version >= stamp.version) {
            return MergeResult::Known;
        }
        self.update(key, |entry| entry.valid = Some(stamp));
        MergeResult::Newer
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &str) -> Option<IndexRecord> {
        let (key, entry) = self.entries.get_key_value(key)?;
        Some(to_record(key, entry))
    }

    /// Returns whether a version is the latest or the highest valid one of a key.
    pub fn is_current(&self, key: &str, stamp: VersionStamp) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.latest == stamp || entry.valid == Some(stamp))
    }

    /// Returns whether the latest version of a key passed validation.
    pub fn is_latest_valid(&self, key: &str) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.valid == Some(entry.latest))
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = IndexRecord> {
        self.entries
            .iter()
            .map(|(key, entry)| to_record(key, entry))
    }

    /// Returns all keys.
    pub fn keys(&self) -> impl Iterator<Item = &SmolStr> {
        self.entries.keys()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the index has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how often a known version was received with a different digest.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns the hash over all records, which does not depend on their order.
    pub fn root_hash(&self) -> u64 {
        self.buckets
            .iter()
            .fold(Xxh3::new(), |mut hasher, bucket| {
                hasher.update(&bucket.to_le_bytes());
                hasher
            })
            .digest()
    }

    /// Returns the root hash and the hashes of all buckets.
    pub fn hashes(&self) -> IndexHashes {
        IndexHashes {
            root: self.root_hash(),
            buckets: self.buckets.clone(),
        }
    }

    /// Returns the records of the buckets whose hashes differ from those of another index.
    pub fn differing_records(&self, buckets: &[u64]) -> Vec<IndexRecord> {
        if buckets.len() != INDEX_BUCKETS {
            return Vec::new();
        }
        self.entries
            .iter()
            .filter(|(key, _)| {
                let bucket = bucket_of(key);
                self.buckets[bucket] != buckets[bucket]
            })
            .map(|(key, entry)| to_record(key, entry))
            .collect()
    }

    fn insert(&mut self, key: &str, stamp: VersionStamp) -> MergeResult {
        if self.entries.len() >= MAX_KEYS {
            return MergeResult::Refused;
        }
        let entry = IndexEntry {
            latest: stamp,
            valid: None,
        };
        self.buckets[bucket_of(key)] ^= entry_hash(key, &entry);
        self.entries.insert(key.into(), entry);
        MergeResult::Newer
    }

    fn update(&mut self, key: &str, update: impl FnOnce(&mut IndexEntry)) {
        if let Some(entry) = self.entries.get_mut(key) {
            let bucket = &mut self.buckets[bucket_of(key)];
            *bucket ^= entry_hash(key, entry);
            update(entry);
            *bucket ^= entry_hash(key, entry);
        }
    }
}

impl Default for CatalogueIndex {
    fn default() -> Self {
        Self::new()
    }
}

fn is_valid_key(key: &str) -> bool {
    let name = ["profiles/", "services/", "instances/"]
        .iter()
        .find_map(|prefix| key.strip_prefix(prefix));
    // Only characters that need no escape, since the key becomes part of a request path.
    let is_valid_name = |name: &str| {
        !name.is_empty()
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
    };
    key.len() <= MAX_KEY_BYTES && name.is_some_and(is_valid_name)
}

fn is_conflict(known: [Option<VersionStamp>; 2], stamp: VersionStamp) -> bool {
    known
        .into_iter()
        .flatten()
        .any(|known| known.version == stamp.version && known.digest != stamp.digest)
}

fn to_record(key: &SmolStr, entry: &IndexEntry) -> IndexRecord {
    IndexRecord {
        key: key.clone(),
        latest: entry.latest,
        valid: entry.valid,
    }
}

fn bucket_of(key: &str) -> usize {
    xxh3_64(key.as_bytes()) as usize % INDEX_BUCKETS
}

fn entry_hash(key: &str, entry: &IndexEntry) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    for stamp in std::iter::once(entry.latest).chain(entry.valid) {
        hasher.update(&stamp.version.to_le_bytes());
        hasher.update(&stamp.digest.0);
    }
    hasher.digest()
}
