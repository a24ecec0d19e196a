//! Whole path: store, daemons and backend servers on loopback addresses.

use crate::{
    http_text::{field, read_message},
    stand_ins::{BackendStandIn, Behaviour, StoreStandIn, free_port, host, serve_bytes},
};
use skylarkstream::{
    mesh::{mesh_daemon, mesh_settings::MeshSettings},
    platform::{context_names::context_headers, store_calls::PlatformStore},
};
use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinHandle,
};

const CONFIG: &str = r#"{"version":"r1","routes":[
    {"name":"safe","hostname":"h","prefix":"/safe/","route-type":"safe","timeout-s":20,
     "target-latency-s":10,"priority":0,"service":"s","max-attempts":2},
    {"name":"once","hostname":"h","prefix":"/once/","route-type":"unsafe","timeout-s":20,
     "target-latency-s":10,"priority":0,"service":"s","max-attempts":2}],"services":[]}"#;

/// Two daemons with a backend server of the same service each.
struct Fleet {
    backends: Vec<Arc<BackendStandIn>>,
    /// Addresses of the backend servers.
    addresses: Vec<SocketAddr>,
    outbound: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    stops: Vec<watch::Sender<bool>>,
    daemons: Vec<JoinHandle<()>>,
    store: Arc<StoreStandIn>,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_with(true, false).await
    }

    /// Starts a fleet. With `is_turned_away` the store refuses all calls of the first daemon.
    async fn start_with(has_config: bool, is_turned_away: bool) -> Self {
        let [peer, outbound, readiness, backend, store] = [(); 5].map(|()| free_port());
        let store_address = host(1, store);
        let store = StoreStandIn::start(store_address).await;
        let mut fleet = Self {
            backends: Vec::new(),
            addresses: Vec::new(),
            outbound: Vec::new(),
            readiness: Vec::new(),
            daemons: Vec::new(),
            stops: Vec::new(),
            store,
        };
        if has_config {
            fleet.store.put("op/config", CONFIG);
        }
        for number in [2, 3] {
            let address = host(number, backend);
            let id = format!("i-{number}");
            fleet.publish(&id, address, "ready");
            let backend = BackendStandIn::start(address, &id).await;
            fleet.addresses.push(address);
            fleet.backends.push(backend);
        }
        let refusing = serve_bytes("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n").await;
        for number in [2, 3] {
            let is_refused = is_turned_away && number == 2;
            let store_address = if is_refused { refusing } else { store_address };
            let text = format!(
                "instance = \"d-{number}\"\ndata_centre = \"a\"\nservice = \"s\"\n\
                 backend = \"{}\"\noutbound = \"{}\"\npeer = \"{}\"\nreadiness = \"{}\"\n\
                 store = \"{store_address}\"\ngrace_s = 6.0\n\
                 budget = {{ ratio = 0.2, slack = 5000.0, window_s = 10.0 }}\n",
                host(number, backend),
                host(number, outbound),
                host(number, peer),
                host(number, readiness),
            );
            let settings = MeshSettings::from_bytes(text.as_bytes()).expect("settings");
            fleet.outbound.push(settings.outbound);
            fleet.readiness.push(settings.readiness);
            let (sender, stop) = watch::channel(false);
            fleet.stops.push(sender);
            fleet.daemons.push(tokio::spawn(async move {
                let format = Arc::new(PlatformStore);
                let path = PathBuf::from("absent.toml");
                mesh_daemon::run(settings, path, context_headers(), format, stop)
                    .await
                    .expect("a daemon");
            }));
        }
        if has_config {
            fleet.wait_until_ready().await;
        }
        fleet
    }

    fn publish(&self, id: &str, address: SocketAddr, state: &str) {
        let entry = format!(
            r#"{{"service":"s","address":"{address}","zone":"a","version":"v1","slots":20,
            "state":"{state}","cold-remaining-s":0,"sequence":1,"born":1}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    async fn wait_until_ready(&self) {
        for address in &self.readiness {
            while !ask(*address, "GET /readiness HTTP/1.1\r\n\r\n")
                .await
                .starts_with("HTTP/1.1 200")
            {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    fn set(&self, behaviour: Behaviour) {
        self.backends
            .iter()
            .for_each(|backend| backend.set(behaviour));
    }

    fn runs(&self) -> Vec<String> {
        let backends = self.backends.iter();
        backends
            .flat_map(|backend| backend.runs.lock().clone())
            .collect()
    }

    async fn get(&self, path: &str, attempt: &str) -> String {
        ask(self.outbound[0], &request(path, attempt)).await
    }
}

fn request(path: &str, attempt: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\n\
         Caller-Service: forged\r\n\r\n"
    )
}

/// Sends a request on a new connection and returns the answer, empty without one.
async fn ask(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    read_message(&mut stream).await.unwrap_or_default()
}

/// Guards against lost or changed answers, a caller's service that is taken from the caller, and
/// requests without a deadline or an expected instance.
#[tokio::test]
async fn requests_reach_both_instances_with_their_context() {
    let fleet = Fleet::start().await;
    for number in 0..30 {
        let attempt = format!("a{number}");
        let answer = fleet.get("/safe/x?y=1", &attempt).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with(&format!("ran {attempt}")), "{answer}");
        assert_eq!(field(&answer, "server-signature").as_deref(), Some("s"));
    }
    for backend in &fleet.backends {
        let runs = backend.runs.lock();
        assert!(!runs.is_empty(), "one instance gets everything");
        for run in runs.iter() {
            assert!(run.starts_with("GET /safe/x?y=1 HTTP/1.1\r\n"), "{run}");
            assert_eq!(field(run, "caller-service").as_deref(), Some("s"));
            assert_eq!(run.matches("aller-").count(), 1, "{run}");
            assert_eq!(
                field(run, "expect-instance"),
                Some(backend.id.lock().clone())
            );
            let left = field(run, "deadline-ms").and_then(|text| text.parse::<u64>().ok());
            assert!(left.is_some_and(|left| left <= 15_000), "{run}");
        }
    }
}

/// Guards against a daemon without a configuration that says that a route does not exist, or that is
/// ready.
#[tokio::test]
async fn daemon_without_config_refuses_and_is_not_ready() {
    let fleet = Fleet::start_with(false, false).await;
    let mut answer = String::new();
    while answer.is_empty() {
        answer = fleet.get("/safe/x", "a").await;
    }
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(field(&answer, "retry-after").is_some());
    let ready = ask(fleet.readiness[0], "GET /readiness HTTP/1.1\r\n\r\n").await;
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    fleet.store.put("op/config", CONFIG);
    fleet.wait_until_ready().await;
    let answer = fleet.get("/none/", "a").await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

/// Guards against a second run of a request that may run once, and a refusal of one that has run.
#[tokio::test]
async fn lost_answer_of_a_request_that_runs_once_is_reported_as_unknown() {
    let fleet = Fleet::start().await;
    fleet.set(Behaviour::LoseAnswer);
    let answer = fleet.get("/once/x", "a").await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(fleet.runs().len(), 1);
}

/// Guards against an answer of a backend server that is replaced: its own failure is passed on with
/// its signature.
#[tokio::test]
async fn failure_of_a_request_that_runs_once_is_passed_on() {
    let fleet = Fleet::start().await;
    fleet.set(Behaviour::Fail);
    let answer = fleet.get("/once/x", "a").await;
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert_eq!(field(&answer, "server-signature").as_deref(), Some("s"));
    assert_eq!(fleet.runs().len(), 1);
}

/// Guards against more upstreams for one attempt than its route allows.
#[tokio::test]
async fn refusals_of_backend_servers_end_after_the_allowed_attempts() {
    let fleet = Fleet::start().await;
    fleet.set(Behaviour::Refuse);
    let answer = fleet.get("/once/x", "a").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(field(&answer, "retry-after").is_some());
    assert!(fleet.runs().is_empty());
}

/// Guards against pipelined requests that wait for each other, and against answers in another order.
#[tokio::test]
async fn pipelined_requests_run_side_by_side_and_are_answered_in_order() {
    let fleet = Fleet::start().await;
    fleet.set(Behaviour::Hold);
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
    fleet.set(Behaviour::Answer);
    for backend in &fleet.backends {
        backend.release.notify_waiters();
    }
    for number in 0..4 {
        let answer = read_message(&mut stream).await.expect("an answer");
        assert!(answer.ends_with(&format!("ran a{number}")), "{answer}");
    }
}

/// Guards against work for a client that has left.
#[tokio::test]
async fn client_that_leaves_ends_its_run() {
    let fleet = Fleet::start().await;
    fleet.set(Behaviour::Hold);
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

/// Guards against requests that are cut off by the end of a daemon: one in flight is answered, one on
/// a kept connection is served, the answers tell the client to leave, and a request that could not end
/// in time is refused instead of started.
#[tokio::test]
async fn daemon_that_ends_answers_what_it_accepted() {
    let mut fleet = Fleet::start().await;
    fleet.set(Behaviour::Hold);
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
        ready = ask(fleet.readiness[0], "GET /readiness HTTP/1.1\r\n\r\n").await;
    }
    // The time limit of the route exceeds what is left until the process is killed.
    fleet.set(Behaviour::Answer);
    let refusal = fleet.get("/safe/x", "late").await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(field(&refusal, "retry-after").is_some());
    assert_eq!(fleet.runs().len(), 1);
    for backend in &fleet.backends {
        backend.release.notify_waiters();
    }
    let answer = read_message(&mut stream).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(field(&answer, "connection").as_deref(), Some("close"));
    assert_eq!(stream.read(&mut [0]).await.expect("an end"), 0);
    fleet.daemons.remove(0).await.expect("an orderly end");
}

/// Guards against work for an instance that has published that it leaves, through both daemons.
#[tokio::test]
async fn draining_instance_gets_no_work() {
    let fleet = Fleet::start().await;
    fleet.publish("i-2", fleet.addresses[0], "draining");
    let mut elsewhere = 0;
    let mut number = 0;
    // Until the change has arrived, requests may still reach the instance.
    while elsewhere < 40 {
        let before = fleet.backends[0].run_count();
        for outbound in &fleet.outbound {
            number += 1;
            let text = request("/safe/x", &format!("a{number}"));
            let answer = ask(*outbound, &text).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let is_elsewhere = fleet.backends[0].run_count() == before;
        elsewhere = if is_elsewhere { elsewhere + 1 } else { 0 };
    }
}

/// Guards against a daemon that serves nothing because the store refuses it while it serves others.
#[tokio::test]
async fn daemon_that_the_store_turns_away_learns_from_others() {
    let fleet = Fleet::start_with(true, true).await;
    let answer = fleet.get("/safe/x", "a1").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
