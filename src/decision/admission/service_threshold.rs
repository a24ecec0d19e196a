//! Threshold of another service as learned from its responses.

use crate::{
    common::*,
    decision::{admission::priority_level::PriorityLevel, request_priority::RequestPriority},
};

/// Time without responses after which a threshold is dropped.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Share of a new observation in the kept level: 1/8.
const SMOOTHING: i64 = 8;

/// Lowest priority that a called service admits, as one daemon sees it.
///
/// The instances of a service report different thresholds, so that the kept level moves towards
/// each observation instead of jumping to it.
#[derive(Clone, Debug, Default)]
pub struct ServiceThreshold {
    state: Option<(PriorityLevel, Instant)>,
}

impl ServiceThreshold {
    /// Records the threshold of a response.
    pub fn observe(&mut self, threshold: RequestPriority, now: Instant) {
        let kept = i64::from(self.level(now).0);
        let seen = i64::from(PriorityLevel::from(threshold).0);
        let change = seen - kept;
        // Rounds away from zero, so that the level reaches a constant observation.
        let step = (change.abs() + SMOOTHING - 1) / SMOOTHING * change.signum();
        self.state = Some((PriorityLevel((kept + step) as u32), now));
    }

    /// Returns whether a call of this priority is worth sending.
    pub fn admits(&self, priority: RequestPriority, now: Instant) -> bool {
        PriorityLevel::from(priority) <= self.level(now)
    }

    /// Returns the threshold to report to callers; `None` when everything is admitted.
    pub fn priority(&self, now: Instant) -> Option<RequestPriority> {
        let level = self.level(now);
        (level < PriorityLevel::lowest()).then(|| level.into())
    }

    /// Forgets the threshold, for example after a pause of the process.
    pub fn reset(&mut self) {
        self.state = None;
    }

    fn level(&self, now: Instant) -> PriorityLevel {
        match self.state {
            Some((level, seen)) if now <= seen + MAX_AGE => level,
            _ => PriorityLevel::lowest(),
        }
    }
}
