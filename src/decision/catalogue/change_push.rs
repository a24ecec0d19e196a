//! Records that changed and are still to be pushed.

use super::{catalogue_index::CatalogueIndex, version_stamp::IndexRecord};
use crate::common::*;

/// Rounds in which a changed record is pushed.
const PUSH_ROUNDS: u8 = 3;

/// Records in one push; a larger change spreads by comparison of the hashes.
const MAX_PUSH_RECORDS: usize = 64;

/// Queue of changed records, each with the rounds left.
#[derive(Debug, Default)]
pub struct ChangePush {
    rounds: IndexMap<SmolStr, u8>,
}

impl ChangePush {
    /// Adds a changed record.
    pub fn add(&mut self, key: &SmolStr) {
        self.rounds.insert(key.clone(), PUSH_ROUNDS);
    }

    /// Returns whether nothing is to be pushed.
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// Returns the records of the next push.
    pub fn records(&self, index: &CatalogueIndex) -> Vec<IndexRecord> {
        let keys = self.rounds.keys().take(MAX_PUSH_RECORDS);
        keys.filter_map(|key| index.get(key)).collect()
    }

    /// Records that [`Self::records`] were pushed.
    pub fn finish_round(&mut self) {
        for rounds in self.rounds.values_mut().take(MAX_PUSH_RECORDS) {
            *rounds -= 1;
        }
        self.rounds.retain(|_, rounds| *rounds > 0);
    }
}
