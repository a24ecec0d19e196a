//! Rate of the requests of one organisation.

use crate::{common::*, decision::event_rate::EventRate};

/// Time constant of the average, in seconds.
const TIME_CONSTANT_S: f64 = 0.5;

/// Shortest time over which requests are averaged after the start of the process.
const MIN_COUNTED_TIME: Duration = Duration::from_millis(250);

/// Average of the requests per second. Soon after the start of the process, it covers the time since
/// then.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    started: Instant,
    rate: EventRate,
}

impl DemandRate {
    /// Creates the rate of requests that are counted since `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            rate: EventRate::new(TIME_CONSTANT_S, started),
        }
    }

    /// Counts a request.
    pub fn record(&mut self, now: Instant) {
        self.rate.record(now);
    }

    /// Takes back a request that was counted at `counted_at`.
    pub fn take_back(&mut self, counted_at: Instant, now: Instant) {
        self.rate.take_back(counted_at, now);
    }

    /// Returns the requests per second.
    pub fn get(&self, now: Instant) -> f64 {
        let counted_time = now.saturating_duration_since(self.started);
        let covered = 1.0 - self.rate.weight(counted_time.max(MIN_COUNTED_TIME));
        self.rate.get(now) / covered
    }
}
