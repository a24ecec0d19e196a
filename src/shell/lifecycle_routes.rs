//! Routes `/ready` and `/drain` of the admin listener.

use crate::{
    common::*,
    decision::lifecycle::lifecycle_phase::{DrainCause, LifecyclePhase},
    shell::{admin_server::json_response, daemon::DaemonState},
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder},
    state::State,
};
use http::StatusCode;
use std::pin::Pin;

/// Response body of `/ready` and `/drain`.
#[derive(Debug, Serialize)]
struct PhaseReport {
    ready: bool,
    phase: LifecyclePhase,
}

#[derive(Clone, Copy, Debug)]
enum LifecycleAction {
    Report,
    Drain,
}

#[derive(Clone)]
struct LifecycleHandler {
    daemon: Arc<DaemonState>,
    action: LifecycleAction,
}

impl NewHandler for LifecycleHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for LifecycleHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let phase = self.daemon.lifecycle.phase();
            let report = PhaseReport {
                ready: phase == LifecyclePhase::Serving,
                phase,
            };
            let status = match self.action {
                LifecycleAction::Drain => {
                    self.daemon.lifecycle.request_drain(DrainCause::Operator);
                    StatusCode::ACCEPTED
                }
                LifecycleAction::Report if report.ready => StatusCode::OK,
                LifecycleAction::Report => StatusCode::SERVICE_UNAVAILABLE,
            };
            Ok((state, json_response(status, &report)))
        }
        .boxed()
    }
}

/// Adds the routes. `/drain` accepts POST only, since it changes state.
pub(super) fn add(route: &mut RouterBuilder<'_, (), ()>, daemon: &Arc<DaemonState>) {
    let handler = |action| LifecycleHandler {
        daemon: Arc::clone(daemon),
        action,
    };
    route
        .get("/ready")
        .to_new_handler(handler(LifecycleAction::Report));
    route
        .post("/drain")
        .to_new_handler(handler(LifecycleAction::Drain));
}
