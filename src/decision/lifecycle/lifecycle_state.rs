//! Life cycle of a daemon as a typestate.

use crate::{
    common::*,
    decision::{
        lifecycle::lifecycle_phase::{DrainCause, LifecyclePhase},
        membership::incarnation::Incarnation,
    },
};

/// State until the configuration is complete.
#[derive(Debug)]
pub struct Starting(());

/// State in which new requests are accepted.
#[derive(Debug)]
pub struct Serving(());

/// State in which new requests are refused and accepted ones are completed.
#[derive(Debug)]
pub struct Draining {
    cause: DrainCause,
    start: Instant,
}

/// State after the last accepted request is completed.
#[derive(Debug)]
pub struct Stopped(());

/// State of a lifecycle.
pub trait LifecycleState {
    /// Phase that corresponds to the state.
    const PHASE: LifecyclePhase;
}

impl LifecycleState for Starting {
    const PHASE: LifecyclePhase = LifecyclePhase::Starting;
}

impl LifecycleState for Serving {
    const PHASE: LifecyclePhase = LifecyclePhase::Serving;
}

impl LifecycleState for Draining {
    const PHASE: LifecyclePhase = LifecyclePhase::Draining;
}

impl LifecycleState for Stopped {
    const PHASE: LifecyclePhase = LifecyclePhase::Stopped;
}

/// Life cycle of one incarnation of a daemon.
#[derive(Debug)]
pub struct Lifecycle<S> {
    incarnation: Incarnation,
    state: S,
}

impl<S: LifecycleState> Lifecycle<S> {
    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the phase that corresponds to the state.
    pub fn phase(&self) -> LifecyclePhase {
        S::PHASE
    }

    fn into_draining(self, cause: DrainCause, now: Instant) -> Lifecycle<Draining> {
        Lifecycle {
            incarnation: self.incarnation,
            state: Draining { cause, start: now },
        }
    }
}

impl Lifecycle<Starting> {
    /// Starts the lifecycle of an incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            state: Starting(()),
        }
    }

    /// Starts to serve; called when the configuration is complete.
    pub fn serve(self) -> Lifecycle<Serving> {
        Lifecycle {
            incarnation: self.incarnation,
            state: Serving(()),
        }
    }

    /// Starts to drain before the daemon has served.
    pub fn drain(self, cause: DrainCause, now: Instant) -> Lifecycle<Draining> {
        self.into_draining(cause, now)
    }
}

impl Lifecycle<Serving> {
    /// Starts to drain.
    pub fn drain(self, cause: DrainCause, now: Instant) -> Lifecycle<Draining> {
        self.into_draining(cause, now)
    }
}

impl Lifecycle<Draining> {
    /// Returns the cause of the drain.
    pub fn cause(&self) -> DrainCause {
        self.state.cause
    }

    /// Returns when the listeners close. Until then, connections are accepted and their requests
    /// refused, since some callers have not received notice of the drain yet.
    pub fn refuses_until(&self, refusal_time: Duration) -> Instant {
        self.state.start + refusal_time
    }

    /// Ends the drain and the lifecycle.
    pub fn stop(self) -> Lifecycle<Stopped> {
        Lifecycle {
            incarnation: self.incarnation,
            state: Stopped(()),
        }
    }
}
