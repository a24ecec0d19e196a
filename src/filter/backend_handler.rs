//! Sends an admitted request to the backend server.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::WorkResult, lifecycle::lifecycle_phase::DrainCause,
        request_context::RequestContext, run_outcome::RunOutcome,
    },
    filter::{
        admission_filter::PermitState,
        context_filter::ContextState,
        metrics_filter::BackendTime,
        request_error::RequestError,
        request_headers,
        response_body::{BodyEnd, TrackedBody},
    },
    shell::{
        daemon::DaemonState,
        header_names,
        http_client::{SendError, SendOptions},
        pooled_body::PooledBody,
        span_recorder::HopSpan,
    },
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Request, Response, Uri, uri::PathAndQuery};
use std::{pin::Pin, time::SystemTime};

/// Handler after the last filter of the inbound chain.
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
        let context = state.borrow::<ContextState>().0.clone();
        let permit = state.take::<PermitState>().0;
        let start = self.daemon.clock.now();
        let started_at = SystemTime::now();
        let request = self.backend_request(state, start);
        let result = self.send(request, &context).await;
        let outcome = match &result {
            Ok(response) => self.response_outcome(response),
            Err(error) => error.outcome(),
        };
        state.put(BackendTime(self.daemon.clock.now() - start));
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
                request_headers::strip_context(&mut parts.headers);
                request_headers::insert(&mut parts.headers, header_names::OUTCOME, outcome);
                let body = TrackedBody::wrap(Body::new(body), move |end| {
                    permit.finish(match (end, outcome) {
                        // The head already shows that the backend server refused the request.
                        (_, RunOutcome::NotRun) => WorkResult::Refused,
                        (BodyEnd::Complete, _) => WorkResult::Completed,
                        (BodyEnd::Truncated | BodyEnd::Dropped, _) => WorkResult::Aborted,
                    });
                });
                Response::from_parts(parts, body)
            }
        }
    }

    async fn send(
        &self,
        request: Request<Body>,
        context: &RequestContext,
    ) -> Result<Response<PooledBody>, RequestError> {
        let clock = &self.daemon.clock;
        if context.deadline <= clock.now() {
            return Err(RequestError::DeadlineBefore);
        }
        let update_headers = |headers: &mut HeaderMap| {
            request_headers::write_deadline(headers, context, clock.now());
        };
        let options = SendOptions {
            update_headers: Some(&update_headers),
            deadline: Some(context.deadline),
            ..SendOptions::default()
        };
        let settings = &self.daemon.settings;
        let client = &self.daemon.client;
        let response = match client.send_with(settings.backend, request, options).await {
            Ok(response) => response,
            Err(SendError::NotSent { .. }) => {
                return Err(RequestError::NoUpstream(settings.service.clone()));
            }
            Err(SendError::Broken { .. } | SendError::InvalidStatus { .. }) => {
                return Err(RequestError::Broken);
            }
            Err(SendError::Deadline { .. }) => return Err(RequestError::DeadlineAfter),
        };
        // Backend servers may echo the request header on the response. If one does, a response that
        // belongs to an earlier request on the same connection is detected here.
        let echoed = response.headers().get(header_names::REQUEST);
        let expected = format!("{}-{}", context.request, context.call);
        if echoed.is_some_and(|value| value != expected.as_str()) {
            return Err(RequestError::WrongAttempt);
        }
        Ok(response)
    }

    fn response_outcome(&self, response: &Response<PooledBody>) -> RunOutcome {
        let status = response.status().as_u16();
        let header_value = |name: &str| {
            response
                .headers()
                .get(name)
                .map(http::HeaderValue::as_bytes)
        };
        let in_force = self.daemon.profiles.get(&self.daemon.settings.service);
        let is_refusal = in_force.is_some_and(|entry| {
            let mut rules = entry.profile.refusals.iter();
            rules.any(|rule| rule.matches(status, header_value))
        });
        if is_refusal {
            RunOutcome::NotRun
        } else {
            RunOutcome::Ran
        }
    }

    fn backend_request(&self, state: &mut State, now: Instant) -> Request<Body> {
        let context = state.borrow::<ContextState>().0.clone();
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
