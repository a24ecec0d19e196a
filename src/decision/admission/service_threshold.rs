//! Admission threshold of a called service, derived from its responses.

use crate::{
    common::*,
    decision::{admission::priority_level::PriorityLevel, request_priority::RequestPriority},
};

/// Time without responses after which a threshold expires.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Divisor that gives the weight of a new response in the smoothed level: 1/8.
const SMOOTHING_DIVISOR: i64 = 8;

/// Estimate of the lowest priority that a called service admits, from the thresholds that it
/// reports.
///
/// The instances of a service report different thresholds, so the estimate is smoothed: it moves
/// towards each reported threshold instead of taking its value.
#[derive(Clone, Debug, Default)]
pub struct ServiceThreshold {
    state: Option<(PriorityLevel, Instant)>,
}

impl ServiceThreshold {
    /// Records the threshold of a response.
    pub fn record(&mut self, threshold: RequestPriority, now: Instant) {
        let current = i64::from(self.level(now).0);
        let reported = i64::from(PriorityLevel::from(threshold).0);
        let change = reported - current;
        // Rounds away from zero, so that the level reaches a threshold that is reported constantly.
        let step = (change.abs() + SMOOTHING_DIVISOR - 1) / SMOOTHING_DIVISOR * change.signum();
        self.state = Some((PriorityLevel((current + step) as u32), now));
    }

    /// Returns whether the service is expected to admit a call of this priority.
    pub fn admits(&self, priority: RequestPriority, now: Instant) -> bool {
        PriorityLevel::from(priority) <= self.level(now)
    }

    /// Returns the threshold to report to callers, or `None` if every priority is admitted.
    pub fn priority(&self, now: Instant) -> Option<RequestPriority> {
        let level = self.level(now);
        (level < PriorityLevel::lowest()).then(|| level.into())
    }

    /// Drops the threshold, for example after a pause of the process.
    pub fn reset(&mut self) {
        self.state = None;
    }

    fn level(&self, now: Instant) -> PriorityLevel {
        match self.state {
            Some((level, recorded_at)) if now <= recorded_at + MAX_AGE => level,
            _ => PriorityLevel::lowest(),
        }
    }
}
