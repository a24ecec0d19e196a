//! Threshold that the gate of a daemon derives from its own queue.

use crate::{
    common::*,
    decision::{admission::priority_level::PriorityLevel, request_priority::RequestPriority},
};

/// Shortest time between two falls. A burst of sheds that have one cause counts as one signal.
const FALL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two steps upwards while the queue is empty.
const RISE_INTERVAL: Duration = Duration::from_millis(10);

/// First step upwards: 1/64 of the unmarked requests of a class.
const FIRST_STEP: u32 = (1 << 16) / 64;

/// Lowest priority that the gate admits.
#[derive(Debug)]
pub struct AdmissionThreshold {
    level: PriorityLevel,
    step: u32,
    last_fall: Option<Instant>,
    last_rise: Option<Instant>,
}

impl Default for AdmissionThreshold {
    fn default() -> Self {
        Self {
            level: PriorityLevel::lowest(),
            step: FIRST_STEP,
            last_fall: None,
            last_rise: None,
        }
    }
}

impl AdmissionThreshold {
    /// Returns the lowest priority that is admitted.
    pub fn priority(&self) -> RequestPriority {
        self.level.into()
    }

    /// Lowers the threshold so that `cut` and lower priorities are no longer admitted.
    pub fn fall_below(&mut self, cut: PriorityLevel, now: Instant) {
        if self
            .last_fall
            .is_some_and(|last| now < last + FALL_INTERVAL)
        {
            return;
        }
        self.level = self.level.min(cut.above());
        self.step = FIRST_STEP;
        self.last_fall = Some(now);
        self.last_rise = Some(now);
    }

    /// Raises the threshold by one step; called while the queue is empty. The step doubles each
    /// time, since most levels between two classes carry no requests.
    pub fn rise(&mut self, now: Instant) {
        if self
            .last_rise
            .is_some_and(|last| now < last + RISE_INTERVAL)
        {
            return;
        }
        self.level = self.level.lowered(self.step);
        self.step = self.step.saturating_mul(2);
        self.last_rise = Some(now);
    }

    /// Admits every priority again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
