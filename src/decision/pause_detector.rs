//! Detection of pauses of this process.

use crate::common::*;

/// Interval at which [`PauseDetector::tick`] is called.
pub const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest gap between two ticks that does not count as a pause.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Detects from gaps between ticks that the process did not run, for example because it
/// was stopped with SIGSTOP.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Instant,
}

impl PauseDetector {
    /// Creates a detector whose first gap starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: now }
    }

    /// Records a tick; returns the length of the pause that ended with it, if any.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        (gap > MAX_TICK_GAP).then_some(gap)
    }
}
