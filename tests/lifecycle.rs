//! Drains and pauses of daemons in a chain of services, partly as processes of their own.

use gotham::helpers::http::Body;
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use skylarkstream::{
    settings::DaemonSettings,
    shell::{daemon, header_names, http_client::HttpClient},
    standin::{
        backend_server::{BackendBehaviour, DownstreamCall},
        daemon_process::DaemonProcess,
        loopback_address,
        polling::wait_until,
        service_chain::{ChainBuilder, ChainDaemon, ChainInstance, ServiceChain},
    },
};
use std::{
    collections::BTreeMap,
    error::Error,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
};

const BINARY: &str = env!("CARGO_BIN_EXE_skylarkstream");

const PROFILE: &str = r#"
name = "dispatch"
default_class = "roster"
classes = { assignment = 0, roster = 3 }
"#;

/// Profile under which one request runs at a time and the others can wait for a long time.
const SERIAL_PROFILE: &str = r#"
name = "serial"
default_class = "roster"
classes = { assignment = 0, roster = 3 }
routes = [{ path = "/crew", class = "roster", deadline_ms = 30000 }]

[admission]
initial_concurrency = 1
min_concurrency = 1
max_concurrency = 1
queue_wait_ms = 60000
"#;

/// Headers with the context of a call between daemons.
const CONTEXT_HEADERS: [(&str, &str); 9] = [
    ("skylark-attempt", "00000000000000cd"),
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

/// Describes a chain of an entry service with the given profile and a leaf service that it calls.
fn chain(profile: &str, entry_ms: u64, leaves: usize) -> ChainBuilder {
    let behaviour = |ms, calls| BackendBehaviour {
        slots: 16,
        service_time: Duration::from_millis(ms),
        calls,
    };
    let call = DownstreamCall {
        service: "stand-status".into(),
        path: "/stands/4".into(),
    };
    ServiceChain::builder()
        .profile("dispatch", PROFILE)
        .profile("serial", SERIAL_PROFILE)
        .service("tug-dispatch", profile, 1, behaviour(entry_ms, vec![call]))
        .service("stand-status", "dispatch", leaves, behaviour(2, Vec::new()))
}

type TextResponse = Response<String>;

fn header<'a>(response: &'a TextResponse, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("-", |value| value.to_str().unwrap_or("?"))
}

/// Formats a response without values that differ between test runs, such as the retry-after time of
/// a refusal, which depends on the random request id.
fn line(response: &TextResponse) -> String {
    let [outcome, reason, connection] =
        ["skylark-outcome", "skylark-reason", "connection"].map(|name| header(response, name));
    let is_leaving = response.headers().contains_key(header_names::LEAVING);
    let body = if reason == "-" { response.body() } else { "" };
    let text = format!(
        "{} outcome={outcome} reason={reason} connection={connection} leaving={is_leaving} {body}",
        response.status().as_u16()
    );
    text.trim_end().into()
}

async fn send(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<TextResponse, Box<dyn Error + Send + Sync>> {
    let uri = format!("http://{address}{path}");
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = client.send(address, request.body(Body::default())?).await?;
    let (parts, body) = response.into_parts();
    let body = String::from_utf8(body.collect().await?.to_bytes().into())?;
    Ok(Response::from_parts(parts, body))
}

async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> TextResponse {
    let response = send(&HttpClient::new(), Method::GET, address, path, headers).await;
    response.expect("The request has a complete response.")
}

async fn is_closed(address: SocketAddr) -> bool {
    tokio::net::TcpStream::connect(address).await.is_err()
}

fn signal(instance: &mut ChainInstance, signal: Signal) {
    let process = instance.process().expect("The daemon is a process.");
    kill(Pid::from_raw(process.id().cast_signed()), signal).expect("The process is running.");
}

/// Guards against changes of a drain that callers, peers and operators would notice: new requests
/// are refused and never run, peers send no more calls at once, and accepted requests are
/// completed.
#[tokio::test(flavor = "multi_thread")]
async fn drain_session() {
    let chain = chain("dispatch", 1, 2).refusal_ms(2_000);
    let chain = chain.start().await.unwrap();
    let entry = chain.instances[0].settings.edge;
    let leaving = &chain.instances[1];
    let settings = leaving.settings.clone();
    let mut session = Vec::new();
    let mut add =
        |step: &str, response: TextResponse| session.push(format!("{step}: {}", line(&response)));

    add("ready", get(settings.admin, "/ready", &[]).await);
    add("through the entry", get(entry, "/assignments/1", &[]).await);
    let runs_before = leaving.backend.runs();
    leaving.backend.set_slowdown(750);
    let slow_request = tokio::spawn(get(settings.edge, "/slow", &[]));
    wait_until(async || leaving.backend.runs() > runs_before).await;
    let client = HttpClient::new();
    let drain = send(&client, Method::POST, settings.admin, "/drain", &[]).await;
    add("drain", drain.unwrap());
    wait_until(async || !leaving.is_ready().await).await;
    add("ready", get(settings.admin, "/ready", &[]).await);
    add(
        "caller outside the cluster",
        get(settings.edge, "/stands/4", &[]).await,
    );
    add(
        "peer",
        get(settings.peer, "/stands/4", &CONTEXT_HEADERS).await,
    );
    for _ in 0..20 {
        assert_eq!(get(entry, "/assignments/1", &[]).await.status(), 200);
    }
    add("through the entry", get(entry, "/assignments/1", &[]).await);
    add("accepted before the drain", slow_request.await.unwrap());
    wait_until(async || is_closed(settings.admin).await).await;
    add(
        "after the daemon stopped",
        get(entry, "/assignments/1", &[]).await,
    );
    let runs = leaving.backend.runs() - runs_before - 1;
    session.push(format!("runs since the drain: {runs}"));
    insta::assert_snapshot!(session.join("\n"));
    chain.stop().await;
}

/// Guards against a daemon that does not drain when its backend server announces a drain.
#[tokio::test(flavor = "multi_thread")]
async fn drain_announcement_of_the_backend_server_starts_a_drain() {
    let chain = chain("dispatch", 1, 1).start().await.unwrap();
    let leaf = &chain.instances[1];
    leaf.backend.announce_drain();
    let response = get(leaf.settings.edge, "/stands/4", &[]).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "skylark-drain"), "-");
    wait_until(async || is_closed(leaf.settings.admin).await).await;
    chain.stop().await;
}

/// Guards against a drain that waits without limit for a response whose body never ends.
#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_at_the_latest_deadline() {
    let chain = chain("dispatch", 1, 1).start().await.unwrap();
    let reserve = || loopback_address::reserve().unwrap();
    let settings = DaemonSettings {
        backend: reserve(),
        edge: reserve(),
        peer: reserve(),
        outbound: reserve(),
        control: reserve(),
        admin: reserve(),
        ..chain.instances[1].settings.clone()
    };
    let backend = TcpListener::bind(settings.backend).await.unwrap();
    let stop = watch::Sender::new(false);
    let daemon = tokio::spawn(daemon::run(settings.clone(), stop.subscribe()));
    let call = async || send(&HttpClient::new(), Method::GET, settings.edge, "/", &[]).await;
    let ready = async || {
        send(
            &HttpClient::new(),
            Method::GET,
            settings.admin,
            "/ready",
            &[],
        )
        .await
    };
    wait_until(async || ready().await.is_ok_and(|response| response.status() == 200)).await;
    let respond = async {
        let (mut stream, _) = backend.accept().await.unwrap();
        stream.read_u8().await.unwrap();
        let incomplete_response = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
        stream.write_all(incomplete_response).await.unwrap();
        stop.send_replace(true);
        daemon.await.unwrap().unwrap();
    };
    let (response, ()) = tokio::join!(call(), respond);
    assert!(
        response.is_err(),
        "An incomplete response was received as complete."
    );
    chain.stop().await;
}

/// Sends requests one after the other and counts their results. Stops when `stop` is set or, if
/// `stops_on_drain`, after 20 refusals by a draining daemon.
fn send_load(
    address: SocketAddr,
    stop: &Arc<AtomicBool>,
    stops_on_drain: bool,
) -> JoinHandle<BTreeMap<String, u64>> {
    let stop = Arc::clone(stop);
    tokio::spawn(async move {
        let client = HttpClient::new();
        let mut counts = BTreeMap::new();
        while !stop.load(Ordering::Relaxed) {
            let result = match send(&client, Method::GET, address, "/assignments/1", &[]).await {
                Ok(response) => ["skylark-outcome", "skylark-reason"]
                    .map(|name| header(&response, name))
                    .join(" "),
                Err(error) => error.to_string(),
            };
            *counts.entry(result).or_default() += 1;
            if stops_on_drain && counts.get("not-run draining") == Some(&20) {
                break;
            }
        }
        counts
    })
}

/// Guards against requests that fail, get lost or run twice when a daemon process receives SIGTERM
/// under load, both for calls of peers and for callers outside the cluster. Also guards against an
/// instance that gets no calls after a restart at the same address.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_fails_on_sigterm_under_load() {
    let chain = chain("dispatch", 1, 2).refusal_ms(5_000);
    let chain = chain.run_as_processes("stand-status", BINARY.into());
    let mut chain = chain.start().await.unwrap();
    let entry = chain.instances[0].settings.edge;
    let stop = Arc::new(AtomicBool::new(false));
    let peer_callers: Vec<_> = (0..4).map(|_| send_load(entry, &stop, false)).collect();
    let leaf = &mut chain.instances[1];
    let direct_callers: Vec<_> = (0..4)
        .map(|_| send_load(leaf.settings.edge, &stop, true))
        .collect();
    wait_until(async || leaf.backend.runs() >= 200).await;
    signal(leaf, Signal::SIGTERM);
    let mut direct_ran = 0;
    for caller in direct_callers {
        let mut counts = caller.await.unwrap();
        direct_ran += counts.remove("ran -").unwrap_or_default();
        assert_eq!(counts, BTreeMap::from([("not-run draining".into(), 20)]));
    }
    let status = leaf.process().unwrap().wait().await.unwrap();
    assert!(status.success(), "{status:?}");
    let runs = leaf.backend.runs();
    let restarted = DaemonProcess::start(Path::new(BINARY), &leaf.settings);
    leaf.daemon = ChainDaemon::Process(restarted.unwrap());
    wait_until(async || leaf.backend.runs() > runs + 20).await;
    stop.store(true, Ordering::Relaxed);
    let mut peer_ran = 0;
    for caller in peer_callers {
        let mut counts = caller.await.unwrap();
        peer_ran += counts.remove("ran -").unwrap_or_default();
        assert_eq!(counts, BTreeMap::new());
    }
    let [entry_runs, leaf_runs, sibling_runs] =
        [0, 1, 2].map(|index| chain.instances[index].backend.runs());
    assert_eq!(entry_runs, peer_ran);
    assert_eq!(leaf_runs + sibling_runs, peer_ran + direct_ran);
    chain.stop().await;
}

/// Guards against three faults after a pause of the process: queued requests start although they
/// have expired, a request in flight fails, and the daemon can no longer call other daemons.
#[tokio::test(flavor = "multi_thread")]
async fn no_expired_request_starts_after_a_pause() {
    let chain = chain("serial", 1_000, 1).run_as_processes("tug-dispatch", BINARY.into());
    let mut chain = chain.start().await.unwrap();
    let entry = &mut chain.instances[0];
    let (edge, admin) = (entry.settings.edge, entry.settings.admin);
    let accepted = tokio::spawn(get(edge, "/crew/1", &[]));
    wait_until(async || entry.backend.runs() == 1).await;
    let expiring: [_; 2] = std::array::from_fn(|_| {
        tokio::spawn(get(edge, "/crew/2", &[("skylark-deadline-us", "500000")]))
    });
    wait_until(async || {
        let status = get(admin, "/status", &[]).await;
        status.body().contains("\"queued\":2") || expiring.iter().all(JoinHandle::is_finished)
    })
    .await;
    signal(entry, Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(2)).await;
    signal(entry, Signal::SIGCONT);
    assert_eq!(header(&accepted.await.unwrap(), "skylark-outcome"), "ran");
    for request in expiring {
        let response = request.await.unwrap();
        assert_eq!(header(&response, "skylark-outcome"), "not-run");
        assert_eq!(header(&response, "skylark-reason"), "deadline");
    }
    assert_eq!(entry.backend.runs(), 1);
    wait_until(async || entry.process().unwrap().has_logged("pause: ")).await;
    assert_eq!(get(edge, "/crew/3", &[]).await.body(), "/crew/3\n");
    chain.stop().await;
}
