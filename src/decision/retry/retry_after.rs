//! Time after which a refused request may be retried.

use crate::{
    common::*,
    decision::{profile::service_profile::RetryLimits, request_priority::RequestPriority},
};

/// Spreads the retries of refused requests over a time window.
///
/// The position in the window depends on the rank, so that requests that were refused at the same
/// time are not retried at the same time, and important ones are retried first.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    earliest: Duration,
    window: Duration,
}

impl RetryAfter {
    /// Creates a spread over `window`, which starts `earliest` after the refusal.
    pub fn new(earliest: Duration, window: Duration) -> Self {
        Self { earliest, window }
    }

    /// Creates the spread of a profile.
    pub fn for_profile(limits: &RetryLimits) -> Self {
        Self::new(
            Duration::from_millis(limits.retry_after_ms.into()),
            Duration::from_millis(limits.retry_after_window_ms.into()),
        )
    }

    /// Returns the time after which a request of this priority may be retried.
    pub fn for_request(&self, priority: RequestPriority) -> Duration {
        self.earliest + self.window * u32::from(priority.rank) / (1 << 16)
    }
}

impl Default for RetryAfter {
    fn default() -> Self {
        Self::new(Duration::from_millis(500), Duration::from_secs(1))
    }
}
