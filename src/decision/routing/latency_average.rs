//! Measured latency of an upstream.

use crate::common::*;

/// Weight of the newest measurement in the average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Age after which an average expires. Without this limit, an upstream that was slow once and has
/// rarely been chosen since would keep its old average.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Exponentially weighted moving average of the latency of attempts that received a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyAverage {
    latest: Option<(f64, Instant)>,
}

impl LatencyAverage {
    /// Records a measurement.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let measured = latency.as_secs_f64();
        let average = self.seconds(now).map_or(measured, |average| {
            average + NEWEST_WEIGHT * (measured - average)
        });
        self.latest = Some((average, now));
    }

    /// Returns the average in seconds, or `None` if there is no recent measurement.
    pub fn seconds(&self, now: Instant) -> Option<f64> {
        self.latest
            .filter(|(_, recorded_at)| now.saturating_duration_since(*recorded_at) < MAX_AGE)
            .map(|(average, _)| average)
    }

    /// Drops the average.
    pub fn reset(&mut self) {
        self.latest = None;
    }
}
