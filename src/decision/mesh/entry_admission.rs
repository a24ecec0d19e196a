//! Admission of root requests at their entry.

use crate::common::*;

/// Time within which a refused request that its caller sends again counts as a caller's retry.
const RETRY_WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of refused requests that are recorded.
const MAX_RECORDED_REFUSALS: usize = 20_000;

/// Number of requests by which preferred requests may overdraw the credit of their route while almost
/// all are admitted. It falls with the planned share: all daemons of a large fleet together would
/// otherwise admit seconds of the load beyond the plan.
const MAX_OVERDRAFT: f64 = 15.0;

/// Request of a route at its entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Name of the route.
    pub route: &'a SmolStr,
    /// Planned share of the route's requests.
    pub share: f64,
    /// Number that is the same when a caller sends the request again.
    pub fingerprint: u64,
    /// Whether the caller belongs to one of the most important organisations, while others are less
    /// important.
    pub is_important: bool,
}

/// Admits the planned share of the requests of each route, and prefers requests of important
/// organisations and those that were refused before. Each request adds the share to the credit of its
/// route; an admitted one takes 1 from it.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    credits: IndexMap<SmolStr, f64>,
    refused: IndexMap<u64, Instant>,
}

impl EntryAdmission {
    /// Returns whether a request is admitted.
    pub fn admit(&mut self, request: EntryRequest<'_>, now: Instant) -> bool {
        let EntryRequest {
            route,
            share,
            fingerprint,
            is_important,
        } = request;
        let refused_at = self.refused.swap_remove(&fingerprint);
        let is_retry = refused_at.is_some_and(|at| at + RETRY_WINDOW > now);
        if share >= 1.0 {
            self.credits.swap_remove(route);
            return true;
        }
        let credit = self.credits.entry(route.clone()).or_insert(0.5);
        *credit = (*credit + share).min(1.0 + share);
        let needed = if (is_retry || is_important) && share > 0.0 {
            -MAX_OVERDRAFT * share
        } else {
            1.0
        };
        if *credit >= needed {
            *credit -= 1.0;
            return true;
        }
        self.record_refusal(fingerprint, now);
        false
    }

    fn record_refusal(&mut self, fingerprint: u64, now: Instant) {
        if self.refused.len() >= MAX_RECORDED_REFUSALS {
            self.refused.retain(|_, at| *at + RETRY_WINDOW > now);
        }
        if self.refused.len() < MAX_RECORDED_REFUSALS {
            self.refused.insert(fingerprint, now);
        }
    }
}
