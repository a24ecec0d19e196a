//! Load of a surge experiment.

use crate::common::*;

/// Requests of one class.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// Name of the class.
    pub name: SmolStr,
    /// Path of its requests.
    pub path: SmolStr,
    /// Share of all requests, in percent.
    pub share_percent: u32,
}

/// Load before, during and after a trigger.
#[derive(Clone, Debug)]
pub struct SurgePlan {
    /// Requests of callers a second before and after the trigger.
    pub base_rate: f64,
    /// Factor on the rate during the trigger.
    pub surge_factor: f64,
    /// Time before the trigger.
    pub before: Duration,
    /// Length of the trigger.
    pub trigger: Duration,
    /// Time after the trigger.
    pub after: Duration,
    /// Time after which a caller gives an attempt up.
    pub caller_timeout: Duration,
    /// Attempts that a caller makes for one request, the first included.
    pub caller_attempts: u32,
    /// Classes, whose shares sum up to 100.
    pub classes: Vec<ClassLoad>,
    /// Seed of arrivals and classes.
    pub seed: u64,
}

/// Part of a surge experiment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum SurgePhase {
    /// Before the trigger.
    Before,
    /// During the trigger.
    Trigger,
    /// After the trigger.
    After,
}

impl SurgePhase {
    /// All phases in order.
    pub const ALL: [Self; 3] = [Self::Before, Self::Trigger, Self::After];
}

impl SurgePlan {
    /// Returns the phase at a time since the start, or `None` after the end.
    pub fn phase(&self, elapsed: Duration) -> Option<SurgePhase> {
        if elapsed < self.before {
            Some(SurgePhase::Before)
        } else if elapsed < self.before + self.trigger {
            Some(SurgePhase::Trigger)
        } else if elapsed < self.length() {
            Some(SurgePhase::After)
        } else {
            None
        }
    }

    /// Returns the rate of a phase in requests a second.
    pub fn rate(&self, phase: SurgePhase) -> f64 {
        match phase {
            SurgePhase::Trigger => self.base_rate * self.surge_factor,
            SurgePhase::Before | SurgePhase::After => self.base_rate,
        }
    }

    /// Returns the length of a phase.
    pub fn phase_length(&self, phase: SurgePhase) -> Duration {
        match phase {
            SurgePhase::Before => self.before,
            SurgePhase::Trigger => self.trigger,
            SurgePhase::After => self.after,
        }
    }

    /// Returns the length of the whole experiment.
    pub fn length(&self) -> Duration {
        self.before + self.trigger + self.after
    }

    /// Returns the index of the class at a point of the cumulated shares, in percent.
    pub fn class_at(&self, percent: u32) -> usize {
        let mut sum = 0;
        self.classes
            .iter()
            .position(|class| {
                sum += class.share_percent;
                percent < sum
            })
            .unwrap_or(self.classes.len() - 1)
    }
}
