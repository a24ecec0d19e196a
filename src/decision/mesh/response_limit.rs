//! How long a daemon waits for a response of the store before it takes the connection for silent.

use crate::common::*;

/// Time for which a watch waits for changes. A connection that went silent is detected only when
/// its response is overdue, so a shorter time puts changes in force earlier after such a fault; a
/// longer one needs fewer calls.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest limit. The store usually responds within milliseconds.
const MIN_LIMIT: Duration = Duration::from_millis(500);

/// Longest limit, also the limit of a call on a new connection.
pub const MAX_RESPONSE_LIMIT: Duration = Duration::from_millis(1_500);

/// Factor from the longest recent response time to the limit.
const LIMIT_FACTOR: u32 = 3;

/// Limit of the response time on a connection that has been in use, derived from the response times
/// before. A slow store gets more time, so that its connections are not given up again and again.
#[derive(Debug, Default)]
pub struct ResponseLimit {
    /// Longest response time; each shorter one lowers it by a quarter.
    response_time: Duration,
}

impl ResponseLimit {
    /// Records the time of a response, without the time for which a watch was asked to wait.
    pub fn record(&mut self, response_time: Duration) {
        self.response_time = response_time.max(self.response_time * 3 / 4);
    }

    /// Returns the time after which the connection counts as silent.
    pub fn limit(&self) -> Duration {
        (self.response_time * LIMIT_FACTOR).clamp(MIN_LIMIT, MAX_RESPONSE_LIMIT)
    }
}
