//! Listener for operators.

use crate::{
    common::*,
    controller::gate_controller::GateLoad,
    shell::{daemon::DaemonState, lifecycle_routes},
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
    },
    state::State,
};
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, Full};
use std::pin::Pin;

/// State of a daemon as operators see it.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Version of the profile in force, if any.
    pub profile_version: Option<u64>,
    /// Load of the backend server.
    pub load: GateLoad,
}

#[derive(Clone)]
struct StatusHandler {
    daemon: Arc<DaemonState>,
}

impl NewHandler for StatusHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for StatusHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let settings = &self.daemon.settings;
            let report = StatusReport {
                instance: settings.instance.clone(),
                service: settings.service.clone(),
                data_centre: settings.data_centre.clone(),
                profile_version: self
                    .daemon
                    .profiles
                    .get(&settings.service)
                    .map(|in_force| in_force.version),
                load: self.daemon.gate.load(),
            };
            Ok((state, json_response(&report)))
        }
        .boxed()
    }
}

/// Builds the routes of the admin listener.
pub fn router(daemon: &Arc<DaemonState>) -> Router {
    build_simple_router(|route| {
        route.get("/status").to_new_handler(StatusHandler {
            daemon: Arc::clone(daemon),
        });
        lifecycle_routes::add(route, daemon);
    })
}

pub(super) fn json_response(value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let body = Body::new(Full::from(bytes).map_err(|never| match never {}));
    let mut response = Response::new(body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
