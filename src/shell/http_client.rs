//! HTTP client for backend servers and other daemons.

use crate::{
    common::*,
    shell::{
        connection_pool::{ConnectionPool, PooledConnection},
        pooled_body::PooledBody,
    },
};
use gotham::helpers::http::Body;
use http::{HeaderMap, Request, Response, Uri, header};
use tokio::sync::Notify;

/// An attempt failed before the head of a response arrived.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was handed to the operating system.
    #[error("The request to {address} was not sent.")]
    NotSent {
        /// Address of the receiver.
        address: SocketAddr,
    },
    /// The connection broke after bytes of the request were sent.
    #[error("The connection to {address} broke before a response.")]
    Broken {
        /// Address of the receiver.
        address: SocketAddr,
    },
    /// The deadline passed after bytes of the request may have been sent.
    #[error("The deadline passed before {address} responded.")]
    Deadline {
        /// Address of the receiver.
        address: SocketAddr,
    },
}

/// Options of one request.
#[derive(Clone, Copy, Default)]
pub struct SendOptions<'a> {
    /// Updates the headers just before the request is written, after the connection is open.
    pub stamp: Option<&'a (dyn Fn(&mut HeaderMap) + Send + Sync)>,
    /// Instant at which the request is given up unless the head of the response arrived.
    pub deadline: Option<Instant>,
    /// Longest time without a received byte.
    pub progress: Option<Duration>,
    /// Notified when the progress time passes before the head of the response arrives; the request
    /// continues. In the body the progress time ends the transfer.
    pub silence: Option<&'a Notify>,
    /// Whether an idle connection must not be used.
    pub is_fresh: bool,
}

/// Pooled HTTP/1.1 client with streamed bodies. Dropping a request that waits for its response, or
/// a response body before its end, closes the connection and so cancels the request.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the head of the response with its streamed body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_with(address, request, SendOptions::default())
            .await
    }

    /// Sends a request with options.
    pub async fn send_with(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        options: SendOptions<'_>,
    ) -> Result<Response<PooledBody>, SendError> {
        to_origin_form(&mut request);
        loop {
            let connecting = self.connect(address, options.is_fresh);
            let mut connection = until(options.deadline, connecting)
                .await
                .unwrap_or(Err(SendError::NotSent { address }))?;
            if let Some(stamp) = options.stamp {
                stamp(request.headers_mut());
            }
            let written = connection.progress.written();
            connection.progress.restart();
            let exchange = Self::exchange(&mut connection, request, options);
            let Some(result) = until(options.deadline, exchange).await else {
                return Err(SendError::Deadline { address });
            };
            let mut error = match result {
                Ok(response) => {
                    let pool = Arc::clone(&self.pool);
                    return Ok(response
                        .map(|body| PooledBody::new(body, connection, pool, options.progress)));
                }
                Err(error) => error,
            };
            match error.take_message() {
                // The receiver closed the idle connection. The request was not written, so that
                // a second try is no extra attempt.
                Some(unsent) if connection.is_reused => request = unsent,
                Some(_) => return Err(SendError::NotSent { address }),
                None if connection.progress.written() == written => {
                    return Err(SendError::NotSent { address });
                }
                None => return Err(SendError::Broken { address }),
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        is_fresh: bool,
    ) -> Result<PooledConnection, SendError> {
        let connected = if is_fresh {
            self.pool.open(address).await
        } else {
            self.pool.connect(address).await
        };
        connected.map_err(|_| SendError::NotSent { address })
    }

    async fn exchange(
        connection: &mut PooledConnection,
        request: Request<Body>,
        options: SendOptions<'_>,
    ) -> Result<Response<hyper::body::Incoming>, hyper::client::conn::TrySendError<Request<Body>>>
    {
        let progress = Arc::clone(&connection.progress);
        let mut response = std::pin::pin!(connection.sender.try_send_request(request));
        if let (Some(limit), Some(silence)) = (options.progress, options.silence) {
            tokio::select! {
                biased;
                result = &mut response => return result,
                () = progress.silent(limit) => silence.notify_one(),
            }
        }
        response.await
    }
}

/// Waits for a future until the deadline; returns `None` when the deadline passes first.
async fn until<F: Future>(deadline: Option<Instant>, future: F) -> Option<F::Output> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), future).await.ok(),
        None => Some(future.await),
    }
}

/// Replaces the absolute form of a URI, which is meant for proxies.
fn to_origin_form(request: &mut Request<Body>) {
    if let Some(authority) = request.uri().authority().cloned()
        && !request.headers().contains_key(header::HOST)
        && let Ok(host) = authority.as_str().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
}
