//! Backend servers that send bytes without end.

use skylarkstream::http1::{
    byte_budget::ByteBudget,
    client_connection::{BodyLimits, ClientConnection, ExchangeError, ServerResponse},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Bytes after which the server gives up. Each bound of a client is below.
const SERVER_BYTES: usize = 48 << 20;

/// Largest body that the client accepts.
const MAX_BODY: u64 = 1 << 20;

/// Starts a server that sends `start` and then repeats `block`.
async fn serve_endless(start: &'static str, block: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(start.as_bytes()).await;
                let blocks = block.repeat(64 * 1_024 / block.len());
                let mut sent = 0;
                while sent < SERVER_BYTES && stream.write_all(blocks.as_bytes()).await.is_ok() {
                    sent += blocks.len();
                }
            });
        }
    });
    address
}

async fn exchange(
    address: SocketAddr,
    limits: BodyLimits,
) -> Result<ServerResponse, ExchangeError> {
    let mut connection = ClientConnection::open(address).await?;
    let is_own = |head: &skylarkstream::http1::message_head::ResponseHead| {
        head.headers.get("Id") == Some(b"own")
    };
    let request = b"GET / HTTP/1.1\r\n\r\n";
    connection.exchange(request, false, &limits, is_own).await
}

/// Guards against a connection that is read until the server closes it: a server in trouble may send
/// bytes that are no response until then.
#[tokio::test]
async fn bytes_without_end_are_refused() {
    let chunked = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (name, start, block) in [
        ("status line", "HTTP/1.1 200 ", "a"),
        ("header", "HTTP/1.1 200 OK\r\na: ", "a"),
        ("headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("empty lines", "", "\r\n"),
        ("no HTTP", "", "\0\u{1}x"),
        (
            "informational responses",
            "",
            "HTTP/1.1 102 Processing\r\n\r\n",
        ),
        (
            "responses to other requests",
            "",
            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno",
        ),
        ("body to the end", "HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "a"),
        ("chunks", chunked, "5\r\nchunk\r\n"),
        (
            "chunk size",
            "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            "a",
        ),
        (
            "trailers",
            "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "a: b\r\n",
        ),
    ] {
        let address = serve_endless(start, block).await;
        let result = exchange(address, BodyLimits::new(MAX_BODY)).await;
        // `Closed` would mean that the server stopped first.
        assert!(
            matches!(
                result,
                Err(ExchangeError::Message(_) | ExchangeError::SkippedResponses)
            ),
            "{name}: {result:?}"
        );
    }
}

/// Guards against a daemon that runs out of memory when many runs of a backend server in trouble
/// send bodies without end at the same time, and against other responses that fail with them.
#[tokio::test]
async fn endless_bodies_together_stay_within_the_budget() {
    const BUDGET: u64 = 4 << 20;
    let budget = Arc::new(ByteBudget::new(BUDGET));
    let endless = serve_endless("HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "a").await;
    let limits = || BodyLimits::new(u64::MAX).with_budget(Arc::clone(&budget));
    let streams: Vec<_> = (0..16)
        .map(|_| tokio::spawn(exchange(endless, limits())))
        .collect();
    let sound = crate::stand_ins::serve_bytes(
        "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nsound",
    )
    .await;
    for _ in 0..50 {
        let response = exchange(sound, limits()).await.expect("a response");
        assert_eq!(&response.body[..], b"sound");
    }
    for stream in streams {
        let result = stream.await.expect("no panic");
        assert!(
            matches!(result, Err(ExchangeError::Message(_))),
            "{result:?}"
        );
    }
    assert!(budget.peak() <= BUDGET, "{}", budget.peak());
    assert_eq!(budget.used(), 0);
}
