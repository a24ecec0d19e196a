//! Measured latency of an upstream.

use crate::common::*;

/// Weight of the newest measurement.
const NEWEST_WEIGHT: f64 = 0.2;

/// Age after which an average is unknown again. Without it, an upstream that was slow once and is
/// rarely chosen since would keep the old figure.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Moving average of the latency of answered attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyAverage {
    latest: Option<(f64, Instant)>,
}

impl LatencyAverage {
    /// Adds a measurement.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let measured = latency.as_secs_f64();
        let average = self.seconds(now).map_or(measured, |average| {
            average + NEWEST_WEIGHT * (measured - average)
        });
        self.latest = Some((average, now));
    }

    /// Returns the average in seconds, unless it is unknown or too old.
    pub fn seconds(&self, now: Instant) -> Option<f64> {
        self.latest
            .filter(|(_, at)| now.saturating_duration_since(*at) < MAX_AGE)
            .map(|(average, _)| average)
    }

    /// Drops the average.
    pub fn clear(&mut self) {
        self.latest = None;
    }
}
