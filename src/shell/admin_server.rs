//! Listener for operators.

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

/// Format of the metrics text.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Body of an answer to a question that cannot be answered.
#[derive(Debug, Deserialize, Serialize)]
pub struct ErrorReport {
    /// Why, in one sentence.
    pub error: String,
}

/// A question of an operator cannot be answered.
#[derive(Debug, Error)]
enum QuestionError {
    /// No profile is in force.
    #[error("No profile is in force for the service `{0}` yet.")]
    NoProfile(SmolStr),
    /// The query string cannot be read.
    #[error(transparent)]
    Query(#[from] ExplainQueryError),
    /// The request cannot be explained.
    #[error(transparent)]
    Explain(#[from] ExplainError),
}

/// Page of the admin listener.
#[derive(Clone, Copy)]
enum AdminPage {
    Status,
    Profiles,
    Explain,
    Metrics,
}

#[derive(Clone)]
struct PageHandler {
    daemon: Arc<DaemonState>,
    page: AdminPage,
}

impl NewHandler for PageHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for PageHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let query = Uri::borrow_from(&state).query().unwrap_or_default();
            let response = self.answer(query);
            Ok((state, response))
        }
        .boxed()
    }
}

impl PageHandler {
    fn answer(&self, query: &str) -> Response<Body> {
        let daemon = &self.daemon;
        match self.page {
            AdminPage::Status => json_response(StatusCode::OK, &StatusReport::new(daemon)),
            AdminPage::Profiles => json_response(StatusCode::OK, &ProfilesReport::new(daemon)),
            AdminPage::Metrics => text_response(daemon.metrics_text()),
            AdminPage::Explain => match explain(daemon, query) {
                Ok(explanation) => json_response(StatusCode::OK, &explanation),
                Err(error) => error.to_response(),
            },
        }
    }
}

impl QuestionError {
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

fn explain(daemon: &DaemonState, query: &str) -> Result<RequestExplanation, QuestionError> {
    let query = explain_codec::decode(query)?;
    let service = &daemon.settings.service;
    let in_force = daemon
        .profiles
        .get(service)
        .ok_or_else(|| QuestionError::NoProfile(service.clone()))?;
    let load = daemon.gate.load();
    let below = daemon.overload.lowest_admitted(daemon.clock.now());
    let gate = AdmissionState {
        phase: daemon.lifecycle.phase(),
        threshold: daemon.gate.threshold().min(below),
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
    };
    let (profile, version) = (&in_force.profile, in_force.version);
    Ok(RequestExplanation::new(profile, version, &query, &gate)?)
}

/// Builds the routes of the admin listener.
pub fn router(daemon: &Arc<DaemonState>) -> Router {
    let pages = [
        ("/status", AdminPage::Status),
        ("/profiles", AdminPage::Profiles),
        ("/explain", AdminPage::Explain),
        ("/metrics", AdminPage::Metrics),
    ];
    build_simple_router(|route| {
        for (path, page) in pages {
            route.get(path).to_new_handler(PageHandler {
                daemon: Arc::clone(daemon),
                page,
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
