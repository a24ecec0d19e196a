//! HTTP client for backend servers and other daemons.

use crate::common::*;
use gotham::helpers::http::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::TokioExecutor,
};

/// An attempt failed before the head of an answer arrived.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made, so that no byte was sent.
    #[error("No connection to {address} could be made.")]
    Connect {
        /// Address that was dialled.
        address: SocketAddr,
    },
    /// The connection broke after the request may have been sent.
    #[error("The connection to {address} broke before an answer.")]
    Broken {
        /// Address that was dialled.
        address: SocketAddr,
    },
}

/// Pooled HTTP/1.1 client with streamed bodies.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
}

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a connection stays idle before it is given up. It is shorter than the default
/// refusal time of a drain, so that no idle connection is left when a daemon closes.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The library must not repeat a request by itself: only the attempt ledger may.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .set_host(false)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the head of the answer with its streamed body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        self.client
            .request(request)
            .await
            .map_err(|error| Self::classify(address, &error))
    }

    fn classify(address: SocketAddr, error: &Error) -> SendError {
        if error.is_connect() {
            SendError::Connect { address }
        } else {
            SendError::Broken { address }
        }
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}
