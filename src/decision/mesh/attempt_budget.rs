//! Share of the fleet's budget of repeated requests that one daemon may spend.

use crate::common::*;
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

/// Part of the bound that the daemons plan to use. The rest covers repeats of calls that repeated
/// requests make further down.
const PLANNED_SHARE: f64 = 0.5;

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
    services: IndexMap<SmolStr, VecDeque<CountSlot>>,
}

impl AttemptBudget {
    /// Creates an empty budget.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            services: IndexMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &SmolStr, now: Instant) {
        self.slot(service, now).requests += 1.0;
    }

    /// Takes one repeat at a service; returns false if the share of this daemon is used up.
    /// `daemons` is the number of daemons that share the slack.
    pub fn take_repeat(&mut self, service: &SmolStr, daemons: usize, now: Instant) -> bool {
        let bounds = self.bounds;
        self.slot(service, now);
        let slots = &self.services[service];
        let requests: f64 = slots.iter().map(|slot| slot.requests).sum();
        let repeats: f64 = slots.iter().map(|slot| slot.repeats).sum();
        let slack = bounds.slack / daemons.max(1) as f64;
        if repeats + 1.0 > PLANNED_SHARE * (bounds.ratio * requests + slack).max(1.0) {
            return false;
        }
        self.slot(service, now).repeats += 1.0;
        true
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
