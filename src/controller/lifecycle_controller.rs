//! Life-cycle phase of this daemon and the latest deadline of its accepted requests.

use crate::{
    common::*,
    decision::{
        lifecycle::{
            lifecycle_phase::{DrainCause, LifecyclePhase},
            lifecycle_state::{Lifecycle, LifecycleState},
        },
        membership::incarnation::Incarnation,
    },
};
use tokio::sync::watch;

#[derive(Debug)]
struct AcceptState {
    phase: LifecyclePhase,
    latest_deadline: Option<Instant>,
}

/// Publishes the life-cycle phase, which [`crate::shell::daemon::run`] changes.
#[derive(Debug)]
pub struct LifecycleController {
    incarnation: Incarnation,
    state: Mutex<AcceptState>,
    drain: watch::Sender<Option<DrainCause>>,
}

impl LifecycleController {
    /// Creates a controller in the phase [`LifecyclePhase::Starting`].
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            state: Mutex::new(AcceptState {
                phase: LifecyclePhase::Starting,
                latest_deadline: None,
            }),
            drain: watch::Sender::new(None),
        }
    }

    /// Returns the incarnation of the daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the current phase.
    pub fn phase(&self) -> LifecyclePhase {
        self.state.lock().phase
    }

    /// Publishes a new phase.
    pub fn publish_phase<S: LifecycleState>(&self, lifecycle: &Lifecycle<S>) {
        self.state.lock().phase = lifecycle.phase();
    }

    /// Requests a drain; causes after the first one are ignored.
    pub fn request_drain(&self, cause: DrainCause) {
        self.drain.send_if_modified(|current| {
            let is_first = current.is_none();
            current.get_or_insert(cause);
            is_first
        });
    }

    /// Waits until a drain is requested and returns its cause.
    pub async fn drain_requested(&self) -> DrainCause {
        let mut receiver = self.drain.subscribe();
        let cause = receiver.wait_for(Option::is_some).await;
        // The sender lives as long as `self`, so the wait cannot fail.
        cause.map_or(DrainCause::Signal, |cause| {
            cause.unwrap_or(DrainCause::Signal)
        })
    }

    /// Accepts a request, or returns the phase if it is not [`LifecyclePhase::Serving`].
    ///
    /// The phase is checked and the deadline is recorded under one lock, so that a drain waits for
    /// every request that was accepted before it.
    pub fn accept(&self, deadline: Instant) -> Result<(), LifecyclePhase> {
        let mut state = self.state.lock();
        if state.phase != LifecyclePhase::Serving {
            return Err(state.phase);
        }
        state.latest_deadline = state.latest_deadline.max(Some(deadline));
        Ok(())
    }

    /// Returns the latest deadline of all accepted requests.
    pub fn latest_deadline(&self) -> Option<Instant> {
        self.state.lock().latest_deadline
    }
}
