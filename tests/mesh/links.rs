//! Links between daemons through a proxy that resets or silences them.

use crate::stand_ins::{BackendStandIn, Behaviour, free_port, host};
use bytes::{Bytes, BytesMut};
use skylarkstream::{
    decision::clock::SystemClock,
    mesh::{
        fleet_state::FleetState,
        mesh_settings::MeshSettings,
        peer_frame::{CallFrame, HelloFrame, NESTED_CLASS, NewsFrame, PeerFrame, RunEnd},
        peer_link::{CallEnd, LinkObserver, PeerLink},
        peer_links::PeerLinks,
        peer_listener::PeerListener,
    },
    platform::{context_names::context_headers, store_calls::PlatformStore},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::watch,
};

struct Observer;

impl LinkObserver for Observer {
    fn reached(&self, _: SocketAddr, _: bool) {}

    fn greeted(&self, _: SocketAddr, _: &HelloFrame) {}

    fn told(&self, _: &NewsFrame) {}

    fn hello(&self) -> HelloFrame {
        HelloFrame {
            daemon: 5,
            ip: host(9, 0).ip(),
            is_leaving: false,
            config_version: 0,
            members: 0,
            connection: 0,
        }
    }

    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// Proxy whose connections can be reset or silenced. New connections always work.
struct LinkProxy {
    address: SocketAddr,
    reset: watch::Sender<u32>,
    silences: Arc<AtomicBool>,
}

impl LinkProxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(host(1, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let reset = watch::Sender::new(0);
        let silences = Arc::new(AtomicBool::new(false));
        let (signal, silent) = (reset.clone(), Arc::clone(&silences));
        tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let mut signal = signal.subscribe();
                let silent = Arc::clone(&silent);
                tokio::spawn(async move {
                    let Ok(mut far) = TcpStream::connect(target).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut near, &mut far) => {}
                        _ = signal.changed() => {}
                    }
                    if silent.load(Ordering::Relaxed) {
                        // Both ends keep a connection on which nothing arrives any more.
                        std::future::pending::<()>().await;
                    }
                });
            }
        });
        Self {
            address,
            reset,
            silences,
        }
    }

    fn break_connections(&self, is_silent: bool) {
        self.silences.store(is_silent, Ordering::Relaxed);
        self.reset.send_modify(|count| *count += 1);
    }
}

struct Scenario {
    peer: SocketAddr,
    backend: Arc<BackendStandIn>,
    proxy: LinkProxy,
    link: Arc<PeerLink>,
}

impl Scenario {
    async fn start() -> Self {
        let (port, backend_port) = (free_port(), free_port());
        let (peer, backend) = (host(1, port), host(1, backend_port));
        let text = format!(
            "instance = \"i\"\ndata_centre = \"a\"\nservice = \"s\"\nbackend = \"{backend}\"\n\
             outbound = \"127.0.0.1:1\"\npeer = \"{peer}\"\nreadiness = \"127.0.0.1:2\"\n\
             store = \"127.0.0.1:3\"\ngrace_s = 1.0\n"
        );
        let settings = MeshSettings::from_bytes(text.as_bytes()).expect("settings");
        let state = Arc::new(FleetState::new(
            settings,
            context_headers(),
            Arc::new(PlatformStore),
            Arc::new(SystemClock),
        ));
        let listener = TcpListener::bind(peer).await.expect("the address");
        let links = PeerLinks::new(Arc::clone(&state));
        tokio::spawn(PeerListener::new(state, links).serve(listener));
        let proxy = LinkProxy::start(peer).await;
        Self {
            peer,
            backend: BackendStandIn::start(backend, "i-1").await,
            link: PeerLink::start(proxy.address, Arc::new(Observer)),
            proxy,
        }
    }

    fn call(&self, number: u64) -> CallFrame {
        CallFrame {
            number,
            service: "s".into(),
            instance: "i-1".into(),
            origin: "s".into(),
            route: "r".into(),
            class: NESTED_CLASS,
            rank: 0,
            is_repeat: false,
            is_once: true,
            budget_ms: 20_000,
            patience_ms: 1_000,
            sent_us: 0,
            method: "GET".into(),
            attempt: Bytes::from(format!("a{number}")),
            head: Bytes::from(format!("GET /x HTTP/1.1\r\nAttempt-Id: a{number}\r\n")),
            body: Bytes::new(),
        }
    }

    /// Breaks the connection while a request runs, lets it end, and checks that its answer arrives
    /// and that it ran once.
    async fn check_break(&self, is_silent: bool) {
        self.backend.set(Behaviour::Hold);
        let call = self.link.call(self.call(1));
        while self.backend.run_count() == 0 {
            tokio::task::yield_now().await;
        }
        self.proxy.break_connections(is_silent);
        self.backend.release.notify_one();
        let CallEnd::Reply(reply) = call.end().await else {
            panic!("the answer is lost");
        };
        let RunEnd::Answered(answer) = &reply.end else {
            panic!("{:?}", reply.end);
        };
        assert_eq!(&answer.body[..], b"i-1 ran a1");
        assert_eq!(self.backend.run_count(), 1);
    }
}

/// Guards against an answer that was made and is lost because the connection was reset.
#[tokio::test]
async fn answer_survives_a_reset_connection() {
    Scenario::start().await.check_break(false).await;
}

/// Guards against a request that waits for ever on a connection that fell silent without a reset.
#[tokio::test]
async fn answer_survives_a_silent_connection() {
    Scenario::start().await.check_break(true).await;
}

/// Guards against work for a caller that has left.
#[tokio::test]
async fn dropped_call_ends_at_the_backend_server() {
    let scenario = Scenario::start().await;
    scenario.backend.set(Behaviour::Hold);
    let call = scenario.link.call(scenario.call(1));
    while scenario.backend.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    drop(call);
    while *scenario.backend.cancelled.lock() == 0 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a server that started anew under another id and is asked under the old one for ever.
#[tokio::test]
async fn server_with_a_new_id_is_asked_again() {
    let scenario = Scenario::start().await;
    *scenario.backend.id.lock() = "i-2".to_owned();
    for number in 1..=2 {
        let CallEnd::Reply(reply) = scenario.link.call(scenario.call(number)).end().await else {
            panic!("the answer is lost");
        };
        assert!(matches!(reply.end, RunEnd::Answered(_)), "{:?}", reply.end);
    }
    assert_eq!(scenario.backend.run_count(), 2);
}

/// Guards against refusals of short or new routes at an instance with free slots, because the gate's mean
/// service time is that of a slow route.
#[tokio::test]
async fn new_route_beside_a_slow_one_gets_a_free_slot() {
    let scenario = Scenario::start().await;
    scenario.backend.set(Behaviour::Hold);
    let slow = scenario.link.call(scenario.call(1));
    while scenario.backend.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    scenario.backend.set(Behaviour::Answer);
    scenario.backend.release.notify_one();
    assert!(matches!(slow.end().await, CallEnd::Reply(_)));
    let root = CallFrame {
        route: "new".into(),
        class: NESTED_CLASS + 1,
        patience_ms: 10,
        ..scenario.call(2)
    };
    let CallEnd::Reply(reply) = scenario.link.call(root).end().await else {
        panic!("the answer is lost");
    };
    assert!(matches!(reply.end, RunEnd::Answered(_)), "{:?}", reply.end);
}

/// Guards against answers that go to an earlier connection of a daemon, because its greeting was held
/// up on the way and arrives after that of the current one.
#[tokio::test]
async fn greeting_of_an_earlier_connection_does_not_take_the_answers() {
    let scenario = Scenario::start().await;
    let hello = |connection| {
        let hello = HelloFrame {
            connection,
            ..Observer.hello()
        };
        PeerFrame::Hello(hello)
    };
    let mut earlier = TcpStream::connect(scenario.peer).await.expect("a link");
    let mut current = TcpStream::connect(scenario.peer).await.expect("a link");
    let mut bytes = BytesMut::new();
    hello(2).encode(&mut bytes);
    current.write_all(&bytes).await.expect("a greeting");
    wait_for_pong(&mut current).await;
    bytes.clear();
    hello(1).encode(&mut bytes);
    earlier.write_all(&bytes).await.expect("a greeting");
    // The listener ends the earlier connection after its own greeting.
    let mut rest = Vec::new();
    earlier.read_to_end(&mut rest).await.expect("the end");
    bytes.clear();
    PeerFrame::Call(Box::new(scenario.call(1))).encode(&mut bytes);
    current.write_all(&bytes).await.expect("a call");
    let is_reply = |frame: &PeerFrame| matches!(frame, PeerFrame::Reply(_));
    wait_for(&mut current, is_reply).await;
}

async fn wait_for_pong(stream: &mut TcpStream) {
    let mut bytes = BytesMut::new();
    PeerFrame::Ping.encode(&mut bytes);
    stream.write_all(&bytes).await.expect("a ping");
    wait_for(stream, |frame| matches!(frame, PeerFrame::Pong)).await;
}

async fn wait_for(stream: &mut TcpStream, is_expected: impl Fn(&PeerFrame) -> bool) {
    let mut input = BytesMut::new();
    loop {
        while let Some(frame) = PeerFrame::take(&mut input).expect("a message") {
            if is_expected(&frame) {
                return;
            }
        }
        let count = stream.read_buf(&mut input).await.expect("bytes");
        assert!(count > 0, "the connection ended");
    }
}

/// Guards against an answer that says that a request may have run, although it was never sent.
#[tokio::test]
async fn request_that_was_not_sent_in_time_is_known_not_to_run() {
    let scenario = Scenario::start().await;
    // The driver of the link does not run before this task waits.
    let call = scenario.link.call(scenario.call(1));
    let limit = Instant::now() - Duration::from_millis(10);
    let end = call.end_by(limit).await;
    assert!(matches!(end, Some(CallEnd::NotSent)), "{end:?}");
    let CallEnd::Reply(reply) = scenario.link.call(scenario.call(2)).end().await else {
        panic!("the answer is lost");
    };
    assert!(matches!(reply.end, RunEnd::Answered(_)), "{:?}", reply.end);
    assert_eq!(scenario.backend.run_count(), 1);
}
