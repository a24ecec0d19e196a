//! Rising share of a new instance.

use crate::{common::*, decision::routing::routing_config::RoutingConfig};

/// Cold-start ramp of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct ColdRamp {
    start: Option<Instant>,
}

impl ColdRamp {
    /// Returns a ramp that has ended.
    pub fn warm() -> Self {
        Self { start: None }
    }

    /// Returns a ramp that begins at `start`.
    pub fn starting(start: Instant) -> Self {
        Self { start: Some(start) }
    }

    /// Returns the weight of the upstream, from the start share of the profile up to 1.
    pub fn weight(&self, config: &RoutingConfig, now: Instant) -> f64 {
        let Some(start) = self.start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start);
        if age >= config.ramp_time {
            return 1.0;
        }
        let progress = age.as_secs_f64() / config.ramp_time.as_secs_f64();
        let first = config.ramp_start.clamp(0.01, 1.0);
        first + (1.0 - first) * progress
    }
}
