//! Sources of the current time.

use crate::common::*;

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current instant of the monotonic clock.
    fn now(&self) -> Instant;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// Clock that only [`ManualClock::advance`] moves, for tests and simulations.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Instant>,
}

impl ManualClock {
    /// Creates a clock that starts at the current time of the system.
    pub fn new() -> Self {
        Self {
            now: Mutex::new(Instant::now()),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        *self.now.lock() += step;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        *self.now.lock()
    }
}
