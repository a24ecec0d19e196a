//! Guard for the in-flight count of an upstream.

use crate::{
    common::*,
    decision::routing::upstream_set::{AttemptResult, UpstreamKey},
    shell::daemon::DaemonState,
};

/// Attempt that is counted as in flight at its upstream. Dropping it removes it from the count and
/// records it as abandoned, so that a cancelled attempt does not stay in the count.
pub struct UpstreamGuard {
    daemon: Arc<DaemonState>,
    service: SmolStr,
    key: UpstreamKey,
    start: Instant,
    latency: Option<Duration>,
    is_finished: bool,
}

impl UpstreamGuard {
    /// Creates the guard of an attempt that was counted when its upstream was chosen.
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

    /// Returns when the attempt started.
    pub fn started(&self) -> Instant {
        self.start
    }

    /// Records the latency, normally when the response head arrives, and returns it. Later calls
    /// return the first value.
    pub fn record_latency(&mut self) -> Duration {
        let elapsed = self.daemon.clock.now() - self.start;
        *self.latency.get_or_insert(elapsed)
    }

    /// Removes the attempt from the count and records its result.
    pub fn finish(mut self, result: AttemptResult) {
        self.release(result);
    }

    fn release(&mut self, result: AttemptResult) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let latency = self.record_latency();
        let now = self.daemon.clock.now();
        let upstreams = &self.daemon.upstreams;
        upstreams.finish(&self.service, self.key, result, latency, now);
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.release(AttemptResult::Abandoned);
    }
}
