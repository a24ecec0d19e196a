//! HTTP client for backend servers and other daemons.

use crate::{
    common::*,
    http1::response_rules::StatusClass,
    shell::{
        connection_pool::{ConnectionPool, PooledConnection},
        pooled_body::PooledBody,
    },
};
use gotham::helpers::http::Body;
use http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use tokio::sync::Notify;

/// Reason why a request failed before the response head arrived.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was passed to the operating system.
    #[error("The request to {address} was not sent.")]
    NotSent {
        /// Address of the receiver.
        address: SocketAddr,
    },
    /// The connection failed after bytes of the request were sent.
    #[error("The connection to {address} failed before the response.")]
    Broken {
        /// Address of the receiver.
        address: SocketAddr,
    },
    /// The receiver responded with a status that is not that of a response to a request.
    #[error("{address} responded with the invalid status {status}.")]
    InvalidStatus {
        /// Address of the receiver.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
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
    /// Updates the headers after the connection is open, just before the request is written.
    pub update_headers: Option<&'a (dyn Fn(&mut HeaderMap) + Send + Sync)>,
    /// Time at which the request is cancelled unless the response head has arrived.
    pub deadline: Option<Instant>,
    /// Maximum time without a received byte; after it, the connection counts as stalled.
    pub progress_timeout: Option<Duration>,
    /// Notified when `progress_timeout` passes before the response head arrives; the request
    /// continues. While the body is read, a stall ends the transfer instead.
    pub on_stall: Option<&'a Notify>,
    /// Whether to open a new connection instead of using an idle one.
    pub needs_new_connection: bool,
}

/// HTTP/1.1 client with a connection pool and streamed bodies. Dropping a pending request, or a
/// response body before its end, closes the connection and so cancels the request at the receiver.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the response, whose body is streamed.
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
            let connecting = self.connect(address, options.needs_new_connection);
            let mut connection = with_deadline(options.deadline, connecting)
                .await
                .unwrap_or(Err(SendError::NotSent { address }))?;
            if let Some(update_headers) = options.update_headers {
                update_headers(request.headers_mut());
            }
            let written_bytes = connection.progress.written_bytes();
            connection.progress.restart_timeout();
            let exchange = Self::exchange(&mut connection, request, options);
            let Some(result) = with_deadline(options.deadline, exchange).await else {
                return Err(SendError::Deadline { address });
            };
            let mut error = match result {
                Ok(response) => {
                    let status = response.status();
                    if StatusClass::new(status.as_u16()) != Ok(StatusClass::Final) {
                        return Err(SendError::InvalidStatus { address, status });
                    }
                    let pool = Arc::clone(&self.pool);
                    return Ok(response.map(|body| {
                        PooledBody::new(body, connection, pool, options.progress_timeout)
                    }));
                }
                Err(error) => error,
            };
            match error.take_message() {
                // The receiver closed the idle connection before the request was written. Sending
                // it on another connection therefore does not count as an extra attempt.
                Some(unsent) if connection.is_reused => request = unsent,
                Some(_) => return Err(SendError::NotSent { address }),
                None if connection.progress.written_bytes() == written_bytes => {
                    return Err(SendError::NotSent { address });
                }
                None => return Err(SendError::Broken { address }),
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        needs_new_connection: bool,
    ) -> Result<PooledConnection, SendError> {
        let connected = if needs_new_connection {
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
        if let (Some(timeout), Some(on_stall)) = (options.progress_timeout, options.on_stall) {
            tokio::select! {
                biased;
                result = &mut response => return result,
                () = progress.wait_for_stall(timeout) => on_stall.notify_one(),
            }
        }
        response.await
    }
}

/// Waits for a future; returns `None` if the deadline passes first.
async fn with_deadline<F: Future>(deadline: Option<Instant>, future: F) -> Option<F::Output> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), future).await.ok(),
        None => Some(future.await),
    }
}

/// Replaces the absolute form of the URI, which is for proxies, by path and `Host` header.
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
