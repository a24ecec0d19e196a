//! Queue of changed records that are still to be pushed to peers.

use super::{catalogue_index::CatalogueIndex, version_stamp::IndexRecord};
use crate::common::*;

/// Number of rounds in which a changed record is pushed.
const PUSH_ROUNDS: u8 = 3;

/// Maximum number of records in one push. Larger changes reach the peers through the comparison of
/// hashes.
const MAX_PUSH_RECORDS: usize = 64;

/// Keys of changed records, each with the number of rounds left.
#[derive(Debug, Default)]
pub struct PushQueue {
    rounds_left: IndexMap<SmolStr, u8>,
}

impl PushQueue {
    /// Adds a changed record.
    pub fn add(&mut self, key: &SmolStr) {
        self.rounds_left.insert(key.clone(), PUSH_ROUNDS);
    }

    /// Returns whether there is nothing to push.
    pub fn is_empty(&self) -> bool {
        self.rounds_left.is_empty()
    }

    /// Returns the records of the next push.
    pub fn next_records(&self, index: &CatalogueIndex) -> Vec<IndexRecord> {
        let keys = self.rounds_left.keys().take(MAX_PUSH_RECORDS);
        keys.filter_map(|key| index.get(key)).collect()
    }

    /// Records that the records of [`Self::next_records`] were pushed.
    pub fn finish_round(&mut self) {
        for rounds in self.rounds_left.values_mut().take(MAX_PUSH_RECORDS) {
            *rounds -= 1;
        }
        self.rounds_left.retain(|_, rounds| *rounds > 0);
    }
}
