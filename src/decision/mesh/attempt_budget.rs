//! Share of the fleet's budget of repeated requests that one daemon may spend.

use crate::{common::*, decision::mesh::admission_plan::ServiceCost};
use std::collections::VecDeque;

/// Bounds on repeated requests that all daemons share.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetBounds {
    /// Repeated requests for each request of a service.
    pub ratio: f64,
    /// Repeated requests of the fleet that are allowed besides, for each service and window.
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

/// Part of the bound that each daemon derives from the requests that enter at itself. Both parts leave
/// a rest for repeats whose costs are underestimated.
const OWN_SHARE: f64 = 0.35;

/// Part of the bound that all daemons split evenly.
const EVEN_SHARE: f64 = 0.35;

/// Slots into which a window is divided for counting.
const SLOTS: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct CountSlot {
    start: Instant,
    requests: f64,
    repeats: f64,
}

/// Requests and repeats of each service in the sliding window.
#[derive(Debug)]
pub struct AttemptBudget {
    bounds: BudgetBounds,
    started: Instant,
    services: IndexMap<SmolStr, VecDeque<CountSlot>>,
}

impl AttemptBudget {
    /// Creates an empty budget. What the daemon spent before its start is not known, so that its share
    /// grows over the first window.
    pub fn new(bounds: BudgetBounds, now: Instant) -> Self {
        Self {
            bounds,
            started: now,
            services: IndexMap::new(),
        }
    }

    /// Puts new bounds in force.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &SmolStr, now: Instant) {
        self.slot(service, now).requests += 1.0;
    }

    /// Takes one repeat with all the runs that it causes; returns false, and takes nothing, if the
    /// share of this daemon is used up at one of the services. `rate` tells the requests per second
    /// of the whole fleet for a service, and `daemons` how many daemons there are.
    pub fn take_repeat(
        &mut self,
        costs: &[ServiceCost],
        rate: impl Fn(&str) -> f64,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let is_granted = costs
            .iter()
            .all(|cost| self.has_room(cost, rate(&cost.service), daemons, now));
        if is_granted {
            for cost in costs {
                self.slot(&cost.service, now).repeats += cost.runs;
            }
        }
        is_granted
    }

    fn has_room(&mut self, cost: &ServiceCost, rate: f64, daemons: usize, now: Instant) -> bool {
        self.slot(&cost.service, now);
        let slots = &self.services[&cost.service];
        let requests: f64 = slots.iter().map(|slot| slot.requests).sum();
        let repeats: f64 = slots.iter().map(|slot| slot.repeats).sum();
        let bounds = self.bounds;
        let fleet = bounds.ratio * rate * bounds.window_s + bounds.slack;
        let even = EVEN_SHARE * fleet / daemons.max(1) as f64;
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let grown = (age / bounds.window_s).min(1.0);
        repeats + cost.runs <= grown * (OWN_SHARE * bounds.ratio * requests + even)
    }

    fn slot(&mut self, service: &SmolStr, now: Instant) -> &mut CountSlot {
        let window = Duration::from_secs_f64(self.bounds.window_s);
        let length = window / SLOTS;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let slots = &mut self.services[service];
        while slots
            .front()
            .is_some_and(|slot| slot.start + window + length < now)
        {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| slot.start + length <= now) {
            slots.push_back(CountSlot {
                start: now,
                requests: 0.0,
                repeats: 0.0,
            });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}
