//! Waits that end with a condition instead of a time.

use crate::common::*;

/// Interval of the checks.
const POLL: Duration = Duration::from_millis(5);

/// Waits until a condition holds. There is no time limit, so that a slow machine does not change
/// the result of a test.
pub async fn wait_until(mut is_met: impl AsyncFnMut() -> bool) {
    while !is_met().await {
        tokio::time::sleep(POLL).await;
    }
}
