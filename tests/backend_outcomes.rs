//! Outcomes that a daemon reports when its backend server fails; one test for each row of the table
//! in `docs/guarantees.md`.

mod support;

use std::time::Duration;
use support::{
    PROFILE, ReceivedResponse, TestDaemon, TestPlatform, call, free_address, get,
    raw_server::{RawServer, ServerAction, ok},
    wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn start(backend: &RawServer) -> TestDaemon {
    let platform = TestPlatform::start(PROFILE).await;
    let settings = TestDaemon::settings("b-1", platform.address, backend.address).await;
    TestDaemon::start(&platform, settings).await
}

async fn respond(act: ServerAction, path: &str) -> ReceivedResponse {
    let backend = RawServer::start(move |_, _| act.clone()).await;
    let daemon = start(&backend).await;
    call(daemon.settings.edge, path, &[], "").await
}

/// Guards against the outcome "unknown" when no connection could be made.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_not_run() {
    let platform = TestPlatform::start(PROFILE).await;
    let settings = TestDaemon::settings("b-1", platform.address, free_address().await).await;
    let daemon = TestDaemon::start(&platform, settings).await;
    let response = call(daemon.settings.edge, "/plain", &[], "").await;
    assert_eq!(response.summary(), "503 not-run no-upstream");
}

/// Guards against the outcome "not run" when the backend server closes the connection after it has
/// read the request.
#[tokio::test(flavor = "multi_thread")]
async fn close_after_reading_is_unknown() {
    let response = respond(ServerAction::SendThenClose(String::new()), "/plain").await;
    assert_eq!(response.summary(), "502 unknown broken");
}

/// Guards against a truncated head that is forwarded as a response.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_head_is_unknown() {
    let response = respond(
        ServerAction::SendThenClose("HTTP/1.1 200 OK\r\nconte".into()),
        "/plain",
    )
    .await;
    assert_eq!(response.summary(), "502 unknown broken");
}

/// Guards against the outcome "not run" when the backend server never responds, and against a
/// request that is not cancelled at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_request_is_unknown() {
    let backend = RawServer::start(|_, _| ServerAction::Hold).await;
    let daemon = start(&backend).await;
    let response = call(daemon.settings.edge, "/short", &[], "").await;
    assert_eq!(response.summary(), "504 unknown deadline");
    wait_until("the cancellation", async || backend.cancelled() == 1).await;
}

/// Guards against a response after the deadline that is forwarded to the next caller on the same
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_is_discarded() {
    let backend = RawServer::start(|number, _| match number {
        0 => ServerAction::SendAfterDelay(Duration::from_millis(400), ok("late")),
        _ => ServerAction::Send(ok("second")),
    })
    .await;
    let daemon = start(&backend).await;
    let first = call(daemon.settings.edge, "/short", &[], "").await;
    assert_eq!(first.summary(), "504 unknown deadline");
    let second = call(daemon.settings.edge, "/plain", &[], "").await;
    assert_eq!(second.summary(), "200 ran second");
}

/// Guards against a truncated body that is forwarded as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_is_aborted() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort";
    let response = respond(ServerAction::SendThenClose(head.into()), "/plain").await;
    assert_eq!(response.summary(), "200 ran aborted");
}

/// Guards against a chunked body without its last chunk that is forwarded as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_chunked_body_is_aborted() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n";
    let response = respond(ServerAction::SendThenClose(head.into()), "/plain").await;
    assert_eq!(response.summary(), "200 ran aborted");
}

/// Guards against the outcome "ran" for a refusal that the profile declares, and against "not run"
/// for another response with the same status.
#[tokio::test(flavor = "multi_thread")]
async fn declared_refusal_is_not_run() {
    let refusal = "HTTP/1.1 503 Busy\r\nx-refused: busy\r\ncontent-length: 0\r\n\r\n";
    let response = respond(ServerAction::Send(refusal.into()), "/plain").await;
    assert_eq!(response.summary(), "503 not-run ");
    let other = "HTTP/1.1 503 Busy\r\nx-refused: later\r\ncontent-length: 0\r\n\r\n";
    let response = respond(ServerAction::Send(other.into()), "/plain").await;
    assert_eq!(response.summary(), "503 ran ");
}

/// Concurrency limit of the admission gate.
async fn concurrency_limit(daemon: &TestDaemon) -> Option<u64> {
    let status = get(daemon.settings.admin, "/status").await?;
    let status: serde_json::Value = serde_json::from_str(&status).ok()?;
    status["load"]["limit"].as_u64()
}

/// Guards against a refusal that does not lower the concurrency limit of the admission gate, also
/// if the body of the refusal is truncated.
#[tokio::test(flavor = "multi_thread")]
async fn declared_refusal_lowers_the_limit() {
    for body in ["", "shor"] {
        let head = "HTTP/1.1 503 Busy\r\nx-refused: busy\r\ncontent-length:";
        let refusal = format!("{head} {}\r\n\r\n{body}", body.len() + body.len() / 4);
        let backend =
            RawServer::start(move |_, _| ServerAction::SendThenClose(refusal.clone())).await;
        let daemon = start(&backend).await;
        let before = concurrency_limit(&daemon).await.unwrap();
        call(daemon.settings.edge, "/plain", &[], "").await;
        wait_until(&format!("the limit after {body:?}"), async || {
            concurrency_limit(&daemon).await.unwrap() < before
        })
        .await;
    }
}

/// Guards against an additional response on a connection that is forwarded to the next caller.
#[tokio::test(flavor = "multi_thread")]
async fn additional_response_is_discarded() {
    let backend = RawServer::start(|number, _| match number {
        0 => ServerAction::Send(ok("first") + &ok("twice")),
        _ => ServerAction::Send(ok("second")),
    })
    .await;
    let daemon = start(&backend).await;
    let first = call(daemon.settings.edge, "/plain", &[], "").await;
    assert_eq!(first.summary(), "200 ran first");
    let second = call(daemon.settings.edge, "/plain", &[], "").await;
    assert_eq!(second.summary(), "200 ran second");
}

/// Guards against a response that is forwarded although the backend server echoes the id of another
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_is_unknown() {
    let other = "HTTP/1.1 200 OK\r\nskylark-request: 1-2\r\ncontent-length: 0\r\n\r\n";
    let response = respond(ServerAction::Send(other.into()), "/plain").await;
    assert_eq!(response.summary(), "502 unknown wrong-attempt");
}

/// Guards against a failure or a second run when the backend server has closed an idle connection.
#[tokio::test(flavor = "multi_thread")]
async fn closed_idle_connection_is_replaced() {
    let backend = RawServer::start(|_, _| ServerAction::SendThenClose(ok("done"))).await;
    let daemon = start(&backend).await;
    for run in 1..=3 {
        let response = call(daemon.settings.edge, "/plain", &[], "").await;
        assert_eq!(response.summary(), "200 ran done");
        assert_eq!(backend.runs(), run);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a request that is sent although its deadline has passed.
#[tokio::test(flavor = "multi_thread")]
async fn passed_deadline_is_not_run() {
    let backend = RawServer::with_numbered_responses().await;
    let daemon = start(&backend).await;
    let response = call(
        daemon.settings.edge,
        "/plain",
        &[("skylark-deadline-us", "0")],
        "",
    )
    .await;
    assert_eq!(response.summary(), "504 not-run deadline");
    assert_eq!(backend.runs(), 0);
}

/// Guards against a truncated request body that the backend server receives as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_request_body_is_aborted() {
    let backend = RawServer::with_numbered_responses().await;
    let daemon = start(&backend).await;
    let mut stream = TcpStream::connect(daemon.settings.edge).await.unwrap();
    let head = b"POST /plain HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nshort";
    stream.write_all(head).await.unwrap();
    wait_until("the connection", async || backend.connections() == 1).await;
    drop(stream);
    wait_until("the abort", async || backend.requests().len() == 1).await;
    assert_eq!(backend.runs(), 0);
}

/// Guards against a request that continues, or a slot that stays occupied, after the caller has
/// closed its connection.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_reaches_the_backend_server() {
    let backend = RawServer::start(|_, _| ServerAction::Hold).await;
    let daemon = start(&backend).await;
    let mut stream = TcpStream::connect(daemon.settings.edge).await.unwrap();
    let head = b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(head).await.unwrap();
    wait_until("the request", async || backend.runs() == 1).await;
    drop(stream);
    wait_until("the cancellation", async || backend.cancelled() == 1).await;
    let mut stream = TcpStream::connect(daemon.settings.admin).await.unwrap();
    let head = b"GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let mut status = String::new();
    stream.read_to_string(&mut status).await.unwrap();
    assert!(status.contains("\"in_flight\":0"), "{status}");
}
