//! Detection of changes that were told and did not arrive.

use crate::common::*;

/// Time for which a daemon waits for changes that another one knows already. They may come from a third
/// one at any moment.
const NEWS_TIME: Duration = Duration::from_millis(300);

/// Time for which a daemon waits for the answer to its question before it asks another one.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Revision up to which the entries are known without a gap.
#[derive(Debug, Default)]
pub struct NewsGap {
    revision: u64,
    behind_since: Option<Instant>,
    asked: Option<Instant>,
}

impl NewsGap {
    /// Returns the revision up to which the entries are known without a gap.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that all entries are known as of a revision.
    pub fn complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records changes up to `last` that follow `previous`. Those behind a gap do not count.
    pub fn extend(&mut self, previous: u64, last: u64) {
        if previous <= self.revision {
            self.revision = self.revision.max(last);
        }
    }

    /// Returns whether to ask a daemon for all it knows, since its changes did not arrive in time.
    /// `is_behind` tells that it knows a later configuration.
    pub fn needs_all(&mut self, revision: u64, is_behind: bool, now: Instant) -> bool {
        if revision <= self.revision && !is_behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        // A daemon that knows nothing yet is not told of changes either.
        let is_under_way = self.revision > 0 && since + NEWS_TIME > now;
        if is_under_way || self.asked.is_some_and(|at| at + ANSWER_TIME > now) {
            return false;
        }
        self.behind_since = Some(now);
        self.asked = Some(now);
        true
    }
}
