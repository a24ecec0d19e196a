//! End of attempts whose sender goes away.

use crate::{
    common::*,
    controller::upstream_controller::UpstreamController,
    decision::{
        clock::Clock,
        routing::upstream_set::{AttemptResult, UpstreamKey},
    },
};

/// Counts an attempt as abandoned when it is dropped before the attempt has a result. Without it,
/// a cancelled call would count as in flight forever.
pub struct AttemptGuard {
    /// Sets of upstreams.
    pub upstreams: Arc<UpstreamController>,
    /// Clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// Called service.
    pub service: SmolStr,
    /// Upstream of the attempt; `None` once the attempt has a result.
    pub key: Option<UpstreamKey>,
}

impl AttemptGuard {
    /// Leaves the end of the attempt to the caller.
    pub fn disarm(mut self) {
        self.key = None;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let Some(key) = self.key.take() else {
            return;
        };
        let now = self.clock.now();
        let result = AttemptResult::Abandoned;
        self.upstreams
            .finish(&self.service, key, result, Duration::ZERO, now);
    }
}
