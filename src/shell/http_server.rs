//! HTTP listener that runs a gotham handler for each request.

use crate::common::*;
use futures_util::FutureExt;
use gotham::{handler::NewHandler, service::call_handler, state::State};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{io, panic::AssertUnwindSafe};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

/// Longest time for the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait after a failed accept, which can be due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Connections of one listener. Dropping it cuts off the connections that are still open.
struct HttpConnections<H> {
    handler: Arc<H>,
    graceful: GracefulShutdown,
    tasks: JoinSet<()>,
}

/// Serves a listener until `stop` turns true, then waits for the requests in flight. Dropping the
/// future cuts off all connections.
pub async fn serve<H>(listener: TcpListener, handler: H, mut stop: watch::Receiver<bool>)
where
    H: NewHandler + 'static,
{
    let mut connections = HttpConnections {
        handler: Arc::new(handler),
        graceful: GracefulShutdown::new(),
        tasks: JoinSet::new(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.tasks.join_next() => continue,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        if !connections.open(accepted) {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
        }
    }
    // Connections that the system has already accepted would otherwise be reset.
    while let Some(accepted) = listener.accept().now_or_never() {
        if !connections.open(accepted) {
            break;
        }
    }
    drop(listener);
    connections.graceful.shutdown().await;
}

impl<H: NewHandler + 'static> HttpConnections<H> {
    /// Serves an accepted connection; returns false when none could be accepted.
    fn open(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) -> bool {
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("listener: Cannot accept a connection: {error}.");
                return false;
            }
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request: http::Request<Incoming>| {
            let state = State::from_request(request, address);
            call_handler(Arc::clone(&handler), AssertUnwindSafe(state))
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        self.tasks.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("listener: The connection of {address} ended early: {error}.");
            }
        });
        true
    }
}
