//! Framing of HTTP/1.1 messages.

use crate::stand_ins;
use bytes::BytesMut;
use skylarkstream::http1::{
    body_decoder::{BodyDecoder, BodyLength},
    client_connection::{BodyLimits, ClientConnection, ExchangeError, ServerResponse},
    message_head::{MessageError, RequestHead},
};

fn head(text: &str) -> Result<Option<RequestHead>, MessageError> {
    RequestHead::parse(&mut BytesMut::from(text), 1_000)
}

/// Guards against request smuggling: a head that allows two interpretations of the body length is
/// refused.
#[test]
fn ambiguous_lengths_are_refused() {
    for lines in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\n{lines}\r\n");
        let head = head(&text).expect("a head").expect("a complete head");
        assert_eq!(head.body_length(), Err(MessageError::Length), "{lines}");
    }
    for (version, expected) in [
        ("1.0", Err(MessageError::Length)),
        ("1.1", Ok(BodyLength::Chunked)),
    ] {
        let text = format!("POST / HTTP/{version}\r\nTransfer-Encoding: chunked\r\n\r\n");
        let head = head(&text).expect("a head").expect("a complete head");
        assert_eq!(head.body_length(), expected, "{version}");
    }
    assert!(head("GET / HTTP/1.1\r\nA : b\r\n\r\n").is_err());
}

/// Guards against a head of unlimited size.
#[test]
fn large_head_is_refused_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(2_000));
    assert!(matches!(head(&text), Err(MessageError::HeadSize)));
}

/// Guards against hop-by-hop fields that are forwarded to the backend server.
#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let text = "GET / HTTP/1.1\r\nConnection: close, X-Own\r\nX-Own: 1\r\nKeep-Alive: 5\r\n\
        X-Kept: 2\r\n\r\n";
    let head = head(text).expect("a head").expect("a complete head");
    let kept: Vec<_> = head.headers.end_to_end(|_| false).collect();
    assert_eq!(kept, [(&b"X-Kept"[..], &b"2"[..])]);
    assert!(!head.keeps_connection());
}

/// Guards against a body that exceeds its limit or has an invalid chunk.
#[test]
fn bodies_are_bounded_and_checked() {
    let decode = |text: &str, max_bytes| {
        let mut decoder = BodyDecoder::new(BodyLength::Chunked);
        decoder.decode(&mut BytesMut::from(text), &mut BytesMut::new(), max_bytes)
    };
    assert_eq!(decode("4\r\nabcd\r\n", 3), Err(MessageError::BodySize));
    assert_eq!(decode("4\r\nabcdXX", 9), Err(MessageError::Chunk));
    assert_eq!(decode("zz\r\n", 9), Err(MessageError::Chunk));
}

/// Sends one request to a server that writes `response` and then closes.
async fn exchange(response: &'static str) -> Result<ServerResponse, ExchangeError> {
    let address = stand_ins::serve_bytes(response).await;
    let mut connection = ClientConnection::open(address).await?;
    let request = b"GET / HTTP/1.1\r\n\r\n";
    let matches_request = |head: &skylarkstream::http1::message_head::ResponseHead| {
        head.headers.get("Id") == Some(b"own")
    };
    connection
        .exchange(request, false, &BodyLimits::new(1_000), matches_request)
        .await
}

/// Guards against a late response to another request that is returned for this one, and against the
/// loss of the right response that follows it.
#[tokio::test]
async fn response_to_another_request_is_skipped() {
    let response = exchange(
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong\
         HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright",
    )
    .await
    .expect("the matching response");
    assert_eq!(&response.body[..], b"right");
    assert!(!response.is_reusable);
}

/// Guards against a response without a length that is refused, or whose connection is reused.
#[tokio::test]
async fn response_may_end_with_its_connection() {
    let response = exchange("HTTP/1.1 200 OK\r\nId: own\r\n\r\nto the end").await;
    let response = response.expect("a complete response");
    assert_eq!(&response.body[..], b"to the end");
    assert!(!response.is_reusable);
}

/// Guards against data after a response that is read as the start of the next one.
#[tokio::test]
async fn connection_with_extra_bytes_is_not_reused() {
    let response =
        exchange("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
            .await
            .expect("the matching response");
    assert!(!response.is_reusable);
}
