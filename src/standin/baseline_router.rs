//! Router without overload control, used as the baseline in experiments.

use crate::{
    common::*,
    filter::{backend_handler::origin_uri, request_headers},
    shell::http_client::HttpClient,
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header::HOST};
use http_body_util::BodyExt;
use std::{panic::RefUnwindSafe, pin::Pin};

/// Maximum attempts at a call, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Time after which an attempt is abandoned.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends each call to a random backend server and retries it after a failure.
#[derive(Clone, Debug)]
pub struct BaselineRouter {
    backends: Arc<IndexMap<SmolStr, Vec<SocketAddr>>>,
    client: HttpClient,
}

impl RefUnwindSafe for BaselineRouter {}

impl BaselineRouter {
    /// Creates a router with the backend servers of each service.
    pub fn new(backends: IndexMap<SmolStr, Vec<SocketAddr>>) -> Self {
        Self {
            backends: Arc::new(backends),
            client: HttpClient::new(),
        }
    }

    async fn route(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Response<Body> {
        let service = headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let Some(backends) = self.backends.get(service) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        for _ in 0..MAX_ATTEMPTS {
            let backend = backends[rand::random_range(0..backends.len())];
            let attempt = self.send(backend, method, uri, headers);
            if let Ok(Some(response)) = tokio::time::timeout(ATTEMPT_TIMEOUT, attempt).await {
                return response;
            }
        }
        empty_response(StatusCode::BAD_GATEWAY)
    }

    async fn send(
        &self,
        backend: SocketAddr,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Option<Response<Body>> {
        let mut request = Request::new(Body::default());
        *request.method_mut() = method.clone();
        *request.uri_mut() = origin_uri(backend, uri.path_and_query()?.clone());
        *request.headers_mut() = headers.clone();
        request_headers::strip_hop_by_hop(request.headers_mut());
        let response = self.client.send(backend, request).await.ok()?;
        if response.status().is_server_error() {
            return None;
        }
        let (mut parts, body) = response.into_parts();
        request_headers::strip_hop_by_hop(&mut parts.headers);
        let body = Body::new(body.map_err(std::io::Error::other));
        Some(Response::from_parts(parts, body))
    }
}

impl NewHandler for BaselineRouter {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for BaselineRouter {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let method = Method::borrow_from(&state).clone();
            let uri = Uri::borrow_from(&state).clone();
            let headers = HeaderMap::borrow_from(&state).clone();
            let response = self.route(&method, &uri, &headers).await;
            Ok((state, response))
        }
        .boxed()
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
