//! Bound on the runs that were removed from a table of runs.

use crate::{common::*, decision::mesh::run_table::RunId};

/// Most senders of which runs are remembered as forgotten: several processes of each daemon of a
/// large fleet.
const MAX_SENDERS: usize = 16_384;

/// Runs that a table has removed. Senders count their runs, so one number for each sender stands for
/// all of them: a run below it that is not in the table may have been there.
#[derive(Debug, Default)]
pub struct ForgottenRuns {
    /// Number after the last removed run of each sender, in the order in which senders were added.
    ends: IndexMap<u64, u64>,
    /// Whether senders were dropped, so that one that is not listed may have had runs here.
    has_dropped_senders: bool,
}

impl ForgottenRuns {
    /// Records that a run was removed.
    pub fn add(&mut self, id: RunId) {
        let end = self.ends.entry(id.sender).or_default();
        *end = (*end).max(id.number.saturating_add(1));
        if self.ends.len() > MAX_SENDERS {
            self.ends.shift_remove_index(0);
            self.has_dropped_senders = true;
        }
    }

    /// Returns whether a run that is not in the table may have been removed from it.
    pub fn may_contain(&self, id: RunId) -> bool {
        self.ends
            .get(&id.sender)
            .is_some_and(|end| id.number < *end)
    }

    /// Returns whether nothing is known of a sender whose runs may have been removed.
    pub fn may_have_dropped(&self, sender: u64) -> bool {
        self.has_dropped_senders && !self.ends.contains_key(&sender)
    }
}
