//! Outcomes that a daemon reports when another daemon fails; one test for each row of the table in
//! `docs/guarantees.md`.

mod support;

use skylarkstream::{
    decision::{request_priority::RequestPriority, routing::upstream_set::InstanceInfo},
    filter::upstream_guard::UpstreamGuard,
    shell::daemon::DaemonState,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use support::{
    PROFILE, TestDaemon, TestPlatform, call, call_documents, free_address,
    raw_server::{RawRequest, RawServer, ServerAction, ok},
    wait_until,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Daemon whose backend server calls `documents` at the given peers.
async fn start(peers: &[SocketAddr]) -> TestDaemon {
    let platform = TestPlatform::start(PROFILE).await;
    let names = ["d-1", "d-2", "d-3", "d-4", "d-5", "d-6"];
    let members: Vec<_> = names.into_iter().zip(peers.iter().copied()).collect();
    platform.publish_instances("documents", &members);
    let settings = TestDaemon::settings("b-1", platform.address, free_address().await).await;
    TestDaemon::start(&platform, settings).await
}

/// Response of a peer with an outcome header.
fn peer_response(request: &RawRequest, status: &str, outcome: &str, body: &str) -> String {
    let attempt = request.header("skylark-attempt").unwrap_or_default();
    let head = format!("HTTP/1.1 {status}\r\nskylark-attempt: {attempt}\r\n");
    ok(body).replace(
        "HTTP/1.1 200 OK\r\n",
        &format!("{head}skylark-outcome: {outcome}\r\n"),
    )
}

fn ran(request: &RawRequest) -> ServerAction {
    ServerAction::Send(peer_response(request, "200 OK", "ran", "done"))
}

fn refused(request: &RawRequest) -> ServerAction {
    let text = peer_response(request, "503 Shed", "not-run", "");
    ServerAction::Send(text.replace(
        "skylark-outcome",
        "skylark-reason: queue-full\r\nskylark-outcome",
    ))
}

fn is_resume(request: &RawRequest) -> bool {
    request.header("skylark-resume").is_some()
}

/// Number of received attempts, without resume requests.
fn attempts(peer: &RawServer) -> usize {
    peer.requests()
        .iter()
        .filter(|request| !is_resume(request))
        .count()
}

/// Guards against the outcome "unknown" when no connection could be made.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_not_run() {
    let daemon = start(&[free_address().await]).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "503 not-run no-upstream");
}

/// Guards against a second attempt, or the outcome "not run", when the peer closes the connection
/// after it has read the request.
#[tokio::test(flavor = "multi_thread")]
async fn close_after_reading_is_unknown() {
    let peer = RawServer::start(|_, _| ServerAction::SendThenClose(String::new())).await;
    let daemon = start(&[peer.address]).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "502 unknown broken");
    assert_eq!(attempts(&peer), 1);
}

/// Guards against a lost response that is not requested over a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_is_requested_again() {
    let peer = RawServer::start(|_, request| match is_resume(request) {
        true => ran(request),
        false => ServerAction::SendThenClose(String::new()),
    })
    .await;
    let daemon = start(&[peer.address]).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "200 ran done");
    let ids: Vec<_> = peer
        .requests()
        .iter()
        .map(|request| request.header("skylark-attempt").map(str::to_owned))
        .collect();
    assert!(
        ids.len() > 1 && ids.iter().all(|id| *id == ids[0]),
        "{ids:?}"
    );
}

/// Guards against an extra attempt after an unknown outcome if the route is not idempotent, and
/// against a missing extra attempt if it is.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_is_retried_on_idempotent_routes_only() {
    let broken = RawServer::start(|_, _| ServerAction::SendThenClose(String::new())).await;
    let other = RawServer::start(|_, _| ServerAction::SendThenClose(String::new())).await;
    let daemon = start(&[broken.address, other.address]).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "502 unknown broken");
    assert_eq!(attempts(&broken) + attempts(&other), 1);
    let response = call_documents(&daemon, "/read", &[]).await;
    assert_eq!(response.summary(), "502 unknown broken");
    assert_eq!(attempts(&broken) + attempts(&other), 3);
}

/// Guards against the outcome "not run" when the first attempt has an unknown outcome and the
/// second is refused.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_unknown_is_unknown() {
    // The connection of the first attempt breaks at either peer, and the second is refused.
    let first = Arc::new(std::sync::Mutex::new(None::<String>));
    let script = {
        let first = Arc::clone(&first);
        move |_: usize, request: &RawRequest| {
            let id = request.header("skylark-attempt").unwrap().to_owned();
            let mut first = first.lock().unwrap();
            match *first.get_or_insert_with(|| id.clone()) == id {
                true => ServerAction::SendThenClose(String::new()),
                false => refused(request),
            }
        }
    };
    let peers = [
        RawServer::start(script.clone()).await,
        RawServer::start(script).await,
    ];
    let daemon = start(&[peers[0].address, peers[1].address]).await;
    let response = call_documents(&daemon, "/read", &[]).await;
    assert_eq!(response.summary(), "502 unknown broken");
    assert_eq!(attempts(&peers[0]) + attempts(&peers[1]), 2);
}

/// Guards against more attempts than the allowance of the entry permits, and against a refused call
/// that is not sent to another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_retried_within_the_allowance() {
    let mut peers = Vec::new();
    for _ in 0..6 {
        peers.push(RawServer::start(|_, request| refused(request)).await);
    }
    let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
    let daemon = start(&addresses).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "503 not-run queue-full");
    // The peers report no unused extra attempts, so that each attempt also uses up the part of the
    // allowance that it was sent with. Of the allowance of 3, the first attempt is sent with 2, and
    // the only extra attempt takes the third.
    assert_eq!(peers.iter().map(attempts).sum::<usize>(), 2);
}

/// Guards against a marked retry that is not charged, and against a call of an ended request that
/// gets a new allowance.
#[tokio::test(flavor = "multi_thread")]
async fn marked_retry_needs_allowance() {
    let peer = RawServer::start(|_, request| ran(request)).await;
    let daemon = start(&[peer.address]).await;
    let ended = format!("{:032x}-{:016x}", 1, 2);
    let headers = [("skylark-request", ended.as_str()), ("skylark-retry", "1")];
    let response = call_documents(&daemon, "/plain", &headers).await;
    assert_eq!(response.summary(), "503 not-run allowance-spent");
    // The retry budget of the service permits an extra attempt only after a first attempt.
    let response = call_documents(&daemon, "/plain", &headers[1..]).await;
    assert_eq!(response.summary(), "503 not-run allowance-spent");
    for retry_header in [&[][..], &headers[1..]] {
        let response = call_documents(&daemon, "/plain", retry_header).await;
        assert_eq!(response.summary(), "200 ran done");
    }
    // Of the allowance of 3, a marked retry takes 1, and the attempt is sent with half of the rest,
    // rounded up.
    let requests = peer.requests();
    let allowances: Vec<_> = requests
        .iter()
        .map(|request| request.header("skylark-allowance"))
        .collect();
    assert_eq!(allowances, [Some("2"), Some("1")]);
}

/// Guards against a response to another attempt that is forwarded to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_attempt_is_unknown() {
    let peer = RawServer::start(|_, request| {
        let text = peer_response(request, "200 OK", "ran", "other");
        let attempt = request.header("skylark-attempt").unwrap();
        ServerAction::Send(text.replace(attempt, "0000000000000001"))
    })
    .await;
    let daemon = start(&[peer.address]).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "502 unknown wrong-attempt");
}

/// Guards against a duplicate response that is forwarded to the next call on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_response_is_discarded() {
    let peer = RawServer::start(|number, request| {
        let body = format!("response {number}");
        let text = peer_response(request, "200 OK", "ran", &body);
        ServerAction::Send(if number == 0 {
            text.clone() + &text
        } else {
            text
        })
    })
    .await;
    let daemon = start(&[peer.address]).await;
    for number in 0..3 {
        let response = call_documents(&daemon, "/plain", &[]).await;
        assert_eq!(response.summary(), format!("200 ran response {number}"));
    }
}

/// Guards against a truncated short body that is forwarded, or not requested over a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_is_requested_again() {
    let peer = RawServer::start(|_, request| match is_resume(request) {
        true => ran(request),
        false => {
            let text = peer_response(request, "200 OK", "ran", "done");
            ServerAction::SendThenClose(text[..text.len() - 1].to_owned())
        }
    })
    .await;
    let daemon = start(&[peer.address]).await;
    let response = call_documents(&daemon, "/plain", &[]).await;
    assert_eq!(response.summary(), "200 ran done");
}

/// Guards against a streamed body that is truncated or stalls and is forwarded as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_streamed_body_is_aborted() {
    for is_stalled in [false, true] {
        let peer = RawServer::start(move |_, request| {
            let text = peer_response(request, "200 OK", "ran", "");
            let text = text.replace("content-length: 0", "transfer-encoding: chunked");
            let text = text + "5\r\nshort\r\n";
            if is_stalled {
                ServerAction::Send(text)
            } else {
                ServerAction::SendThenClose(text)
            }
        })
        .await;
        let daemon = start(&[peer.address]).await;
        let response = call_documents(&daemon, "/plain", &[]).await;
        assert_eq!(response.summary(), "200 ran aborted");
    }
}

/// Guards against an extra attempt that is sent with the same remaining time as the first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn remaining_time_decreases_with_each_attempt() {
    const DELAY: Duration = Duration::from_millis(30);
    let late = |_: usize, request: &RawRequest| match refused(request) {
        ServerAction::Send(text) => ServerAction::SendAfterDelay(DELAY, text),
        act => act,
    };
    let peers = [RawServer::start(late).await, RawServer::start(late).await];
    let daemon = start(&[peers[0].address, peers[1].address]).await;
    call_documents(&daemon, "/read", &[]).await;
    let mut remaining_us: Vec<u64> = peers
        .iter()
        .flat_map(RawServer::requests)
        .map(|request| {
            request
                .header("skylark-deadline-us")
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect();
    remaining_us.sort_unstable();
    assert!(remaining_us[1] <= 1_500_000, "{remaining_us:?}");
    assert!(
        remaining_us[0] + DELAY.as_micros() as u64 <= remaining_us[1],
        "{remaining_us:?}"
    );
}

/// Guards against an attempt that continues after the caller has closed its connection.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_reaches_the_peer() {
    let peer = RawServer::start(|_, _| ServerAction::Hold).await;
    let daemon = start(&[peer.address]).await;
    let mut stream = TcpStream::connect(daemon.settings.outbound).await.unwrap();
    let head = b"GET /long HTTP/1.1\r\nhost: documents\r\n\r\n";
    stream.write_all(head).await.unwrap();
    wait_until("the request", async || attempts(&peer) == 1).await;
    drop(stream);
    wait_until("the cancellation", async || peer.cancelled() >= 1).await;
}

/// Guards against a threshold that was received before a pause of the process and sheds calls after
/// it.
#[tokio::test]
async fn pause_drops_received_thresholds() {
    let address = free_address().await;
    let settings = TestDaemon::settings("b-1", address, address).await;
    let daemon = DaemonState::new(settings).unwrap();
    let now = Instant::now();
    for _ in 0..200 {
        daemon.thresholds.apply_header("documents=2.7.0", now);
    }
    let admits = || {
        let thresholds = &daemon.thresholds;
        let lowest = RequestPriority::LOWEST;
        thresholds.admits_call("documents", lowest, now) && thresholds.admits(lowest, now)
    };
    assert!(!admits());
    daemon.reset_after_pause(now);
    assert!(admits());
}

/// Guards against a cancelled attempt that stays in the in-flight count of its upstream.
#[tokio::test]
async fn dropped_attempt_is_not_counted_as_in_flight() {
    let address = free_address().await;
    let settings = TestDaemon::settings("b-1", address, address).await;
    let daemon = Arc::new(DaemonState::new(settings).unwrap());
    let info = InstanceInfo {
        instance: "d-1".into(),
        data_centre: "dc-1".into(),
        peer: address,
        control: address,
        leaving: false,
    };
    daemon
        .upstreams
        .set_members("documents", &[info], Instant::now());
    let (key, _) = daemon
        .upstreams
        .choose("documents", &[], Instant::now())
        .unwrap();
    let guard = UpstreamGuard::new(&daemon, &"documents".into(), key);
    assert_eq!(daemon.upstreams.total_in_flight("documents"), 1);
    drop(guard);
    assert_eq!(daemon.upstreams.total_in_flight("documents"), 0);
}

/// Guards against a call of another cluster, of a looping chain of calls or with an invalid context
/// header that is forwarded to the backend server.
#[tokio::test(flavor = "multi_thread")]
async fn calls_with_wrong_context_are_not_run() {
    let backend = RawServer::with_numbered_responses().await;
    let platform = TestPlatform::start(PROFILE).await;
    let settings = TestDaemon::settings("b-1", platform.address, backend.address).await;
    let daemon = TestDaemon::start(&platform, settings).await;
    let trace = "00-000000000000000000000000000000ab-00000000000000cd-01";
    let context = [
        ("skylark-cluster", "test"),
        ("skylark-caller", "gate"),
        ("skylark-attempt", "00000000000000cd"),
        ("skylark-priority", "3.7.0"),
        ("skylark-deadline-us", "1500000"),
        ("skylark-age-us", "0"),
        ("skylark-allowance", "0"),
        ("skylark-depth", "16"),
        ("traceparent", trace),
    ];
    let mut summaries = Vec::new();
    for (name, value) in [
        ("skylark-cluster", "other"),
        ("skylark-depth", "17"),
        ("skylark-priority", "9.7.0"),
        ("skylark-allowance", "-1"),
    ] {
        let changed = context.map(|field| {
            if field.0 == name {
                (name, value)
            } else {
                field
            }
        });
        let response = call(daemon.settings.peer, "/plain", &changed, "").await;
        summaries.push(response.summary());
    }
    assert_eq!(
        summaries,
        [
            "400 not-run wrong-cluster",
            "508 not-run too-deep",
            "400 not-run bad-header",
            "400 not-run bad-header",
        ]
    );
    assert_eq!(backend.runs(), 0);
    let response = call(daemon.settings.peer, "/plain", &context, "").await;
    assert_eq!(response.summary(), "200 ran run 0");
}

/// Guards against an attempt that is reported as not run, and made again elsewhere, by a daemon that was
/// restarted after it had run the attempt: the new process has no record of it.
#[tokio::test(flavor = "multi_thread")]
async fn resume_of_an_attempt_older_than_the_process_is_unknown() {
    let backend = RawServer::with_numbered_responses().await;
    let platform = TestPlatform::start(PROFILE).await;
    let settings = TestDaemon::settings("b-1", platform.address, backend.address).await;
    let daemon = TestDaemon::start(&platform, settings).await;
    let trace = "00-000000000000000000000000000000ab-00000000000000cd-01";
    let mut summaries = Vec::new();
    for (attempt, age_us) in [("00000000000000cd", "60000000"), ("00000000000000ce", "0")] {
        let headers = [
            ("skylark-cluster", "test"),
            ("skylark-caller", "gate"),
            ("skylark-attempt", attempt),
            ("skylark-priority", "3.7.0"),
            ("skylark-deadline-us", "1500000"),
            ("skylark-age-us", age_us),
            ("skylark-allowance", "0"),
            ("skylark-depth", "1"),
            ("traceparent", trace),
            ("skylark-resume", "1"),
        ];
        let response = call(daemon.settings.peer, "/plain", &headers, "").await;
        summaries.push(response.summary());
    }
    assert_eq!(summaries, ["502 unknown broken", "409 not-run cancelled"]);
    assert_eq!(backend.runs(), 0);
}
