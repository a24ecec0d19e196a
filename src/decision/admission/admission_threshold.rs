//! Admission threshold that a daemon derives from its own queue.

use crate::{
    common::*,
    decision::{admission::priority_level::PriorityLevel, request_priority::RequestPriority},
};

/// Shortest time between two tightenings. A burst of shed requests with a single cause must not
/// tighten the threshold several times.
const MIN_TIGHTEN_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest time between two relaxations.
const MIN_RELAX_INTERVAL: Duration = Duration::from_millis(10);

/// Size of the first relaxation in levels: 1/64 of the ranks of a class.
const FIRST_RELAX_STEP: u32 = (1 << 16) / 64;

/// Lowest priority that the gate admits.
#[derive(Debug)]
pub struct AdmissionThreshold {
    level: PriorityLevel,
    relax_step: u32,
    last_tightened: Option<Instant>,
    last_changed: Option<Instant>,
}

impl Default for AdmissionThreshold {
    fn default() -> Self {
        Self {
            level: PriorityLevel::lowest(),
            relax_step: FIRST_RELAX_STEP,
            last_tightened: None,
            last_changed: None,
        }
    }
}

impl AdmissionThreshold {
    /// Returns the lowest priority that is admitted.
    pub fn priority(&self) -> RequestPriority {
        self.level.into()
    }

    /// Tightens the threshold so that `cutoff` and less important levels are no longer admitted.
    pub fn tighten(&mut self, cutoff: PriorityLevel, now: Instant) {
        if self
            .last_tightened
            .is_some_and(|last| now < last + MIN_TIGHTEN_INTERVAL)
        {
            return;
        }
        self.level = self.level.min(cutoff.next_more_important());
        self.relax_step = FIRST_RELAX_STEP;
        self.last_tightened = Some(now);
        self.last_changed = Some(now);
    }

    /// Relaxes the threshold by one step; called while the queue is empty. The step doubles each
    /// time, since most levels between two classes have no requests.
    pub fn relax(&mut self, now: Instant) {
        if self
            .last_changed
            .is_some_and(|last| now < last + MIN_RELAX_INTERVAL)
        {
            return;
        }
        self.level = self.level.less_important_by(self.relax_step);
        self.relax_step = self.relax_step.saturating_mul(2);
        self.last_changed = Some(now);
    }

    /// Resets the threshold so that it admits every priority.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
