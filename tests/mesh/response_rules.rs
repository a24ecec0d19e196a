//! Which responses count as valid and complete, for each reader of responses.

use crate::stand_ins::serve_bytes;
use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::Request;
use http_body_util::{BodyExt, Full};
use skylarkstream::{
    http1::client_connection::{BodyLimits, ClientConnection},
    mesh::peer_frame::{PeerFrame, ReplyFrame, RunResponse, RunResult, UnknownReason},
    shell::http_client::HttpClient,
};
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

/// Time after which a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a request that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 24 << 20;

/// Starts a server that responds to the first part of each upload. It then resets the connection, or
/// closes its sending side and reads the upload to its end.
async fn serve_upload(response: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut part = vec![0; 64 << 10];
            let _ = stream.read(&mut part).await;
            let _ = stream.write_all(response.as_bytes()).await;
            if !is_reset {
                let _ = stream.shutdown().await;
                while let Ok(1..) = stream.read(&mut part).await {}
            }
        }
    });
    address
}

/// Returns the body of the response that the reader of backend servers and of the store gets.
async fn read_by_connection(address: SocketAddr, body: &[u8]) -> Option<Bytes> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let head = format!(
        "{method} / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let request = [head.as_bytes(), body].concat();
    let mut connection = ClientConnection::open(address).await.ok()?;
    let limits = BodyLimits::new(1 << 20);
    let exchange = connection.exchange(&request, false, &limits, |_| true);
    exchange.await.ok().map(|response| response.body)
}

/// Returns the body of the response that the reader of the product's own path, of its platform and of
/// the subcommands gets.
async fn read_by_client(address: SocketAddr, body: &[u8]) -> Option<Bytes> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let full = Full::new(Bytes::copy_from_slice(body));
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/"))
        .body(Body::new(full.map_err(|never: Infallible| match never {})))
        .expect("a request");
    let response = HttpClient::new().send(address, request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

/// Checks what both readers get from a server; `None` stands for an error.
async fn check(name: &str, address: SocketAddr, upload: &[u8], expected: Option<&str>) {
    let expected = expected.map(str::as_bytes);
    let reading = async {
        let body = read_by_connection(address, upload).await;
        assert_eq!(body.as_deref(), expected, "connection: {name:?}");
        let body = read_by_client(address, upload).await;
        assert_eq!(body.as_deref(), expected, "client: {name:?}");
    };
    let reading = timeout(TEST_TIMEOUT, reading);
    reading.await.expect("an end in time");
}

/// Guards against an invalid or truncated response that is returned as complete.
#[tokio::test]
async fn invalid_and_incomplete_responses_are_errors() {
    let fields = "A B: x|A\tB: x|A : x|\tA: x|: x|A\u{1}: x|A\u{7f}: x|A\r: x|A|A: x\0y".split('|');
    let invalid_fields =
        fields.map(|field| format!("HTTP/1.1 200 OK\r\n{field}\r\nContent-Length: 2\r\n\r\nok"));
    let statuses = ["000", "001", "099", "101", "600", "700", "999"];
    let invalid_statuses =
        statuses.map(|status| format!("HTTP/1.1 {status} S\r\nContent-Length: 2\r\n\r\nok"));
    let lengths = [
        "",
        "+2",
        "-2",
        "0x2",
        "2 2",
        "2,",
        "2;",
        "2\r\nContent-Length: 3",
    ];
    let invalid_lengths =
        lengths.map(|length| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nok"));
    let lines = "HTTP/1.1  200 OK|HTTP/1.1 +20 OK|HTTP/1.1 2000 OK|HTTP/1.1 200OK|HTTP/2.0 200 OK|\
                 http/1.1 200 OK| HTTP/1.1 200 OK|HTTP/1.1 200 O\0K"
        .split('|');
    let invalid_lines = lines.map(|line| format!("{line}\r\nContent-Length: 2\r\n\r\nok"));
    let incomplete = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n;x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n \r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b",
        "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
        "not HTTP\r\n\r\n",
        "",
    ];
    let texts = invalid_fields.chain(invalid_statuses);
    let texts = texts.chain(invalid_lengths).chain(invalid_lines);
    for text in texts.chain(incomplete.map(String::from)) {
        check(&text, serve_bytes(text.as_str()).await, b"", None).await;
    }
    let sound = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"),
        ("HTTP/1.1 599 S\r\nContent-Length: 2\r\n\r\nno", "no"),
        (
            "HTTP/1.1 103 S\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "ok",
        ),
        ("HTTP/1.1 200 OK\r\n\r\nto the end", "to the end"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n05;x=\"y\"\r\nwhole\r\n0\r\nT: 1\r\n\r\n",
            "whole",
        ),
    ];
    for (text, body) in sound {
        check(text, serve_bytes(text).await, b"", Some(body)).await;
    }
}

/// Guards against a part of a response that is returned as complete: it has no length, and its
/// connection is reset while the request is still being written.
#[tokio::test]
async fn response_ends_with_its_connection_only_without_an_error() {
    let upload = vec![b'x'; UPLOAD_BYTES];
    let unframed = "HTTP/1.1 200 OK\r\n\r\npart";
    let framed = "HTTP/1.1 413 S\r\nContent-Length: 4\r\n\r\npart";
    for (response, is_reset, expected) in [
        (unframed, true, None),
        (unframed, false, Some("part")),
        (framed, false, Some("part")),
    ] {
        let address = serve_upload(response, is_reset).await;
        check(response, address, &upload, expected).await;
    }
}

/// Guards against a status that a daemon of an earlier build passes on from its backend server.
#[test]
fn invalid_status_from_a_peer_is_an_invalid_response() {
    for status in [0, 100, 200, 599, 600] {
        let sent = RunResult::Response(RunResponse {
            status,
            head: Bytes::new(),
            body: Bytes::new(),
        });
        let reply = ReplyFrame {
            number: 1,
            result: sent.clone(),
            load: Default::default(),
            service_time_us: None,
            notes: Default::default(),
        };
        let mut bytes = BytesMut::new();
        PeerFrame::Reply(Arc::new(reply)).encode(&mut bytes);
        let Ok(Some(PeerFrame::Reply(received))) = PeerFrame::decode(&mut bytes) else {
            panic!("no reply");
        };
        let expected = match status {
            200 | 599 => sent,
            _ => RunResult::Unknown(UnknownReason::Invalid),
        };
        assert_eq!(received.result, expected, "{status}");
    }
}
