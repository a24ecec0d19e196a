//! Drains and pauses of daemons, within a chain and as processes.

use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use skylarkstream::{
    decision::routing::upstream_set::InstanceInfo,
    shell::{header_names, http_client::HttpClient, http_server},
    standin::{
        backend_server::{BackendBehaviour, BackendServer, DownstreamCall},
        loopback_address,
        service_chain::{ChainBuilder, ServiceChain},
    },
};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinHandle};

const PROFILE: &str = r#"
name = "dispatch"
default_class = "roster"
classes = { assignment = 0, roster = 3 }
"#;

const CONTEXT: [(&str, &str); 8] = [
    ("skylark-cluster", "loopback"),
    ("skylark-caller", "tug-dispatch"),
    ("skylark-priority", "3.7.0"),
    ("skylark-deadline-us", "500000"),
    ("skylark-age-us", "0"),
    ("skylark-allowance", "0"),
    ("skylark-depth", "1"),
    (
        "traceparent",
        "00-000000000000000000000000000000ab-00000000000000cd-01",
    ),
];

fn behaviour(service_ms: u64, calls: &[&str]) -> BackendBehaviour {
    let calls = calls.iter().map(|service| DownstreamCall {
        service: (*service).into(),
        path: "/stands/4".into(),
    });
    BackendBehaviour {
        slots: 16,
        service_time: Duration::from_millis(service_ms),
        calls: calls.collect(),
    }
}

fn chain(leaves: usize) -> ChainBuilder {
    ServiceChain::builder()
        .profile("dispatch", PROFILE)
        .service(
            "tug-dispatch",
            "dispatch",
            1,
            behaviour(1, &["stand-status"]),
        )
        .service("stand-status", "dispatch", leaves, behaviour(1, &[]))
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

impl Answer {
    fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("-", |value| value.to_str().unwrap_or("?"))
    }

    /// Describes the answer without what differs between runs.
    fn line(&self) -> String {
        let leaving = self.headers.contains_key(header_names::LEAVING);
        // The body of a refusal has a retry-after time that is spread by random rank.
        let is_refusal = self.headers.contains_key(header_names::REASON);
        let body = if is_refusal { "" } else { self.body.trim() };
        let line = format!(
            "{} outcome={} reason={} connection={} leaving={leaving} {body}",
            self.status.as_u16(),
            self.header("skylark-outcome"),
            self.header("skylark-reason"),
            self.header("connection"),
        );
        line.trim_end().into()
    }
}

async fn send(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Answer, String> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Body::default())
        .map_err(|error| error.to_string())?;
    let response = client.send(address, request).await;
    let (parts, body) = response.map_err(|error| error.to_string())?.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    })
}

async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Result<Answer, String> {
    send(&HttpClient::new(), Method::GET, address, path, headers).await
}

async fn until(mut is_met: impl AsyncFnMut() -> bool) {
    while !is_met().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn is_closed(address: SocketAddr) -> bool {
    tokio::net::TcpStream::connect(address).await.is_err()
}

/// Guards against a change in what callers, peers and operators see of a drain: new work is
/// refused and never run, peers turn away at once, and accepted work finishes.
#[tokio::test(flavor = "multi_thread")]
async fn drain_session() {
    let chain = chain(2).refusal_ms(2_000).start().await.unwrap();
    let entry = chain.instances[0].settings.edge;
    let leaving = &chain.instances[1];
    let settings = leaving.settings.clone();
    let mut session = Vec::new();
    let mut note = |step: &str, answer: Answer| session.push(format!("{step}: {}", answer.line()));

    note("ready", get(settings.admin, "/ready", &[]).await.unwrap());
    note(
        "through the entry",
        get(entry, "/assignments/1", &[]).await.unwrap(),
    );
    let before = leaving.backend.runs();
    leaving.backend.set_slowdown(1_500);
    let slow = tokio::spawn(get(settings.edge, "/slow", &[]));
    until(async || leaving.backend.runs() > before).await;
    let client = HttpClient::new();
    let drain = send(&client, Method::POST, settings.admin, "/drain", &[]).await;
    note("drain", drain.unwrap());
    until(async || get(settings.admin, "/ready", &[]).await.unwrap().status != 200).await;
    note("ready", get(settings.admin, "/ready", &[]).await.unwrap());
    note(
        "outside caller",
        get(settings.edge, "/stands/4", &[]).await.unwrap(),
    );
    note(
        "peer",
        get(settings.peer, "/stands/4", &CONTEXT).await.unwrap(),
    );
    for _ in 0..20 {
        assert_eq!(get(entry, "/assignments/1", &[]).await.unwrap().status, 200);
    }
    note(
        "through the entry",
        get(entry, "/assignments/1", &[]).await.unwrap(),
    );
    note("accepted before the drain", slow.await.unwrap().unwrap());
    until(async || is_closed(settings.admin).await).await;
    note(
        "after the end",
        get(entry, "/assignments/1", &[]).await.unwrap(),
    );
    session.push(format!(
        "runs since the drain: {}",
        leaving.backend.runs() - before - 1
    ));
    insta::assert_snapshot!(session.join("\n"));
    chain.stop().await;
}

/// Daemon as a process of its own, with a backend server in the test.
struct DaemonProcess {
    child: Child,
    info: InstanceInfo,
    edge: SocketAddr,
    admin: SocketAddr,
    backend: BackendServer,
    log: Arc<Mutex<Vec<String>>>,
    _stop: watch::Sender<bool>,
}

impl DaemonProcess {
    async fn start(service: &str, platform: SocketAddr, behaviour: BackendBehaviour) -> Self {
        let [backend_address, edge, peer, outbound, control, admin] =
            [(); 6].map(|()| loopback_address::reserve().expect("A port is free."));
        let calls: Vec<_> = behaviour
            .calls
            .iter()
            .map(|call| call.service.as_str())
            .collect();
        let text = format!(
            "cluster = \"loopback\"\ndata_centre = \"dc-1\"\ninstance = \"{service}-process\"\n\
             service = \"{service}\"\nbackend = \"{backend_address}\"\nedge = \"{edge}\"\n\
             peer = \"{peer}\"\noutbound = \"{outbound}\"\ncontrol = \"{control}\"\n\
             admin = \"{admin}\"\nplatform = \"{platform}\"\ncalls = {calls:?}\n"
        );
        let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{service}-{}.toml", std::process::id()));
        std::fs::write(&file, text).expect("The settings file can be written.");
        let backend = BackendServer::new(behaviour, outbound);
        let stop = watch::Sender::new(false);
        let listener = tokio::net::TcpListener::bind(backend_address).await;
        let listener = listener.expect("The address of the backend server is free.");
        tokio::spawn(http_server::serve(
            listener,
            backend.clone(),
            stop.subscribe(),
        ));
        let mut child = Command::new(env!("CARGO_BIN_EXE_skylarkstream"))
            .args(["run", "--settings"])
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("The binary starts.");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = child.stderr.take().map(BufReader::new);
        let sink = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines
                .into_iter()
                .flat_map(BufRead::lines)
                .map_while(Result::ok)
            {
                sink.lock().expect("No holder panics.").push(line);
            }
        });
        let process = Self {
            child,
            info: InstanceInfo {
                instance: format!("{service}-process").into(),
                data_centre: "dc-1".into(),
                peer,
                control,
                leaving: false,
            },
            edge,
            admin,
            backend,
            log,
            _stop: stop,
        };
        until(
            async || matches!(get(admin, "/ready", &[]).await, Ok(answer) if answer.status == 200),
        )
        .await;
        process
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).expect("The process takes the signal.");
    }

    fn has_logged(&self, part: &str) -> bool {
        let log = self.log.lock().expect("No holder panics.");
        log.iter().any(|line| line.contains(part))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends requests one after the other until told to end, and counts the results.
fn load(
    address: SocketAddr,
    end: &Arc<AtomicBool>,
    ends_with_drain: bool,
) -> JoinHandle<BTreeMap<String, u64>> {
    let end = Arc::clone(end);
    tokio::spawn(async move {
        let client = HttpClient::new();
        let mut counts = BTreeMap::new();
        while !end.load(Ordering::Relaxed) {
            let answer = send(&client, Method::GET, address, "/assignments/1", &[]).await;
            let result = answer.map_or_else(
                |error| error,
                |answer| {
                    let reason = answer.header("skylark-reason");
                    format!("{} {reason}", answer.header("skylark-outcome"))
                },
            );
            let is_draining = result == "not-run draining";
            *counts.entry(result).or_default() += 1;
            if is_draining && ends_with_drain && counts["not-run draining"] >= 20 {
                break;
            }
        }
        counts
    })
}

/// Guards against a request that breaks, is lost or runs twice when a process gets SIGTERM under
/// load, whether it came through a peer or from an outside caller.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_under_load_breaks_no_request() {
    let chain = chain(1).start().await.unwrap();
    let platform = chain.instances[0].settings.platform;
    let mut process = DaemonProcess::start("stand-status", platform, behaviour(5, &[])).await;
    let settings = &chain.instances[1].settings;
    let sibling = InstanceInfo {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer,
        control: settings.control,
        leaving: false,
    };
    let list = BTreeMap::from([("instances", vec![sibling, process.info.clone()])]);
    let list = toml::to_string(&list).unwrap();
    chain.platform.publish("instances/stand-status", list);

    let end = Arc::new(AtomicBool::new(false));
    let entry = chain.instances[0].settings.edge;
    let through_peers: Vec<_> = (0..4).map(|_| load(entry, &end, false)).collect();
    until(async || process.backend.runs() >= 20).await;
    let outside: Vec<_> = (0..4).map(|_| load(process.edge, &end, true)).collect();
    until(async || process.backend.runs() >= 100).await;
    process.signal(Signal::SIGTERM);
    let mut outside_ran = 0;
    for caller in outside {
        let mut counts = caller.await.unwrap();
        outside_ran += counts.remove("ran -").unwrap_or_default();
        assert_eq!(counts, BTreeMap::from([("not-run draining".into(), 20)]));
    }
    let mut status = None;
    until(async || {
        status = process.child.try_wait().unwrap();
        status.is_some()
    })
    .await;
    assert!(status.unwrap().success(), "{status:?}");
    end.store(true, Ordering::Relaxed);
    let mut ran = 0;
    for caller in through_peers {
        let mut counts = caller.await.unwrap();
        ran += counts.remove("ran -").unwrap_or_default();
        assert_eq!(counts, BTreeMap::new());
    }
    assert_eq!(chain.instances[0].backend.runs(), ran);
    let leaf_runs = chain.instances[1].backend.runs() + process.backend.runs();
    assert_eq!(leaf_runs, ran + outside_ran);
    chain.stop().await;
}

/// Guards against expired work that starts after a pause, against an accepted request that the
/// pause breaks, and against a daemon that stays unable to call others.
#[tokio::test(flavor = "multi_thread")]
async fn pause_starts_no_expired_request() {
    let chain = chain(1).start().await.unwrap();
    let platform = chain.instances[0].settings.platform;
    let profile = format!(
        "{}[admission]\ninitial_concurrency = 1\nmin_concurrency = 1\nmax_concurrency = 1\n\
         queue_wait_ms = 60000\n[[routes]]\npath = \"/crew\"\nclass = \"roster\"\ndeadline_ms = 30000\n",
        PROFILE.replace("dispatch", "crew")
    );
    chain.platform.publish("profiles/crew", profile);
    chain
        .platform
        .publish("services/crew-roster", "profile = \"crew\"");
    let process =
        DaemonProcess::start("crew-roster", platform, behaviour(1_000, &["stand-status"])).await;
    let edge = process.edge;
    let accepted = tokio::spawn(get(edge, "/crew/1", &[]));
    until(async || process.backend.runs() == 1).await;
    let short: [_; 2] = std::array::from_fn(|_| {
        tokio::spawn(get(edge, "/crew/2", &[("skylark-deadline-us", "500000")]))
    });
    until(async || {
        let status = get(process.admin, "/status", &[]).await.unwrap();
        let is_queued = status.body.contains("\"queued\":2");
        is_queued || short.iter().all(JoinHandle::is_finished)
    })
    .await;
    process.signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(2)).await;
    process.signal(Signal::SIGCONT);
    assert_eq!(
        accepted.await.unwrap().unwrap().header("skylark-outcome"),
        "ran"
    );
    for request in short {
        let answer = request.await.unwrap().unwrap();
        assert_eq!(answer.header("skylark-outcome"), "not-run");
        assert_eq!(answer.header("skylark-reason"), "deadline");
    }
    assert_eq!(process.backend.runs(), 1);
    until(async || process.has_logged("pause: ")).await;
    let next = get(edge, "/crew/3", &[]).await.unwrap();
    assert_eq!(
        (next.status, next.body.as_str()),
        (StatusCode::OK, "/crew/3\n")
    );
    chain.stop().await;
}

/// Guards against an in-flight count that grows with each cancelled call.
#[test]
fn cancelled_attempt_is_not_in_flight() {
    use skylarkstream::{
        controller::{attempt_guard::AttemptGuard, upstream_controller::UpstreamController},
        decision::clock::{Clock, ManualClock},
    };
    let clock = Arc::new(ManualClock::new());
    let service = "stand-status".into();
    let upstreams = Arc::new(UpstreamController::new(&"dc-1".into(), &[service], 1));
    let info = InstanceInfo {
        instance: "i-1".into(),
        data_centre: "dc-1".into(),
        peer: ([127, 0, 0, 1], 1).into(),
        control: ([127, 0, 0, 1], 2).into(),
        leaving: false,
    };
    upstreams.update("stand-status", &[info], clock.now());
    let (key, _) = upstreams.choose("stand-status", &[], clock.now()).unwrap();
    assert_eq!(upstreams.in_flight("stand-status", key), 1);
    drop(AttemptGuard {
        upstreams: Arc::clone(&upstreams),
        clock,
        service: "stand-status".into(),
        key: Some(key),
    });
    assert_eq!(upstreams.in_flight("stand-status", key), 0);
}
