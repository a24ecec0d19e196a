//! HTTP listener that runs a gotham handler for each request.

use crate::common::*;
use gotham::{handler::NewHandler, service::call_handler, state::State};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::panic::AssertUnwindSafe;
use tokio::{net::TcpListener, sync::watch};

/// Longest time for the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves a listener until `stop` turns true, then waits for the requests in flight.
pub async fn serve<H>(listener: TcpListener, handler: H, mut stop: watch::Receiver<bool>)
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("listener: Cannot accept a connection: {error}.");
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request: http::Request<Incoming>| {
            let state = State::from_request(request, address);
            call_handler(Arc::clone(&handler), AssertUnwindSafe(state))
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("listener: The connection of {address} ended early: {error}.");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
