//! Detection of pauses of the own process.

use crate::common::*;

/// Interval at which the detector is to be fed.
pub const PAUSE_TICK: Duration = Duration::from_millis(100);

/// Longest time between two ticks that is not a pause.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Detects that the process did not run for a while, from the gaps between ticks.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Instant,
}

impl PauseDetector {
    /// Creates a detector.
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
