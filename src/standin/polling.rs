//! Waiting for a condition by polling.

use crate::common::*;

/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds. There is no timeout, so a slow machine does not change the result
/// of a test.
pub async fn wait_until(mut is_met: impl AsyncFnMut() -> bool) {
    while !is_met().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
