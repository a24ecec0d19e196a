//! Listeners that answer short questions: whether the daemon takes requests, and its metrics.

use crate::{common::*, http1::message_head::RequestHead, mesh::fleet_state::FleetState};
use bytes::BytesMut;
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Largest question, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Longest time for which a connection stays open without a question.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers whether the daemon takes requests, with 200 or 503, whatever the path.
pub async fn serve(listener: TcpListener, state: Arc<FleetState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = Arc::clone(&state);
                tokio::spawn(async move {
                    if let Err(error) = answer(stream, &state).await {
                        log::debug!("readiness: A connection ended early: {error}.");
                    }
                });
            }
            Err(error) => {
                log::warn!("readiness: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(mut stream: TcpStream, state: &FleetState) -> io::Result<()> {
    let mut input = BytesMut::new();
    loop {
        let head = loop {
            let head = RequestHead::take(&mut input, MAX_HEAD_BYTES).map_err(io::Error::other)?;
            if let Some(head) = head {
                break head;
            }
            let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut input)).await;
            if read.map_err(|_| io::ErrorKind::TimedOut)?? == 0 {
                return Ok(());
            }
        };
        let keeps = head.keeps_connection();
        let status = if state.is_ready() {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let connection = if keeps { "" } else { "Connection: close\r\n" };
        let message = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{connection}\r\n");
        stream.write_all(message.as_bytes()).await?;
        if !keeps {
            return stream.shutdown().await;
        }
    }
}
