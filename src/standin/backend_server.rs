//! Stand-in for a backend server.

use crate::{
    common::*,
    decision::request_context::RequestId,
    experiment::work_log::WorkLog,
    filter::request_headers,
    shell::{header_names, http_client::HttpClient},
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header::HOST};
use http_body_util::{BodyExt, Full};
use std::{
    panic::RefUnwindSafe,
    pin::Pin,
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};
use tokio::sync::Semaphore;

/// Call that the stand-in makes while it handles a request.
#[derive(Clone, Debug)]
pub struct DownstreamCall {
    /// Called service.
    pub service: SmolStr,
    /// Path of the call.
    pub path: SmolStr,
}

/// Behaviour of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct BackendBehaviour {
    /// Maximum number of concurrent requests; further requests wait.
    pub slots: usize,
    /// Time spent on each request, excluding its calls.
    pub service_time: Duration,
    /// Calls made for each request, one after another.
    pub calls: Vec<DownstreamCall>,
}

impl BackendBehaviour {
    /// Creates the behaviour of a backend server that calls no other service.
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            slots,
            service_time,
            calls: Vec::new(),
        }
    }

    /// Adds a call that is made for each request.
    pub fn with_call(mut self, service: &str, path: &str) -> Self {
        self.calls.push(DownstreamCall {
            service: service.into(),
            path: path.into(),
        });
        self
    }
}

#[derive(Debug)]
struct BackendState {
    behaviour: BackendBehaviour,
    outbound: SocketAddr,
    client: HttpClient,
    slots: Semaphore,
    slowdown: AtomicU32,
    is_draining: AtomicBool,
    runs: AtomicU64,
    work_log: WorkLog,
}

/// Backend server that spends a fixed time on a request and calls other services. Clones share the
/// state.
#[derive(Clone, Debug)]
pub struct BackendServer {
    state: Arc<BackendState>,
}

impl RefUnwindSafe for BackendServer {}

impl BackendServer {
    /// Creates a stand-in that sends its calls to the outbound listener of its daemon.
    pub fn new(behaviour: BackendBehaviour, outbound: SocketAddr) -> Self {
        Self::with_work_log(behaviour, outbound, WorkLog::default())
    }

    /// Creates a stand-in that records its work in a log.
    pub fn with_work_log(
        behaviour: BackendBehaviour,
        outbound: SocketAddr,
        work_log: WorkLog,
    ) -> Self {
        Self {
            state: Arc::new(BackendState {
                slots: Semaphore::new(behaviour.slots),
                behaviour,
                outbound,
                client: HttpClient::new(),
                slowdown: AtomicU32::new(1),
                is_draining: AtomicBool::new(false),
                runs: AtomicU64::new(0),
                work_log,
            }),
        }
    }

    /// Multiplies the service time of later requests.
    pub fn set_slowdown(&self, factor: u32) {
        self.state.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Adds the header that announces a drain to later responses.
    pub fn announce_drain(&self) {
        self.state.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of runs started so far.
    pub fn runs(&self) -> u64 {
        self.state.runs.load(Ordering::Relaxed)
    }

    async fn handle_request(&self, headers: &HeaderMap, path: &str) -> StatusCode {
        let state = &self.state;
        let Ok(_slot) = state.slots.acquire().await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        state.runs.fetch_add(1, Ordering::Relaxed);
        let slowdown = state.slowdown.load(Ordering::Relaxed);
        self.simulate_work(headers, state.behaviour.service_time * slowdown)
            .await;
        for call in &state.behaviour.calls {
            let status = self.call(headers, call).await;
            if !status.is_success() {
                log::debug!("backend: The call to {} for {path} failed.", call.service);
                return StatusCode::BAD_GATEWAY;
            }
        }
        StatusCode::OK
    }

    async fn simulate_work(&self, headers: &HeaderMap, service_time: Duration) {
        let request = request_headers::propagated_call(headers).map(|(request, _)| request);
        let _guard = WorkGuard {
            work_log: &self.state.work_log,
            request,
            start: Instant::now(),
        };
        tokio::time::sleep(service_time).await;
    }

    async fn call(&self, headers: &HeaderMap, call: &DownstreamCall) -> StatusCode {
        let mut request = Request::new(Body::default());
        *request.method_mut() = Method::GET;
        let uri = format!("http://{}{}", self.state.outbound, call.path);
        let Ok(uri) = uri.parse() else {
            return StatusCode::BAD_REQUEST;
        };
        *request.uri_mut() = uri;
        if let Ok(host) = call.service.parse() {
            request.headers_mut().insert(HOST, host);
        }
        for name in [header_names::REQUEST, header_names::TRACEPARENT] {
            if let Some(copied) = headers.get(&name) {
                request.headers_mut().insert(name, copied.clone());
            }
        }
        let Ok(response) = self.state.client.send(self.state.outbound, request).await else {
            return StatusCode::BAD_GATEWAY;
        };
        let status = response.status();
        match response.into_body().collect().await {
            Ok(_) => status,
            Err(_) => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Records the service time when dropped, so that it includes requests that the caller cancels.
struct WorkGuard<'a> {
    work_log: &'a WorkLog,
    request: Option<RequestId>,
    start: Instant,
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.work_log.add(request, self.start.elapsed());
        }
    }
}

impl NewHandler for BackendServer {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for BackendServer {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let headers = HeaderMap::borrow_from(&state).clone();
            let path = Uri::borrow_from(&state).path().to_owned();
            let body = Body::take_from(&mut state).collect().await;
            let status = match body {
                Ok(_) => self.handle_request(&headers, &path).await,
                Err(_) => StatusCode::BAD_REQUEST,
            };
            let text = format!("{path}\n");
            let body = Full::from(text).map_err(|never| match never {});
            let mut response = Response::new(Body::new(body));
            *response.status_mut() = status;
            if self.state.is_draining.load(Ordering::Relaxed) {
                let value = HeaderValue::from_static("1");
                response.headers_mut().insert(header_names::DRAIN, value);
            }
            Ok((state, response))
        }
        .boxed()
    }
}
