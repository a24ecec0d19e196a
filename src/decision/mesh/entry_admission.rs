//! Admission of root requests at their entry.

use crate::common::*;

/// Time for which a refused request is expected to come back.
const RETURN_TIME: Duration = Duration::from_secs(4);

/// Most refused requests that are remembered.
const MAX_RETURNS: usize = 20_000;

/// Credit that returning requests may take in advance, in requests.
const MAX_ADVANCE: f64 = 10.0;

/// Admits the planned share of the requests of each route, those first that were refused before.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    credits: IndexMap<SmolStr, f64>,
    refused: IndexMap<u64, Instant>,
}

impl EntryAdmission {
    /// Decides on a request. `fingerprint` is the same when a caller sends the request again.
    pub fn admit(&mut self, route: &SmolStr, share: f64, fingerprint: u64, now: Instant) -> bool {
        let returned = self.refused.swap_remove(&fingerprint);
        let is_returning = returned.is_some_and(|at| at + RETURN_TIME > now);
        if share >= 1.0 {
            self.credits.swap_remove(route);
            return true;
        }
        let credit = self.credits.entry(route.clone()).or_insert(0.5);
        *credit = (*credit + share).min(1.0 + share);
        let needed = if is_returning && share > 0.0 {
            -MAX_ADVANCE
        } else {
            1.0
        };
        if *credit >= needed {
            *credit -= 1.0;
            return true;
        }
        self.remember(fingerprint, now);
        false
    }

    fn remember(&mut self, fingerprint: u64, now: Instant) {
        if self.refused.len() >= MAX_RETURNS {
            self.refused.retain(|_, at| *at + RETURN_TIME > now);
        }
        if self.refused.len() < MAX_RETURNS {
            self.refused.insert(fingerprint, now);
        }
    }
}
