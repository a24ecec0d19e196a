//! Average rate of requests.

use crate::common::*;

/// Time constant of the average, in seconds.
const TIME_CONSTANT_S: f64 = 0.5;

/// Shortest time over which requests are averaged after the start of the process, in seconds.
const MIN_COUNTED_S: f64 = 0.25;

/// Exponentially weighted average of the requests per second.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    started: Instant,
    rate: f64,
    updated_at: Instant,
}

impl DemandRate {
    /// Creates the rate of requests that are counted since `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            rate: 0.0,
            updated_at: started,
        }
    }

    /// Counts a request.
    pub fn record(&mut self, now: Instant) {
        self.add(1.0, now);
    }

    /// Takes back a request that was counted at `counted_at`: what is left of it in the average.
    pub fn take_back(&mut self, counted_at: Instant, now: Instant) {
        let age = now.saturating_duration_since(counted_at).as_secs_f64();
        self.add(-(-age / TIME_CONSTANT_S).exp(), now);
    }

    fn add(&mut self, requests: f64, now: Instant) {
        self.rate = (self.decayed(now) + requests / TIME_CONSTANT_S).max(0.0);
        self.updated_at = now;
    }

    /// Returns the requests per second. Soon after the start, they are those since the start.
    pub fn get(&self, now: Instant) -> f64 {
        let counted = now.saturating_duration_since(self.started).as_secs_f64();
        let weight = 1.0 - (-counted.max(MIN_COUNTED_S) / TIME_CONSTANT_S).exp();
        self.decayed(now) / weight
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.rate * (-age / TIME_CONSTANT_S).exp()
    }
}
