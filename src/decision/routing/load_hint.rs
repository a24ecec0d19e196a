//! Load that an upstream reports about itself.

use crate::common::*;

/// Age after which a hint counts no more.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Largest factor by which a hint raises or lowers the cost of an upstream. Reports can be frozen
/// or reversed, so own measurements must be able to outweigh them.
const MAX_FACTOR: f64 = 1.25;

/// Reported utilisation or probe result of an upstream; a hint only, it never excludes anyone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHint {
    /// Reported utilisation, 0 idle to 1 busy; a failed probe counts as 1.
    pub utilisation: f64,
    /// Arrival of the report.
    pub received: Instant,
}

impl LoadHint {
    /// Returns the factor on the cost of the upstream.
    pub fn factor(&self, now: Instant) -> f64 {
        let is_old = now.saturating_duration_since(self.received) >= MAX_AGE;
        if is_old || self.utilisation.is_nan() {
            return 1.0;
        }
        MAX_FACTOR.powf(self.utilisation.clamp(0.0, 1.0) * 2.0 - 1.0)
    }
}
