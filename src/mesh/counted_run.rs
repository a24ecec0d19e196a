//! Runs at the local backend server, counted while they are in flight.

use crate::{
    common::*,
    decision::{
        clock::Clock,
        mesh::{
            call_counts::{CallCounts, RunKey},
            load_summary::RouteRuns,
        },
    },
};

/// Counts a run as in flight until it is dropped.
pub struct CountedRun<'a> {
    counts: &'a Mutex<CallCounts>,
    clock: &'a dyn Clock,
    key: RunKey,
    /// Whether the backend server has responded with success.
    pub is_successful: bool,
}

impl<'a> CountedRun<'a> {
    /// Counts a run of a route from now on.
    pub fn start(counts: &'a Mutex<CallCounts>, clock: &'a dyn Clock, route: &SmolStr) -> Self {
        Self {
            key: counts.lock().record_start(route, clock.now()),
            counts,
            clock,
            is_successful: false,
        }
    }
}

impl Drop for CountedRun<'_> {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut counts = self.counts.lock();
        counts.record_end(self.key, self.is_successful, now);
    }
}

/// Returns the mean time of the runs of all routes; zero without any.
pub fn mean_run_time(runs: &[RouteRuns]) -> Duration {
    let count: f32 = runs.iter().map(|run| run.count).sum();
    let time_s: f32 = runs.iter().map(|run| run.count * run.mean_time_s).sum();
    Duration::try_from_secs_f32(time_s / count).unwrap_or_default()
}
