//! Load as reported by an upstream itself.

use crate::common::*;

/// Age after which a hint is ignored.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Largest factor by which a hint increases or decreases the cost of an upstream. Reports can be
/// stuck at an old value or inverted, so the daemon's own measurements must be able to outweigh
/// them.
const MAX_FACTOR: f64 = 1.25;

/// Reported utilisation or probe result of an upstream. It changes the cost of the upstream, but
/// never excludes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHint {
    /// Reported utilisation from 0 (idle) to 1 (fully used); a failed probe counts as 1.
    pub utilisation: f64,
    /// Time at which the report was received.
    pub received: Instant,
}

impl LoadHint {
    /// Returns the factor on the cost of the upstream.
    pub fn factor(&self, now: Instant) -> f64 {
        let is_stale = now.saturating_duration_since(self.received) >= MAX_AGE;
        if is_stale || self.utilisation.is_nan() {
            return 1.0;
        }
        MAX_FACTOR.powf(self.utilisation.clamp(0.0, 1.0) * 2.0 - 1.0)
    }
}
