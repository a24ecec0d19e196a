//! Budget of extra attempts for one target service.

use crate::{common::*, decision::profile::service_profile::RetryLimits};

/// Length of a counting period. The budget looks at the current period and the one before.
const PERIOD: Duration = Duration::from_secs(5);

/// Bounds extra attempts to a share of the first attempts of the last two periods.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    period_start: Option<Instant>,
    first: [u64; 2],
    extra: [u64; 2],
}

impl RetryBudget {
    /// Creates a budget without any attempts.
    pub fn new(limits: &RetryLimits) -> Self {
        Self {
            percent: limits.budget_percent.into(),
            period_start: None,
            first: [0; 2],
            extra: [0; 2],
        }
    }

    /// Puts a new share in force.
    pub fn set_limits(&mut self, limits: &RetryLimits) {
        self.percent = limits.budget_percent.into();
    }

    /// Counts a first attempt.
    pub fn on_first(&mut self, now: Instant) {
        self.turn(now);
        self.first[0] += 1;
    }

    /// Takes one extra attempt; returns false when the budget is used up.
    pub fn take_extra(&mut self, now: Instant) -> bool {
        self.turn(now);
        let extra: u64 = self.extra.iter().sum();
        let first: u64 = self.first.iter().sum();
        if (extra + 1) * 100 > first * self.percent {
            return false;
        }
        self.extra[0] += 1;
        true
    }

    fn turn(&mut self, now: Instant) {
        let start = *self.period_start.get_or_insert(now);
        if now < start + PERIOD {
            return;
        }
        let is_next = now < start + 2 * PERIOD;
        self.first = [0, if is_next { self.first[0] } else { 0 }];
        self.extra = [0, if is_next { self.extra[0] } else { 0 }];
        self.period_start = Some(if is_next { start + PERIOD } else { now });
    }
}
