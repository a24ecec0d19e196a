//! Budget of extra attempts for one called service.

use crate::{common::*, decision::profile::service_profile::RetryLimits};

/// Length of a counting period. The budget covers the current and the previous period.
const PERIOD: Duration = Duration::from_secs(5);

/// Limits extra attempts to a percentage of the first attempts, counted over two periods.
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

    /// Puts the percentage of a new profile in force.
    pub fn set_limits(&mut self, limits: &RetryLimits) {
        self.percent = limits.budget_percent.into();
    }

    /// Records a first attempt.
    pub fn record_first(&mut self, now: Instant) {
        self.rotate_periods(now);
        self.first[0] += 1;
    }

    /// Takes one extra attempt; returns false if the budget is used up.
    pub fn take_extra(&mut self, now: Instant) -> bool {
        self.rotate_periods(now);
        let extra: u64 = self.extra.iter().sum();
        let first: u64 = self.first.iter().sum();
        if (extra + 1) * 100 > first * self.percent {
            return false;
        }
        self.extra[0] += 1;
        true
    }

    fn rotate_periods(&mut self, now: Instant) {
        let start = *self.period_start.get_or_insert(now);
        if now < start + PERIOD {
            return;
        }
        let is_adjacent = now < start + 2 * PERIOD;
        self.first = [0, if is_adjacent { self.first[0] } else { 0 }];
        self.extra = [0, if is_adjacent { self.extra[0] } else { 0 }];
        self.period_start = Some(if is_adjacent { start + PERIOD } else { now });
    }
}
