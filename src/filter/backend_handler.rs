//! Sends an admitted request to the own backend server.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::WorkResult, lifecycle::lifecycle_phase::DrainCause,
        run_outcome::RunOutcome,
    },
    filter::{
        admission_filter::PermitState, identify_filter::CallState, metrics_filter::BackendTime,
        refusal::RefusalError, request_headers, response_body::TrackedBody,
    },
    shell::{daemon::DaemonState, header_names, http_client::SendError, span_recorder::HopSpan},
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Request, Response, Uri, uri::PathAndQuery};
use std::{pin::Pin, time::SystemTime};

/// Handler at the end of the inbound chain.
#[derive(Clone)]
pub struct BackendHandler {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl NewHandler for BackendHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for BackendHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let response = self.forward(&mut state).await;
            Ok((state, response))
        }
        .boxed()
    }
}

impl BackendHandler {
    async fn forward(&self, state: &mut State) -> Response<Body> {
        let context = state.borrow::<CallState>().0.clone();
        let permit = state.take::<PermitState>().0;
        let start = self.daemon.clock.now();
        let started_at = SystemTime::now();
        let request = self.backend_request(state, start);
        let left = context.deadline.saturating_duration_since(start);
        let sent = self
            .daemon
            .client
            .send(self.daemon.settings.backend, request);
        let result = match tokio::time::timeout(left, sent).await {
            Err(_) => Err(RefusalError::DeadlineAfter),
            Ok(Err(SendError::Connect { .. })) => Err(RefusalError::NoUpstream(
                self.daemon.settings.service.clone(),
            )),
            Ok(Err(SendError::Broken { .. })) => Err(RefusalError::Broken),
            Ok(Ok(response)) => Ok(response),
        };
        state.put(BackendTime(self.daemon.clock.now() - start));
        let outcome = result
            .as_ref()
            .map_or_else(RefusalError::outcome, |_| RunOutcome::Ran);
        self.daemon.spans.record(HopSpan {
            request: context.request,
            span: context.call,
            parent: context.parent,
            name: self.daemon.settings.service.clone(),
            is_server: true,
            start: started_at,
            duration: self.daemon.clock.now() - start,
            outcome: outcome.as_str(),
        });
        match result {
            Err(error) => {
                permit.finish(WorkResult::Aborted);
                error.to_response()
            }
            Ok(response) => {
                let (mut parts, body) = response.into_parts();
                if parts
                    .headers
                    .get(header_names::DRAIN)
                    .is_some_and(|value| value == "1")
                {
                    self.daemon
                        .lifecycle
                        .request_drain(DrainCause::BackendServer);
                }
                request_headers::strip_hop_by_hop(&mut parts.headers);
                request_headers::strip(&mut parts.headers);
                request_headers::insert(&mut parts.headers, header_names::OUTCOME, outcome);
                let body = TrackedBody::wrap(body, move |is_complete| {
                    permit.finish(if is_complete {
                        WorkResult::Completed
                    } else {
                        WorkResult::Aborted
                    });
                });
                Response::from_parts(parts, body)
            }
        }
    }

    fn backend_request(&self, state: &mut State, now: Instant) -> Request<Body> {
        let context = state.borrow::<CallState>().0.clone();
        let mut request = Request::new(Body::take_from(state));
        *request.method_mut() = Method::borrow_from(state).clone();
        let path = Uri::borrow_from(state)
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"));
        *request.uri_mut() = origin_uri(self.daemon.settings.backend, path);
        let mut headers = HeaderMap::take_from(state);
        request_headers::strip_hop_by_hop(&mut headers);
        request_headers::write_backend_context(&mut headers, &context, now);
        *request.headers_mut() = headers;
        request
    }
}

/// Builds the URI of a request to an address.
pub fn origin_uri(address: SocketAddr, path: PathAndQuery) -> Uri {
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    parts.authority = address.to_string().parse().ok();
    parts.path_and_query = Some(path);
    Uri::from_parts(parts).unwrap_or_default()
}
