//! Delay after which a task that panicked is started again.

use crate::common::*;

/// Delay before the first restart; it doubles with each further panic.
const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(2);

/// Time without a panic after which earlier ones no longer count.
const CALM_TIME: Duration = Duration::from_secs(10);

/// Panics, each within `CALM_TIME` of the one before, from which a task does not do its work.
const FAILING_PANICS: u32 = 3;

/// Restarts of one task.
#[derive(Debug, Default)]
pub struct RestartSchedule {
    panics: u32,
    last_panic: Option<Instant>,
}

impl RestartSchedule {
    /// Records a panic; returns the delay before the task is started again.
    pub fn record_panic(&mut self, now: Instant) -> Duration {
        if !self.is_recent(now) {
            self.panics = 0;
        }
        self.panics = self.panics.saturating_add(1);
        self.last_panic = Some(now);
        let doublings = (self.panics - 1).min(8);
        (INITIAL_RESTART_DELAY * 2u32.pow(doublings)).min(MAX_RESTART_DELAY)
    }

    /// Returns whether the task panics again and again.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.panics >= FAILING_PANICS && self.is_recent(now)
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.last_panic
            .is_some_and(|at| now.saturating_duration_since(at) < CALM_TIME)
    }
}
