//! Metrics of requests that pass through real daemons.

use gotham::helpers::http::Body;
use http::Request;
use http_body_util::BodyExt;
use skylarkstream::{
    shell::http_client::HttpClient,
    standin::{backend_server::BackendBehaviour, service_chain::ServiceChain},
};
use std::{net::SocketAddr, time::Duration};

const PROFILE: &str = include_str!("../examples/dispatch-mesh/profiles/tug-dispatch.toml");

async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Body::default())
        .ok()?;
    let response = HttpClient::new().send(address, request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}

/// Maximum number of reads of the metrics before a missing line fails the test. They take half a
/// minute, far longer than any event that a test waits for.
const MAX_METRICS_READS: usize = 1_500;

/// Reads the metrics until they contain a line.
async fn wait_for_line(admin: SocketAddr, line: &str) {
    let mut text = String::new();
    for _ in 0..MAX_METRICS_READS {
        text = get(admin, "/metrics").await.unwrap_or_default();
        if text.lines().any(|found| found == line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{line} is missing in:\n{text}");
}

/// Guards against requests, attempts or added latencies that are counted twice or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn each_request_is_counted_once_at_each_hop() {
    let leaf = BackendBehaviour::new(4, Duration::from_millis(1));
    let entry = leaf.clone().with_call("gate-status", "/stands/4");
    let chain = ServiceChain::builder()
        .profile("tug-dispatch", PROFILE)
        .service("tug-dispatch", "tug-dispatch", 1, entry)
        .service("gate-status", "tug-dispatch", 1, leaf)
        .start()
        .await
        .unwrap();
    let (caller, called) = (&chain.instances[0].settings, &chain.instances[1].settings);
    let attempts = "skylark_attempts_total{service=\"gate-status\",kind=\"first\"} 3";
    let requests = "skylark_requests_total{outcome=\"ran\",reason=\"none\",class=\"0\"} 3";
    let latency = "skylark_added_latency_seconds_count 3";
    for _ in 0..3 {
        get(caller.edge, "/assignments/7").await.unwrap();
    }
    let version = "skylark_profile_version{service=\"gate-status\"} 1";
    for line in [attempts, requests, latency, version] {
        wait_for_line(caller.admin, line).await;
    }
    for line in [requests, latency] {
        wait_for_line(called.admin, line).await;
    }
    chain.stop().await;
}

/// Guards against requests that are not counted when their caller closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_request_is_counted() {
    let behaviour = BackendBehaviour {
        slots: 1,
        service_time: Duration::from_secs(600),
        calls: Vec::new(),
    };
    let chain = ServiceChain::builder()
        .profile(
            "tug-dispatch",
            PROFILE.replace("deadline_ms = 800", "deadline_ms = 600000"),
        )
        .service("tug-dispatch", "tug-dispatch", 1, behaviour)
        .start()
        .await
        .unwrap();
    let settings = &chain.instances[0].settings;
    let request = tokio::spawn(get(settings.edge, "/assignments/7"));
    wait_for_line(settings.admin, "skylark_requests_in_flight 1").await;
    request.abort();
    let cancelled =
        "skylark_requests_total{outcome=\"unknown\",reason=\"cancelled\",class=\"none\"} 1";
    wait_for_line(settings.admin, cancelled).await;
    wait_for_line(settings.admin, "skylark_requests_in_flight 0").await;
}
