//! Mean service times by route.

use crate::common::*;

/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Maximum number of routes with a mean. Beyond it, the first route in the map is dropped.
const MAX_ROUTES: usize = 1_024;

/// Exponential moving averages of the service time of each route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    means: IndexMap<SmolStr, f64>,
}

impl ServiceTimes {
    /// Records the service time of one request; returns the new mean.
    pub fn record(&mut self, route: &SmolStr, time: Duration) -> Duration {
        let time = time.as_secs_f64();
        if let Some(mean) = self.means.get_mut(route) {
            *mean += (time - *mean) * SAMPLE_WEIGHT;
            return Duration::from_secs_f64(*mean);
        }
        if self.means.len() >= MAX_ROUTES {
            self.means.swap_remove_index(0);
        }
        self.means.insert(route.clone(), time);
        Duration::from_secs_f64(time)
    }

    /// Sets the mean of a route to one that a peer measured.
    pub fn set(&mut self, route: &SmolStr, mean: Duration) {
        if let Some(current) = self.means.get_mut(route) {
            *current = mean.as_secs_f64();
            return;
        }
        if self.means.len() >= MAX_ROUTES {
            self.means.swap_remove_index(0);
        }
        self.means.insert(route.clone(), mean.as_secs_f64());
    }

    /// Returns the mean service time of a route.
    pub fn mean(&self, route: &str) -> Option<Duration> {
        self.means.get(route).copied().map(Duration::from_secs_f64)
    }
}
