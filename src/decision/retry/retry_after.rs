//! Time after which a refused caller may come back.

use crate::{
    common::*,
    decision::{profile::service_profile::RetryLimits, request_priority::RequestPriority},
};

/// Spreads returning callers over a window.
///
/// The rank places a request in the window, so that callers of one moment do not come back
/// together and higher priorities come back first.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    earliest: Duration,
    window: Duration,
}

impl RetryAfter {
    /// Creates a spread over `window` that starts at `earliest`.
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

    /// Returns the time after which a request of this priority may be repeated.
    pub fn for_request(&self, priority: RequestPriority) -> Duration {
        self.earliest + self.window * u32::from(priority.rank) / (1 << 16)
    }
}

impl Default for RetryAfter {
    fn default() -> Self {
        Self::new(Duration::from_millis(500), Duration::from_secs(1))
    }
}
