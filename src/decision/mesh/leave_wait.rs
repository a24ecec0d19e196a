//! Wait of a daemon that was asked to end.

use crate::common::*;

/// Time between two looks above which the process did not run in between.
const PAUSE_TIME: Duration = Duration::from_millis(100);

/// Time after a pause in which the requests are read that arrived meanwhile.
const READ_TIME: Duration = Duration::from_millis(200);

/// Wait of a daemon that was asked to end, until its clients have left and all requests are answered.
#[derive(Debug)]
pub struct LeaveWait {
    earliest: Instant,
    latest: Instant,
    last: Instant,
}

impl LeaveWait {
    /// Creates the wait from `now`; clients have left at `earliest`, and the process ends at `latest`.
    pub fn new(earliest: Instant, latest: Instant, now: Instant) -> Self {
        Self {
            earliest,
            latest,
            last: now,
        }
    }

    /// Returns whether the process ends now. `is_idle` tells that no request is open.
    pub fn is_over(&mut self, is_idle: bool, now: Instant) -> bool {
        if now.saturating_duration_since(self.last) > PAUSE_TIME {
            // Requests may wait in the connections that nobody has read since.
            self.earliest = self.earliest.max(now + READ_TIME);
        }
        self.last = now;
        now >= self.latest || (is_idle && now >= self.earliest)
    }
}
