//! Measured service time of the backend server.

use crate::common::*;

/// Share of a new sample in the mean: 1/16.
const SMOOTHING: f64 = 16.0;

/// Time without samples after which the estimate is dropped. Without this bound, a slow period
/// could leave an estimate that refuses every request and is never corrected.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Smoothed mean of the time from the start to the end of a request.
#[derive(Clone, Debug, Default)]
pub struct ServiceTime {
    state: Option<(f64, Instant)>,
}

impl ServiceTime {
    /// Records a completed request.
    pub fn observe(&mut self, latency: Duration, now: Instant) {
        let sample = latency.as_secs_f64();
        let mean = self.state.map_or(sample, |(mean, _)| mean);
        self.state = Some((mean + (sample - mean) / SMOOTHING, now));
    }

    /// Returns the mean; `None` without a recent sample.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        self.state
            .filter(|(_, seen)| now <= *seen + MAX_AGE)
            .map(|(mean, _)| Duration::from_secs_f64(mean))
    }

    /// Forgets all samples.
    pub fn reset(&mut self) {
        self.state = None;
    }
}
