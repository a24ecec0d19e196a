//! Filter chain for requests to the backend server.

use crate::{
    common::*,
    filter::{
        accept_filter::AcceptFilter,
        admission_filter::AdmissionFilter,
        attempt_filter::AttemptFilter,
        backend_handler::BackendHandler,
        classify_filter::ClassifyFilter,
        context_filter::{ContextFilter, RequestOrigin},
        ledger_filter::LedgerFilter,
        lifecycle_filter::LifecycleFilter,
        metrics_filter::MetricsFilter,
        ticket_filter::TicketFilter,
    },
    shell::daemon::DaemonState,
};
use gotham::{
    pipeline::{new_pipeline, single_pipeline},
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_router},
    },
};
use http::Method;

/// HTTP methods that are forwarded to the backend server.
pub fn methods() -> Vec<Method> {
    vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ]
}

/// Builds the filter chain of a listener.
pub fn inbound_chain(daemon: &Arc<DaemonState>, origin: RequestOrigin) -> Router {
    let (chain, pipelines) = single_pipeline(
        new_pipeline()
            .add(MetricsFilter {
                daemon: Arc::clone(daemon),
            })
            .add(LifecycleFilter {
                daemon: Arc::clone(daemon),
                origin,
            })
            .add(ContextFilter {
                daemon: Arc::clone(daemon),
                origin,
            })
            .add(AttemptFilter {
                daemon: Arc::clone(daemon),
            })
            .add(ClassifyFilter {
                daemon: Arc::clone(daemon),
            })
            .add(TicketFilter {
                daemon: Arc::clone(daemon),
            })
            .add(AcceptFilter {
                daemon: Arc::clone(daemon),
            })
            .add(LedgerFilter {
                daemon: Arc::clone(daemon),
            })
            .add(AdmissionFilter {
                daemon: Arc::clone(daemon),
            })
            .build(),
    );
    let handler = BackendHandler {
        daemon: Arc::clone(daemon),
    };
    build_router(chain, pipelines, |route| {
        for path in ["/", "/*"] {
            let handler = handler.clone();
            route.request(methods(), path).to_new_handler(handler);
        }
    })
}
