//! Times in documents of the platform.

use crate::common::*;

/// Longest time that is taken over. Sums of longer ones with the clock can overflow.
const MAX_STATED_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Decodes a time in seconds; returns `None` if it is negative or no number. Longer times than a day
/// are taken for a day.
pub fn decode_seconds(seconds: f64) -> Option<Duration> {
    let is_valid = seconds >= 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_STATED_TIME.as_secs_f64())))
}
