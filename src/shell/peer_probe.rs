//! Periodic membership tasks: expiry of members and probes of instances that are leaving.

use crate::{
    common::*,
    decision::routing::upstream_set::InstanceInfo,
    shell::{daemon::DaemonState, header_names},
};
use futures_util::future;
use gotham::helpers::http::Body;
use http::{HeaderValue, Request};

/// Interval of the probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time to the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of concurrent probes.
const MAX_PROBES: usize = 16;

/// Drops expired members and probes instances that are leaving, which receive no calls. A probe
/// returns the incarnation, so that a restart at the same address is detected even if no other
/// daemon reports it.
pub(super) async fn run(daemon: Arc<DaemonState>) {
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = daemon.clock.now();
        for service in &daemon.settings.calls {
            daemon.members.tick(service, now);
        }
        let leaving = daemon.upstreams.leaving();
        let probes = leaving.iter().take(MAX_PROBES);
        future::join_all(probes.map(|(service, info)| probe(&daemon, service, info))).await;
    }
}

/// Sends a request whose only context header is the cluster. The peer refuses such a request, so it
/// is never run.
async fn probe(daemon: &DaemonState, service: &SmolStr, info: &InstanceInfo) {
    let mut request = Request::new(Body::default());
    let Ok(uri) = format!("http://{}/", info.peer).parse() else {
        return;
    };
    *request.uri_mut() = uri;
    if let Ok(cluster) = HeaderValue::from_str(&daemon.settings.cluster) {
        request.headers_mut().insert(header_names::CLUSTER, cluster);
    }
    let sent = daemon.clock.now();
    let response = daemon.client.send(info.peer, request);
    if let Ok(Ok(response)) = tokio::time::timeout(PROBE_TIMEOUT, response).await {
        daemon.record_peer_incarnation(service, info, response.headers(), sent);
    }
}
