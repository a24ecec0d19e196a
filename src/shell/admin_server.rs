//! Admin listener, which operators and the subcommands query.

use crate::{
    common::*,
    decision::profile::request_explanation::{AdmissionState, ExplainError, RequestExplanation},
    shell::{
        daemon::DaemonState,
        explain_codec::{self, ExplainQueryError},
        lifecycle_routes,
        profiles_report::ProfilesReport,
        status_report::StatusReport,
    },
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
    },
    state::{FromState, State},
};
use http::{HeaderValue, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use std::pin::Pin;

/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Body of an error response.
#[derive(Debug, Deserialize, Serialize)]
pub struct ErrorReport {
    /// Reason, in one sentence.
    pub error: String,
}

/// Reason why an `/explain` request failed.
#[derive(Debug, Error)]
enum ExplainRequestError {
    /// No profile is in force.
    #[error("No profile is in force for the service `{0}` yet.")]
    NoProfile(SmolStr),
    /// The query string is not valid.
    #[error(transparent)]
    Query(#[from] ExplainQueryError),
    /// The profile in force cannot explain the request.
    #[error(transparent)]
    Explain(#[from] ExplainError),
}

/// Resource of the admin listener.
#[derive(Clone, Copy)]
enum AdminResource {
    Status,
    Profiles,
    Explain,
    Metrics,
}

#[derive(Clone)]
struct ResourceHandler {
    daemon: Arc<DaemonState>,
    resource: AdminResource,
}

impl NewHandler for ResourceHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for ResourceHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let query = Uri::borrow_from(&state).query().unwrap_or_default();
            let response = self.respond(query);
            Ok((state, response))
        }
        .boxed()
    }
}

impl ResourceHandler {
    fn respond(&self, query: &str) -> Response<Body> {
        let daemon = &self.daemon;
        match self.resource {
            AdminResource::Status => json_response(StatusCode::OK, &StatusReport::new(daemon)),
            AdminResource::Profiles => json_response(StatusCode::OK, &ProfilesReport::new(daemon)),
            AdminResource::Metrics => text_response(daemon.metrics_text()),
            AdminResource::Explain => match explain(daemon, query) {
                Ok(explanation) => json_response(StatusCode::OK, &explanation),
                Err(error) => error.to_response(),
            },
        }
    }
}

impl ExplainRequestError {
    fn to_response(&self) -> Response<Body> {
        let status = match self {
            Self::NoProfile(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Query(_) | Self::Explain(_) => StatusCode::BAD_REQUEST,
        };
        let report = ErrorReport {
            error: self.to_string(),
        };
        json_response(status, &report)
    }
}

fn explain(daemon: &DaemonState, query: &str) -> Result<RequestExplanation, ExplainRequestError> {
    let query = explain_codec::decode(query)?;
    let service = &daemon.settings.service;
    let in_force = daemon
        .profiles
        .get(service)
        .ok_or_else(|| ExplainRequestError::NoProfile(service.clone()))?;
    let load = daemon.gate.load();
    let called_threshold = daemon.thresholds.lowest_admitted(daemon.clock.now());
    let state = AdmissionState {
        phase: daemon.lifecycle.phase(),
        threshold: daemon.gate.threshold().min(called_threshold),
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
    };
    let (profile, version) = (&in_force.profile, in_force.version);
    Ok(RequestExplanation::new(profile, version, &query, &state)?)
}

/// Builds the routes of the admin listener.
pub fn router(daemon: &Arc<DaemonState>) -> Router {
    let resources = [
        ("/status", AdminResource::Status),
        ("/profiles", AdminResource::Profiles),
        ("/explain", AdminResource::Explain),
        ("/metrics", AdminResource::Metrics),
    ];
    build_simple_router(|route| {
        for (path, resource) in resources {
            route.get(path).to_new_handler(ResourceHandler {
                daemon: Arc::clone(daemon),
                resource,
            });
        }
        lifecycle_routes::add(route, daemon);
    })
}

pub(super) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = response(bytes, "application/json");
    *response.status_mut() = status;
    response
}

fn text_response(text: String) -> Response<Body> {
    response(text.into_bytes(), METRICS_CONTENT_TYPE)
}

fn response(bytes: Vec<u8>, content_type: &'static str) -> Response<Body> {
    let body = Body::new(Full::from(bytes).map_err(|never| match never {}));
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
