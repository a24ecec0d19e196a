//! Which results of attempts count as failures of their upstream.

mod support;

use gotham::helpers::http::Body;
use http::{HeaderMap, Method, uri::PathAndQuery};
use http_body_util::BodyExt;
use skylarkstream::{
    decision::{
        request_context::{CallId, RequestContext, RequestId},
        request_priority::RequestPriority,
        routing::{routing_config::RoutingConfig, upstream_set::InstanceInfo},
    },
    filter::{
        peer_attempt::{PeerAttempt, PeerAttemptResult},
        upstream_guard::UpstreamGuard,
    },
    shell::daemon::DaemonState,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use support::{
    TestDaemon, free_address,
    raw_server::{RawRequest, RawServer, ServerAction},
};

const LONG: Duration = Duration::from_secs(30);

/// Daemon that sends attempts at one of four upstreams, which are enough for one to be ejected.
struct Sender {
    daemon: Arc<DaemonState>,
    info: InstanceInfo,
    progress_timeout: Duration,
}

impl Sender {
    async fn new(peer: SocketAddr) -> Self {
        let address = free_address().await;
        let settings = TestDaemon::settings("b-1", address, address).await;
        let daemon = Arc::new(DaemonState::new(settings).expect("a daemon"));
        let mut members = Vec::new();
        for (name, peer) in [
            ("d-1", peer),
            ("d-2", free_address().await),
            ("d-3", free_address().await),
            ("d-4", free_address().await),
        ] {
            members.push(InstanceInfo {
                instance: name.into(),
                data_centre: "dc-1".into(),
                peer,
                control: peer,
                leaving: false,
            });
        }
        daemon
            .upstreams
            .set_members("documents", &members, Instant::now());
        let info = members.swap_remove(0);
        Self {
            daemon,
            info,
            progress_timeout: LONG,
        }
    }

    async fn attempt(&self, deadline: Duration) -> PeerAttemptResult {
        let service = "documents".into();
        let upstreams = &self.daemon.upstreams;
        let chosen = upstreams.choose_named("documents", "dc-1", "d-1");
        let (key, _) = chosen.expect("the upstream");
        let now = Instant::now();
        let context = RequestContext {
            request: RequestId(1),
            call: CallId(2),
            parent: None,
            attempt: None,
            priority: RequestPriority::LOWEST,
            deadline: now + deadline,
            entered: now,
            allowance: 0,
            depth: 0,
            is_entry: true,
            caller_service: "bookings".into(),
        };
        let attempt = PeerAttempt {
            daemon: &self.daemon,
            service: &service,
            info: &self.info,
            context: &context,
            allowance: 0,
            progress_timeout: self.progress_timeout,
            method: &Method::GET,
            path: &PathAndQuery::from_static("/"),
            headers: &HeaderMap::new(),
            ticket: None,
        };
        let guard = UpstreamGuard::new(&self.daemon, &service, key);
        attempt.send(guard, Body::default()).await
    }

    /// Makes an attempt and reads the whole response, or drops it after its head.
    async fn call(&self, deadline: Duration, reads_body: bool) {
        let result = self.attempt(deadline).await;
        if let Ok(response) = result.response
            && reads_body
        {
            let _ = response.into_body().collect().await;
        }
    }

    fn ejected(&self) -> usize {
        self.daemon.upstreams.ejected("documents", Instant::now())
    }
}

/// Consecutive failures after which an upstream is ejected.
fn eject_failures() -> u32 {
    RoutingConfig::default().eject_failures
}

/// Response of a peer with a chunked body that lacks the last chunk.
fn truncated_response(request: &RawRequest, outcome: &str) -> String {
    let attempt = request.header("skylark-attempt").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nskylark-attempt: {attempt}\r\nskylark-outcome: {outcome}\r\n\
         transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"
    )
}

/// Guards against the ejection of an upstream because callers cancel requests while a body is
/// streamed, and against an upstream that truncates bodies and is not ejected.
#[tokio::test(flavor = "multi_thread")]
async fn only_bodies_truncated_by_the_upstream_eject_it() {
    let streaming =
        RawServer::start(|_, request| ServerAction::Send(truncated_response(request, "ran"))).await;
    let sender = Sender::new(streaming.address).await;
    for _ in 0..eject_failures() {
        sender.call(LONG, false).await;
    }
    assert_eq!(
        (streaming.runs(), sender.ejected()),
        (eject_failures() as usize, 0)
    );
    let truncating = RawServer::start(|_, request| {
        ServerAction::SendThenClose(truncated_response(request, "ran"))
    })
    .await;
    let sender = Sender::new(truncating.address).await;
    for _ in 0..eject_failures() {
        sender.call(LONG, true).await;
    }
    assert_eq!(sender.ejected(), 1);
}

/// Guards against the ejection of an upstream because of short deadlines, and against an upstream
/// that breaks connections and is not ejected.
#[tokio::test(flavor = "multi_thread")]
async fn only_broken_connections_eject_an_upstream() {
    let slow = RawServer::start(|_, _| ServerAction::Hold).await;
    let sender = Sender::new(slow.address).await;
    for _ in 0..eject_failures() {
        sender.call(Duration::from_millis(100), true).await;
    }
    assert_eq!(
        (slow.runs(), sender.ejected()),
        (eject_failures() as usize, 0)
    );
    let broken = RawServer::start(|_, _| ServerAction::SendThenClose(String::new())).await;
    let sender = Sender::new(broken.address).await;
    for _ in 0..eject_failures() {
        sender.call(LONG, true).await;
    }
    assert_eq!(sender.ejected(), 1);
}

/// Guards against an upstream that accepts connections, never responds and is not ejected.
#[tokio::test(flavor = "multi_thread")]
async fn hung_upstream_is_ejected() {
    let hung = RawServer::start(|_, _| ServerAction::Hold).await;
    let mut sender = Sender::new(hung.address).await;
    sender.progress_timeout = Duration::from_millis(50);
    for _ in 0..eject_failures() {
        sender.call(Duration::from_millis(100), true).await;
    }
    assert_eq!(sender.ejected(), 1);
}

/// Guards against a refusal that counts as a failure because its body was dropped, and against one
/// that does not reset the count of consecutive failures.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_refusal_resets_the_failure_count() {
    let refusing = eject_failures() as usize - 1;
    let peer = RawServer::start(move |number, request| match number == refusing {
        true => ServerAction::Send(truncated_response(request, "not-run")),
        false => ServerAction::SendThenClose(truncated_response(request, "ran")),
    })
    .await;
    let sender = Sender::new(peer.address).await;
    for number in 0..=eject_failures() as usize {
        sender.call(LONG, number != refusing).await;
    }
    assert_eq!(sender.ejected(), 0);
}
