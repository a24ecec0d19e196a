//! Graceful shutdown of a daemon.

use crate::common::*;

/// Time between two checks above which the process counts as paused in between.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// Time after a pause for reading the requests that arrived during it.
const READ_TIME: Duration = Duration::from_millis(200);

/// Decides when a daemon that was asked to stop exits: once its clients have disconnected and all
/// requests are completed, or at the latest time allowed.
#[derive(Debug)]
pub struct ShutdownWait {
    earliest: Instant,
    latest: Instant,
    last_check: Instant,
}

impl ShutdownWait {
    /// Starts the wait at `now`. The clients have disconnected by `earliest`, and the process exits
    /// no later than `latest`.
    pub fn new(earliest: Instant, latest: Instant, now: Instant) -> Self {
        Self {
            earliest,
            latest,
            last_check: now,
        }
    }

    /// Returns whether the process exits now. `is_idle` is true if no request is open.
    pub fn is_done(&mut self, is_idle: bool, now: Instant) -> bool {
        if now.saturating_duration_since(self.last_check) > PAUSE_THRESHOLD {
            // Requests that arrived during the pause may still be unread in their connections.
            self.earliest = self.earliest.max(now + READ_TIME);
        }
        self.last_check = now;
        now >= self.latest || (is_idle && now >= self.earliest)
    }
}
