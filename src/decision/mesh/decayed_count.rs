//! Counter with exponential decay.

use crate::common::*;

/// Time constant of the decay: the weight of a past event falls to 1/e in this time.
pub const DECAY_TIME: Duration = Duration::from_secs(8);

/// Counter whose value decays exponentially, so that old events weigh less than new ones.
#[derive(Clone, Copy, Debug)]
pub struct DecayedCount {
    value: f64,
    updated_at: Instant,
}

impl DecayedCount {
    /// Creates a counter at zero.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            updated_at: now,
        }
    }

    /// Adds to the count.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.get(now) + amount;
        self.updated_at = now;
    }

    /// Returns the count at `now`.
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
