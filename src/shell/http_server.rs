//! HTTP listener that calls a gotham handler for each request.

use crate::{common::*, http1::closing_stream::ClosingStream};
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

/// Maximum time to receive a request head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait after a failed accept, which can be due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Open connections of one listener. Dropping this closes them.
struct HttpConnections<H> {
    handler: Arc<H>,
    graceful: GracefulShutdown,
    tasks: JoinSet<()>,
}

/// Serves a listener until `stop` becomes true, then waits for the requests in flight. Dropping the
/// future closes all connections.
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
        if !connections.serve(accepted) {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
        }
    }
    // Serve connections that wait in the accept queue; closing the listener would reset them.
    while let Some(accepted) = listener.accept().now_or_never() {
        if !connections.serve(accepted) {
            break;
        }
    }
    drop(listener);
    connections.graceful.shutdown().await;
}

impl<H: NewHandler + 'static> HttpConnections<H> {
    /// Starts serving an accepted connection; returns false if the accept failed.
    fn serve(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) -> bool {
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
            .serve_connection(TokioIo::new(ClosingStream::new(stream)), service);
        let connection = self.graceful.watch(connection);
        self.tasks.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("listener: The connection of {address} ended early: {error}.");
            }
        });
        true
    }
}
