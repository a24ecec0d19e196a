//! Connections of callers that a daemon closes.

use crate::{
    end_to_end::request,
    fleet_view::position,
    http_text::field,
    peer_link::Scenario,
    stand_ins::{Behaviour, config},
};
use http::Response;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use skylarkstream::{
    http1::closing_stream::ClosingStream,
    mesh::{
        caller_connection::CallerConnection, entry_proxy::EntryProxy, store_interface::StoreItem,
    },
};
use std::{
    convert::Infallible,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream},
    task::{JoinHandle, yield_now},
    time::timeout,
};

/// Size of the bodies that the backend server sends.
const BODY_BYTES: usize = 64 << 10;

/// Time after which a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Rounds in which a daemon has read what it can read.
const SETTLING_ROUNDS: usize = 500;

/// Caller whose connection has a buffer of a known size in each direction.
struct Caller {
    scenario: Scenario,
    stream: DuplexStream,
    serving: JoinHandle<()>,
}

impl Caller {
    /// Connects a caller to a daemon whose backend server sends large bodies.
    async fn connect(buffer_bytes: usize) -> Self {
        let scenario = Scenario::start().await;
        let entry = format!(
            r#"{{"service":"s","address":"{}","zone":"a","version":"v1","slots":200,
            "state":"ready","cold-remaining-s":0,"sequence":1}}"#,
            scenario.state.settings.backend
        );
        let item = |instance: Option<&str>, value: String| StoreItem {
            is_config: instance.is_none(),
            instance: instance.map(Into::into),
            position: position(1),
            value: Some(value.into()),
        };
        let items = [item(None, config(1)), item(Some("i-1"), entry)];
        scenario.state.apply_store_list(&items, position(1));
        *scenario.backend.body.lock() = Some("x".repeat(BODY_BYTES));
        let (state, links) = (Arc::clone(&scenario.state), Arc::clone(&scenario.links));
        let proxy = Arc::new(EntryProxy::new(state, links));
        let (stream, daemon_stream) = tokio::io::duplex(buffer_bytes);
        let serving = tokio::spawn(async move {
            let (mut reader, mut writer) = tokio::io::split(daemon_stream);
            let connection = CallerConnection::new(proxy);
            connection.serve(&mut reader, &mut writer).await;
        });
        Self {
            scenario,
            stream,
            serving,
        }
    }

    async fn send(&mut self, text: &str) {
        let sending = timeout(TEST_TIMEOUT, self.stream.write_all(text.as_bytes()));
        sending.await.expect("room in time").expect("a write");
    }

    /// Lets the daemon read what was sent, and the backend server run it.
    async fn settle(&self) {
        for _ in 0..SETTLING_ROUNDS {
            yield_now().await;
        }
    }

    /// Reads everything until the daemon closes the connection; returns for each complete response
    /// whether it says that the connection closes.
    async fn read_to_end(&mut self) -> Vec<bool> {
        let mut text = String::new();
        let reading = self.stream.read_to_string(&mut text);
        let reading = timeout(TEST_TIMEOUT, reading).await;
        reading.expect("a close in time").expect("a text");
        let mut closes = Vec::new();
        let mut rest = text.as_str();
        while let Some((head, body)) = rest.split_once("\r\n\r\n") {
            let length = field(&format!("{head}\r\n\r\n"), "content-length");
            let length = length.and_then(|length| length.parse::<usize>().ok());
            let length = length.expect("a length");
            assert!(body.len() >= length, "a response was cut off");
            closes.push(head.contains("Connection: close"));
            rest = &body[length..];
        }
        closes
    }
}

/// Guards against a request that is passed on although its connection closes: the daemon stops, and the
/// request comes before, while or after the last response is written.
#[tokio::test]
async fn stopping_daemon_answers_each_request_that_it_starts() {
    let whole = |attempt: &str| request("/safe/x", attempt);
    let upload = "POST /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nDeadline-Ms: 15000\r\n\
                  Content-Length: 4\r\n\r\n";
    let (half, rest) = upload.split_at(30);
    // What is sent before the stop, after it, and while the first response is written; and how many
    // requests are answered.
    let rows = [
        ("", "", whole("b"), 1),
        ("", &whole("b"), String::new(), 2),
        (&whole("b"), "", whole("c"), 3),
        (upload, "", "body".into(), 2),
        (half, "", rest.to_owned() + "body", 2),
        (upload, "bo", "dy".to_owned() + &whole("c"), 3),
    ];
    for (row, (before, after, meanwhile, count)) in rows.into_iter().enumerate() {
        let mut caller = Caller::connect(1_024).await;
        let backend = Arc::clone(&caller.scenario.backend);
        backend.set(Behaviour::Hold);
        caller.send(&(whole("a") + before)).await;
        caller.settle().await;
        let latest = Instant::now() + Duration::from_secs(60);
        caller.scenario.state.start_leaving(latest);
        caller.send(after).await;
        caller.settle().await;
        backend.set(Behaviour::Respond);
        backend.release.notify_waiters();
        let mut first = [0; 1];
        let reading = timeout(TEST_TIMEOUT, caller.stream.read_exact(&mut first));
        reading.await.expect("a response in time").expect("a byte");
        caller.send(&meanwhile).await;
        caller.settle().await;
        let started = caller.scenario.state.open_requests();
        assert_eq!(started, count, "row {row}");
        let closes: Vec<bool> = (1..=count).map(|number| number == count).collect();
        assert_eq!(caller.read_to_end().await, closes, "row {row}");
    }
}

/// Guards against a response that is lost with a connection that the daemon has closed, since what the
/// caller sends later resets it; and against callers that hold closed connections for ever.
#[tokio::test]
async fn closed_connection_stays_until_the_caller_closes_it() {
    let last = request("/safe/x", "a").replace("Host", "Connection: close\r\nHost");
    let upload = "POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n";
    for (first, closes_first) in [(last.as_str(), true), (&last, false), (upload, true)] {
        let mut caller = Caller::connect(2 * BODY_BYTES).await;
        let connections = Arc::clone(&caller.scenario.state.connections);
        caller.send(first).await;
        let closing = async {
            while connections.closing_count() == 0 {
                yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, closing).await.expect("a close");
        tokio::time::pause();
        for _ in 0..15 {
            tokio::time::advance(Duration::from_secs(1)).await;
            caller.send(&"x".repeat(BODY_BYTES)).await;
            caller.settle().await;
        }
        assert_eq!(connections.closing_count(), 1);
        if closes_first {
            assert_eq!(caller.read_to_end().await, [true]);
            drop(caller.stream);
        } else {
            tokio::time::advance(Duration::from_secs(10)).await;
        }
        tokio::time::resume();
        let serving = timeout(TEST_TIMEOUT, caller.serving).await;
        serving.expect("an end in time").expect("no panic");
        assert_eq!(connections.count(), 0);
    }
}

/// Guards against a daemon whose stop is held up by callers that do not close a connection on which they
/// have got nothing.
#[tokio::test]
async fn connection_without_a_response_does_not_hold_up_a_stop() {
    let mut caller = Caller::connect(1_024).await;
    caller.send("GET /safe/x HTTP/1.1\r\n").await;
    caller.settle().await;
    caller.scenario.state.connections.close_all();
    let serving = timeout(TEST_TIMEOUT, caller.serving).await;
    serving.expect("an end in time").expect("no panic");
}

/// Guards against a response that is lost with a connection which the product's own listeners have
/// closed.
#[tokio::test(start_paused = true)]
async fn own_listener_keeps_a_closed_connection_until_the_caller_closes_it() {
    let (mut stream, server_stream) = tokio::io::duplex(64 << 10);
    let service = service_fn(async |_| Ok::<_, Infallible>(Response::new("body".to_owned())));
    let connection = http1::Builder::new()
        .serve_connection(TokioIo::new(ClosingStream::new(server_stream)), service);
    let serving = tokio::spawn(connection);
    let text = request("/safe/x", "a").replace("Host", "Connection: close\r\nHost");
    for _ in 0..15 {
        stream.write_all(text.as_bytes()).await.expect("a write");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert!(!serving.is_finished(), "the connection has ended");
    let mut received = String::new();
    let reading = stream.read_to_string(&mut received).await;
    reading.expect("an end");
    assert!(received.ends_with("body"), "{received}");
    drop(stream);
    let serving = serving.await.expect("no panic");
    serving.expect("a clean end");
}
