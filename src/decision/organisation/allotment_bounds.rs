//! Tolerance with which allotments are kept.

use crate::common::*;

/// Bound on the requests of an organisation that all daemons together let run in any window: the
/// allotment, times 1 plus `overshoot`, plus `slack`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentBounds {
    /// Length of the sliding window in seconds.
    pub window_s: f64,
    /// Share of the allotment by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for AllotmentBounds {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overshoot: 0.1,
            slack: 0.0,
        }
    }
}
