//! Share of the fleet's retry budget that one daemon may spend.

use crate::{common::*, decision::mesh::admission_plan::ServiceCost};
use std::collections::VecDeque;

/// Limits on retries for the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetBounds {
    /// Retries per request of a service.
    pub ratio: f64,
    /// Additional retries of the whole fleet per service and window.
    pub slack: f64,
    /// Length of the sliding window in seconds.
    pub window_s: f64,
}

impl Default for BudgetBounds {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 0.0,
            window_s: 10.0,
        }
    }
}

/// Longest window. Sums of longer ones with the clock can overflow.
const MAX_WINDOW: Duration = Duration::from_secs(60 * 60);

/// Share of the retries allowed by [`BudgetBounds::ratio`] that is divided in proportion to the
/// requests that enter at each daemon. This share and `EVEN_SHARE` add up to less than 1, as a
/// reserve for retries whose costs are underestimated.
const LOCAL_SHARE: f64 = 0.35;

/// Share of the limit, [`BudgetBounds::slack`] included, that is divided evenly among all daemons.
const EVEN_SHARE: f64 = 0.35;

/// Number of buckets into which a window is divided for counting.
const BUCKETS: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct CountBucket {
    start: Instant,
    requests: f64,
    retries: f64,
}

/// Part of the fleet's retry budget that one daemon may spend, with the daemon's requests and
/// retries of each service in the sliding window.
#[derive(Debug)]
pub struct FleetRetryBudget {
    bounds: BudgetBounds,
    started: Instant,
    services: IndexMap<SmolStr, VecDeque<CountBucket>>,
}

impl FleetRetryBudget {
    /// Creates an empty budget. Retries of an earlier process of this daemon are not recorded, so
    /// its share grows over the first window.
    pub fn new(bounds: BudgetBounds, now: Instant) -> Self {
        Self {
            bounds,
            started: now,
            services: IndexMap::new(),
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &SmolStr, now: Instant) {
        self.bucket(service, now).requests += 1.0;
    }

    /// Takes one retry with all the runs that it causes from the budget; returns false, and takes
    /// nothing, if the share of this daemon is used up at one of the services. `rate` returns the
    /// requests per second of the whole fleet for a service, and `daemons` is the number of
    /// daemons.
    pub fn take_retry(
        &mut self,
        costs: &[ServiceCost],
        rate: impl Fn(&str) -> f64,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let is_granted = costs
            .iter()
            .all(|cost| self.is_within_share(cost, rate(&cost.service), daemons, now));
        if is_granted {
            for cost in costs {
                self.bucket(&cost.service, now).retries += cost.runs;
            }
        }
        is_granted
    }

    fn is_within_share(
        &mut self,
        cost: &ServiceCost,
        rate: f64,
        daemons: usize,
        now: Instant,
    ) -> bool {
        self.bucket(&cost.service, now);
        let buckets = &self.services[&cost.service];
        let requests: f64 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: f64 = buckets.iter().map(|bucket| bucket.retries).sum();
        let bounds = self.bounds;
        let fleet_limit = bounds.ratio * rate * bounds.window_s + bounds.slack;
        let even_part = EVEN_SHARE * fleet_limit / daemons.max(1) as f64;
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let ramp_up = (age / bounds.window_s).min(1.0);
        retries + cost.runs <= ramp_up * (LOCAL_SHARE * bounds.ratio * requests + even_part)
    }

    fn bucket(&mut self, service: &SmolStr, now: Instant) -> &mut CountBucket {
        let window = Duration::try_from_secs_f64(self.bounds.window_s);
        let window = window.map_or(MAX_WINDOW, |window| window.min(MAX_WINDOW));
        let length = window / BUCKETS;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = &mut self.services[service];
        while buckets
            .front()
            .is_some_and(|bucket| bucket.start + window + length < now)
        {
            buckets.pop_front();
        }
        if buckets
            .back()
            .is_none_or(|bucket| bucket.start + length <= now)
        {
            buckets.push_back(CountBucket {
                start: now,
                requests: 0.0,
                retries: 0.0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
