//! Gradual increase of the calls that a new instance receives.

use crate::{common::*, decision::routing::routing_config::RoutingConfig};

/// Warm-up of one upstream: its weight increases linearly, since a server is slow after its start.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpRamp {
    start: Option<Instant>,
}

impl WarmUpRamp {
    /// Creates a ramp that is finished.
    pub fn finished() -> Self {
        Self { start: None }
    }

    /// Creates a ramp that starts at `start`.
    pub fn starting_at(start: Instant) -> Self {
        Self { start: Some(start) }
    }

    /// Returns the weight of the upstream, between `RoutingConfig::ramp_start` and 1.
    pub fn weight(&self, config: &RoutingConfig, now: Instant) -> f64 {
        let Some(start) = self.start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start);
        if age >= config.ramp_time {
            return 1.0;
        }
        let progress = age.as_secs_f64() / config.ramp_time.as_secs_f64();
        let initial = config.ramp_start.clamp(0.01, 1.0);
        initial + (1.0 - initial) * progress
    }
}
