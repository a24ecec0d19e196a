//! Count whose past weighs less with time.

use crate::common::*;

/// Time in which the weight of a past event falls to 1/e.
pub const DECAY_TIME: Duration = Duration::from_secs(8);

/// Count whose past weighs less with time.
#[derive(Clone, Copy, Debug)]
pub struct DecayedCount {
    value: f64,
    at: Instant,
}

impl DecayedCount {
    /// Creates a count of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    /// Adds to the count.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.get(now) + amount;
        self.at = now;
    }

    /// Returns the count at `now`.
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
