//! End-to-end tests with a store, daemons and backend servers on loopback addresses.

use crate::{
    http_text::{field, read_message},
    stand_ins::{BackendStandIn, Behaviour, StoreStandIn, free_port, loopback, serve_bytes},
};
use skylarkstream::{
    decision::clock::{Clock, SystemClock},
    mesh::{mesh_daemon, mesh_settings::MeshSettings},
    platform::{context_names::context_headers, store_format::PlatformStore},
};
use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinHandle,
    time::timeout,
};

const CONFIG: &str = r#"{"version":"r1","routes":[
    {"name":"safe","hostname":"h","prefix":"/safe/","route-type":"safe","timeout-s":20,
     "target-latency-s":10,"priority":0,"service":"s","max-attempts":2},
    {"name":"once","hostname":"h","prefix":"/once/","route-type":"unsafe","timeout-s":20,
     "target-latency-s":10,"priority":0,"service":"s","max-attempts":2}],"services":[]}"#;

/// Time between the stop signal and the end of a daemon, in seconds.
const GRACE_S: f64 = 6.0;

/// Two daemons, each with a backend server of the same service.
pub struct Fleet {
    pub backends: Vec<Arc<BackendStandIn>>,
    /// Addresses of the backend servers.
    pub addresses: Vec<SocketAddr>,
    pub outbound: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    /// Addresses of the metrics.
    pub metrics: Vec<SocketAddr>,
    stops: Vec<watch::Sender<bool>>,
    daemons: Vec<JoinHandle<()>>,
    store: Arc<StoreStandIn>,
}

impl Fleet {
    pub async fn start() -> Self {
        Self::start_with(true, false, GRACE_S).await
    }

    /// Starts a fleet whose daemons read a clock.
    pub async fn start_with_clock(clock: Arc<dyn Clock>) -> Self {
        Self::start_all(true, false, GRACE_S, clock).await
    }

    /// Starts a fleet. If `is_store_refusing` is true, the store refuses all calls of the first
    /// daemon.
    async fn start_with(has_config: bool, is_store_refusing: bool, grace_s: f64) -> Self {
        Self::start_all(
            has_config,
            is_store_refusing,
            grace_s,
            Arc::new(SystemClock),
        )
        .await
    }

    async fn start_all(
        has_config: bool,
        is_store_refusing: bool,
        grace_s: f64,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let [peer, outbound, readiness, metrics, backend, store] = [(); 6].map(|()| free_port());
        let store_address = loopback(1, store);
        let store = StoreStandIn::start(store_address).await;
        let mut fleet = Self {
            backends: Vec::new(),
            addresses: Vec::new(),
            outbound: Vec::new(),
            readiness: Vec::new(),
            metrics: Vec::new(),
            daemons: Vec::new(),
            stops: Vec::new(),
            store,
        };
        if has_config {
            fleet.store.put("op/config", CONFIG);
        }
        for number in [2, 3] {
            let address = loopback(number, backend);
            let id = format!("i-{number}");
            fleet.publish(&id, address, "ready");
            let backend = BackendStandIn::start(address, &id).await;
            fleet.addresses.push(address);
            fleet.backends.push(backend);
        }
        let refusing = serve_bytes("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        for number in [2, 3] {
            let is_refused = is_store_refusing && number == 2;
            let store_address = if is_refused { refusing } else { store_address };
            let text = format!(
                "instance = \"d-{number}\"\ndata_centre = \"a\"\nservice = \"s\"\n\
                 backend = \"{}\"\noutbound = \"{}\"\npeer = \"{}\"\nreadiness = \"{}\"\n\
                 metrics = \"{}\"\n\
                 store = \"{store_address}\"\ngrace_s = {grace_s:?}\n\
                 budget = {{ ratio = 0.2, slack = 5000.0, window_s = 10.0 }}\n",
                loopback(number, backend),
                loopback(number, outbound),
                loopback(number, peer),
                loopback(number, readiness),
                loopback(number, metrics),
            );
            let settings = MeshSettings::from_bytes(text.as_bytes()).expect("settings");
            fleet.outbound.push(settings.outbound);
            fleet.readiness.push(settings.readiness);
            fleet.metrics.push(loopback(number, metrics));
            let (sender, stop) = watch::channel(false);
            fleet.stops.push(sender);
            let clock = Arc::clone(&clock);
            fleet.daemons.push(tokio::spawn(async move {
                let format = Arc::new(PlatformStore);
                let path = PathBuf::from("absent.toml");
                mesh_daemon::run(settings, path, context_headers(), format, clock, stop)
                    .await
                    .expect("a daemon");
            }));
        }
        if has_config {
            fleet.wait_until_ready().await;
        }
        fleet
    }

    pub fn publish(&self, id: &str, address: SocketAddr, state: &str) {
        let entry = format!(
            r#"{{"service":"s","address":"{address}","zone":"a","version":"v1","slots":20,
            "state":"{state}","cold-remaining-s":0,"sequence":1,"born":1}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    pub async fn wait_until_ready(&self) {
        for address in &self.readiness {
            while !send_request(*address, "GET /readiness HTTP/1.1\r\n\r\n")
                .await
                .starts_with("HTTP/1.1 200")
            {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    pub fn put_config(&self, config: &str) {
        self.store.put("op/config", config);
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.backends
            .iter()
            .for_each(|backend| backend.set(behaviour));
    }

    pub fn runs(&self) -> Vec<String> {
        let backends = self.backends.iter();
        backends
            .flat_map(|backend| backend.runs.lock().clone())
            .collect()
    }

    async fn get(&self, path: &str, attempt: &str) -> String {
        send_request(self.outbound[0], &request(path, attempt)).await
    }
}

pub fn request(path: &str, attempt: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\n\
         Caller-Service: forged\r\n\r\n"
    )
}

/// Sends a request on a new connection and returns the response, or an empty text without one.
pub async fn send_request(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    read_message(&mut stream).await.unwrap_or_default()
}

/// Sends requests to both daemons in turn; returns how many of them succeeded.
pub async fn send_requests(fleet: &Fleet, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let outbound = fleet.outbound[number % fleet.outbound.len()];
        let text = request("/safe/x", &format!("a{number}"));
        let response = send_request(outbound, &text).await;
        served += usize::from(response.starts_with("HTTP/1.1 200"));
    }
    served
}

/// Guards against lost or changed responses, a `Caller-Service` header that is copied from the
/// caller, and requests that are forwarded without a deadline or an expected instance.
#[tokio::test]
async fn requests_reach_both_instances_with_their_context() {
    let fleet = Fleet::start().await;
    for number in 0..30 {
        let attempt = format!("a{number}");
        let response = fleet.get("/safe/x?y=1", &attempt).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with(&format!("ran {attempt}")), "{response}");
        assert_eq!(field(&response, "server-signature").as_deref(), Some("s"));
    }
    for backend in &fleet.backends {
        let runs = backend.runs.lock();
        assert!(!runs.is_empty(), "one instance gets all requests");
        for run in runs.iter() {
            assert!(run.starts_with("GET /safe/x?y=1 HTTP/1.1\r\n"), "{run}");
            assert_eq!(field(run, "caller-service").as_deref(), Some("s"));
            assert_eq!(run.matches("aller-").count(), 1, "{run}");
            assert_eq!(
                field(run, "expect-instance"),
                Some(backend.id.lock().clone())
            );
            let remaining = field(run, "deadline-ms").and_then(|text| text.parse::<u64>().ok());
            assert!(
                remaining.is_some_and(|remaining| remaining <= 15_000),
                "{run}"
            );
        }
    }
}

/// Guards against a daemon that reports a missing route, or is ready, before it has received a
/// configuration.
#[tokio::test]
async fn daemon_without_config_refuses_and_is_not_ready() {
    let fleet = Fleet::start_with(false, false, GRACE_S).await;
    let mut response = String::new();
    while response.is_empty() {
        response = fleet.get("/safe/x", "a").await;
    }
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(field(&response, "retry-after").is_some());
    let ready = send_request(fleet.readiness[0], "GET /readiness HTTP/1.1\r\n\r\n").await;
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    fleet.store.put("op/config", CONFIG);
    fleet.wait_until_ready().await;
    let response = fleet.get("/none/", "a").await;
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

/// Guards against a second run of an at-most-once request, and against reporting as refused what
/// has run.
#[tokio::test]
async fn lost_response_to_an_at_most_once_request_is_reported_as_unknown() {
    let fleet = Fleet::start().await;
    fleet.set_behaviour(Behaviour::CloseAfterRun);
    let response = fleet.get("/once/x", "a").await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(fleet.runs().len(), 1);
}

/// Guards against an error response of a backend server that is replaced by a local response
/// instead of forwarded with its signature.
#[tokio::test]
async fn failure_of_an_at_most_once_request_is_forwarded() {
    let fleet = Fleet::start().await;
    fleet.set_behaviour(Behaviour::Fail);
    let response = fleet.get("/once/x", "a").await;
    assert!(response.starts_with("HTTP/1.1 500"), "{response}");
    assert_eq!(field(&response, "server-signature").as_deref(), Some("s"));
    assert_eq!(fleet.runs().len(), 1);
}

/// Guards against more attempts at a request than its route allows.
#[tokio::test]
async fn refusals_by_backend_servers_stop_after_the_allowed_attempts() {
    let fleet = Fleet::start().await;
    fleet.set_behaviour(Behaviour::Refuse);
    let response = fleet.get("/once/x", "a").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(field(&response, "retry-after").is_some());
    assert!(fleet.runs().is_empty());
}

/// Guards against pipelined requests that block each other, and against responses out of order.
#[tokio::test]
async fn pipelined_requests_run_concurrently_and_get_responses_in_order() {
    let fleet = Fleet::start().await;
    fleet.set_behaviour(Behaviour::Hold);
    let mut stream = TcpStream::connect(fleet.outbound[0])
        .await
        .expect("a connection");
    let requests: String = (0..4)
        .map(|number| request("/safe/x", &format!("a{number}")))
        .collect();
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("a write");
    while fleet.runs().len() < 4 {
        tokio::task::yield_now().await;
    }
    fleet.set_behaviour(Behaviour::Respond);
    for backend in &fleet.backends {
        backend.release.notify_waiters();
    }
    for number in 0..4 {
        let response = read_message(&mut stream).await.expect("a response");
        assert!(response.ends_with(&format!("ran a{number}")), "{response}");
    }
}

/// Guards against pipelined requests that are never answered, since there are more of them than run at
/// once: all were read before there was room for the last ones.
#[tokio::test]
async fn all_pipelined_requests_of_one_write_get_responses() {
    const REQUESTS: usize = 200;
    const TEST_TIMEOUT: Duration = Duration::from_secs(60);
    let fleet = Fleet::start().await;
    let mut stream = TcpStream::connect(fleet.outbound[0])
        .await
        .expect("a connection");
    let requests: String = (0..REQUESTS)
        .map(|number| request("/safe/x", &format!("a{number}")))
        .collect();
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("a write");
    for number in 0..REQUESTS {
        let response = timeout(TEST_TIMEOUT, read_message(&mut stream)).await;
        assert!(matches!(response, Ok(Some(_))), "request {number}");
    }
}

/// Guards against a response that is lost with the end of the daemon, since its caller reads it slowly:
/// one that is not written yet, and one that is, which the caller's next request would reset.
#[tokio::test]
async fn stopping_daemon_waits_until_callers_have_read_their_responses() {
    /// Time after which an idle daemon without connections has stopped.
    const STOP_TIME: Duration = Duration::from_millis(3_500);
    for body_bytes in [24 << 20, 1 << 10] {
        let mut fleet = Fleet::start_with(true, false, 120.0).await;
        for backend in &fleet.backends {
            *backend.body.lock() = Some("x".repeat(body_bytes));
        }
        let mut stream = TcpStream::connect(fleet.outbound[0])
            .await
            .expect("a connection");
        let text = request("/safe/x", "a");
        stream.write_all(text.as_bytes()).await.expect("a write");
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.expect("a response");
        fleet.stops[0].send_replace(true);
        tokio::time::sleep(STOP_TIME).await;
        assert!(!fleet.daemons[0].is_finished(), "the daemon has stopped");
        stream.write_all(text.as_bytes()).await.expect("a write");
        let mut received = Vec::new();
        let reading = stream.read_to_end(&mut received).await;
        reading.expect("an end without a reset");
        assert!(received.len() > body_bytes, "{} bytes", received.len());
        drop(stream);
        let daemon = fleet.daemons.remove(0);
        daemon.await.expect("the daemon stops");
    }
}

/// Guards against runs that continue after their client has disconnected.
#[tokio::test]
async fn run_is_cancelled_when_its_client_disconnects() {
    let fleet = Fleet::start().await;
    fleet.set_behaviour(Behaviour::Hold);
    let mut stream = TcpStream::connect(fleet.outbound[0])
        .await
        .expect("a connection");
    let request = request("/safe/x", "a");
    stream.write_all(request.as_bytes()).await.expect("a write");
    while fleet.runs().is_empty() {
        tokio::task::yield_now().await;
    }
    drop(stream);
    let cancelled = || -> usize {
        let backends = fleet.backends.iter();
        backends.map(|backend| *backend.cancelled.lock()).sum()
    };
    while cancelled() == 0 {
        tokio::task::yield_now().await;
    }
}

/// Guards against requests that are lost when a daemon stops: a request in flight on a kept
/// connection gets its response with `Connection: close`, and one that could not complete in time
/// is refused instead of started.
#[tokio::test]
async fn stopping_daemon_completes_accepted_requests() {
    let mut fleet = Fleet::start().await;
    fleet.set_behaviour(Behaviour::Hold);
    let mut stream = TcpStream::connect(fleet.outbound[0])
        .await
        .expect("a connection");
    let text = request("/safe/x", "a");
    stream.write_all(text.as_bytes()).await.expect("a write");
    while fleet.runs().is_empty() {
        tokio::task::yield_now().await;
    }
    fleet.stops[0].send_replace(true);
    let mut ready = String::from("HTTP/1.1 200");
    while ready.starts_with("HTTP/1.1 200") {
        ready = send_request(fleet.readiness[0], "GET /readiness HTTP/1.1\r\n\r\n").await;
    }
    // The timeout of the route exceeds the time that remains until the process is killed.
    fleet.set_behaviour(Behaviour::Respond);
    let refusal = fleet.get("/safe/x", "late").await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(field(&refusal, "retry-after").is_some());
    assert_eq!(fleet.runs().len(), 1);
    for backend in &fleet.backends {
        backend.release.notify_waiters();
    }
    let response = read_message(&mut stream).await.expect("a response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(field(&response, "connection").as_deref(), Some("close"));
    assert_eq!(stream.read(&mut [0]).await.expect("a read"), 0);
    fleet.daemons.remove(0).await.expect("a clean exit");
}

/// Guards against requests, through either daemon, to an instance that is published as draining.
#[tokio::test]
async fn draining_instance_receives_no_requests() {
    let fleet = Fleet::start().await;
    fleet.publish("i-2", fleet.addresses[0], "draining");
    let mut unused_rounds = 0;
    let mut number = 0;
    // Requests may still reach the instance until the daemons have received the change.
    while unused_rounds < 40 {
        let before = fleet.backends[0].run_count();
        for outbound in &fleet.outbound {
            number += 1;
            let text = request("/safe/x", &format!("a{number}"));
            let response = send_request(*outbound, &text).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let is_unused = fleet.backends[0].run_count() == before;
        unused_rounds = if is_unused { unused_rounds + 1 } else { 0 };
    }
}

/// Guards against a daemon that serves no requests because the store refuses only its calls.
#[tokio::test]
async fn daemon_refused_by_the_store_gets_its_state_from_peers() {
    let fleet = Fleet::start_with(true, true, GRACE_S).await;
    let response = fleet.get("/safe/x", "a1").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
