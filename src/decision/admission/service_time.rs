//! Mean service time of the backend server.

use crate::common::*;

/// Divisor that gives the weight of a new sample in the mean: 1/16.
const SMOOTHING_DIVISOR: f64 = 16.0;

/// Time without samples after which the mean expires. Otherwise the mean of a slow period could
/// cause every request to be refused, so that no new sample would ever correct it.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Exponentially weighted mean of the time from the start of a completed request to the end of its
/// response.
#[derive(Clone, Debug, Default)]
pub struct ServiceTime {
    state: Option<(f64, Instant)>,
}

impl ServiceTime {
    /// Records the service time of a completed request.
    pub fn record(&mut self, service_time: Duration, now: Instant) {
        let sample = service_time.as_secs_f64();
        let mean = self.state.map_or(sample, |(mean, _)| mean);
        self.state = Some((mean + (sample - mean) / SMOOTHING_DIVISOR, now));
    }

    /// Returns the mean, or `None` if there is no recent sample.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        self.state
            .filter(|(_, recorded_at)| now <= *recorded_at + MAX_AGE)
            .map(|(mean, _)| Duration::from_secs_f64(mean))
    }

    /// Drops the mean.
    pub fn reset(&mut self) {
        self.state = None;
    }
}
