//! Average rate of events.

use crate::common::*;

/// Exponentially weighted average of the events per second.
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    time_constant_s: f64,
    rate: f64,
    updated_at: Instant,
}

impl EventRate {
    /// Creates a rate of zero with a time constant in seconds.
    pub fn new(time_constant_s: f64, now: Instant) -> Self {
        Self {
            time_constant_s,
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        self.rate = self.get(now) + 1.0 / self.time_constant_s;
        self.updated_at = now;
    }

    /// Takes back an event that was counted at `counted_at`: what is left of it in the average.
    pub fn take_back(&mut self, counted_at: Instant, now: Instant) {
        let left = self.weight(now.saturating_duration_since(counted_at));
        self.rate = (self.get(now) - left / self.time_constant_s).max(0.0);
        self.updated_at = now;
    }

    /// Returns the events per second.
    pub fn get(&self, now: Instant) -> f64 {
        self.rate * self.weight(now.saturating_duration_since(self.updated_at))
    }

    /// Returns the weight of an event of this age, from 0 to 1.
    pub fn weight(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.time_constant_s).exp()
    }
}
