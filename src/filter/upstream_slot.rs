//! Place of an attempt in the in-flight count of its upstream.

use crate::{
    common::*,
    decision::routing::upstream_set::{AttemptResult, UpstreamKey},
    shell::daemon::DaemonState,
};

/// Counts an attempt as in flight. Dropping it gives the place back as abandoned, so that a
/// cancelled attempt does not stay counted.
pub struct UpstreamSlot {
    daemon: Arc<DaemonState>,
    service: SmolStr,
    key: UpstreamKey,
    start: Instant,
    latency: Option<Duration>,
    is_finished: bool,
}

impl UpstreamSlot {
    /// Takes over the place that the choice of the upstream has counted.
    pub fn new(daemon: &Arc<DaemonState>, service: &SmolStr, key: UpstreamKey) -> Self {
        Self {
            daemon: Arc::clone(daemon),
            service: service.clone(),
            key,
            start: daemon.clock.now(),
            latency: None,
            is_finished: false,
        }
    }

    /// Returns the key of the upstream.
    pub fn key(&self) -> UpstreamKey {
        self.key
    }

    /// Returns the start of the attempt.
    pub fn started(&self) -> Instant {
        self.start
    }

    /// Fixes the latency at the arrival of the response head and returns it.
    pub fn stop_clock(&mut self) -> Duration {
        let elapsed = self.daemon.clock.now() - self.start;
        *self.latency.get_or_insert(elapsed)
    }

    /// Gives the place back.
    pub fn finish(mut self, result: AttemptResult) {
        self.give_back(result);
    }

    fn give_back(&mut self, result: AttemptResult) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let latency = self.stop_clock();
        let now = self.daemon.clock.now();
        let upstreams = &self.daemon.upstreams;
        upstreams.finish(&self.service, self.key, result, latency, now);
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        self.give_back(AttemptResult::Abandoned);
    }
}
