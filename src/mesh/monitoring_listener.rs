//! Listeners for readiness probes and for metrics.

use crate::{common::*, http1::message_head::RequestHead, mesh::fleet_state::FleetState};
use bytes::BytesMut;
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Longest time for which a connection may stay open without receiving data.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MonitoringEndpoint {
    /// Readiness of the daemon for requests: 200 or 503.
    Readiness,
    /// The metrics in the OpenMetrics text format.
    Metrics,
}

/// Serves one endpoint at every path until the task is dropped.
pub async fn serve(
    listener: Arc<TcpListener>,
    endpoint: MonitoringEndpoint,
    state: Arc<FleetState>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = Arc::clone(&state);
                tokio::spawn(async move {
                    if let Err(error) = serve_connection(stream, endpoint, &state).await {
                        log::debug!("readiness: A connection ended early: {error}.");
                    }
                });
            }
            Err(error) => {
                log::warn!("readiness: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    endpoint: MonitoringEndpoint,
    state: &FleetState,
) -> io::Result<()> {
    let mut input = BytesMut::new();
    loop {
        let head = loop {
            let head = RequestHead::parse(&mut input, MAX_HEAD_BYTES).map_err(io::Error::other)?;
            if let Some(head) = head {
                break head;
            }
            let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut input)).await;
            if read.map_err(|_| io::ErrorKind::TimedOut)?? == 0 {
                return Ok(());
            }
        };
        let keeps_connection = head.keeps_connection();
        let (status, body) = match endpoint {
            MonitoringEndpoint::Metrics => ("200 OK", state.metrics_text()),
            MonitoringEndpoint::Readiness if state.is_ready() => ("200 OK", String::new()),
            MonitoringEndpoint::Readiness => ("503 Service Unavailable", String::new()),
        };
        let connection = if keeps_connection {
            ""
        } else {
            "Connection: close\r\n"
        };
        let length = body.len();
        let message =
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{connection}\r\n{body}");
        stream.write_all(message.as_bytes()).await?;
        if !keeps_connection {
            return stream.shutdown().await;
        }
    }
}
