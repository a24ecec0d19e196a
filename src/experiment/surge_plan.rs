//! Load plan of a surge experiment.

use crate::common::*;

/// Share of the load in one class.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// Name of the class.
    pub name: SmolStr,
    /// Path of the requests.
    pub path: SmolStr,
    /// Share of all requests, in percent.
    pub share_percent: u32,
}

/// Load before, during and after the trigger, a period of increased demand.
#[derive(Clone, Debug)]
pub struct SurgePlan {
    /// Requests per second from callers before and after the trigger.
    pub base_rate: f64,
    /// Factor by which the request rate grows during the trigger.
    pub surge_factor: f64,
    /// Time before the trigger.
    pub before: Duration,
    /// Duration of the trigger.
    pub trigger: Duration,
    /// Time after the trigger.
    pub after: Duration,
    /// Time after which a caller abandons an attempt.
    pub caller_timeout: Duration,
    /// Maximum attempts of a caller at one request, including the first.
    pub caller_attempts: u32,
    /// Classes; their shares add up to 100.
    pub classes: Vec<ClassLoad>,
    /// Seed for the random arrival times and classes.
    pub seed: u64,
}

/// Phase of a surge experiment.
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
    /// Returns the phase at an elapsed time, or `None` after the end of the experiment.
    pub fn phase(&self, elapsed: Duration) -> Option<SurgePhase> {
        if elapsed < self.before {
            Some(SurgePhase::Before)
        } else if elapsed < self.before + self.trigger {
            Some(SurgePhase::Trigger)
        } else if elapsed < self.duration() {
            Some(SurgePhase::After)
        } else {
            None
        }
    }

    /// Returns the request rate of a phase, in requests per second.
    pub fn rate(&self, phase: SurgePhase) -> f64 {
        match phase {
            SurgePhase::Trigger => self.base_rate * self.surge_factor,
            SurgePhase::Before | SurgePhase::After => self.base_rate,
        }
    }

    /// Returns the duration of a phase.
    pub fn phase_duration(&self, phase: SurgePhase) -> Duration {
        match phase {
            SurgePhase::Before => self.before,
            SurgePhase::Trigger => self.trigger,
            SurgePhase::After => self.after,
        }
    }

    /// Returns the duration of the whole experiment.
    pub fn duration(&self) -> Duration {
        self.before + self.trigger + self.after
    }

    /// Returns the index of the class at a point of the cumulative shares, in percent. A uniformly
    /// random point yields each class with the probability of its share.
    pub fn class_at(&self, percent: u32) -> usize {
        let mut cumulative_percent = 0;
        self.classes
            .iter()
            .position(|class| {
                cumulative_percent += class.share_percent;
                percent < cumulative_percent
            })
            .unwrap_or(self.classes.len() - 1)
    }
}
