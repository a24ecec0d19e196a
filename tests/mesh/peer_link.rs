//! Links between daemons through a proxy that resets or silences connections.

use crate::fleet_view::position;
use crate::stand_ins::{BackendStandIn, Behaviour, RefusalStyle, free_port, loopback};
use bytes::{Bytes, BytesMut};
use skylarkstream::{
    controller::task_supervisor::TaskSupervisor,
    decision::{
        clock::{Clock, ManualClock, SystemClock},
        mesh::store_position::StorePosition,
    },
    mesh::{
        fleet_state::FleetState,
        mesh_settings::MeshSettings,
        peer_frame::{
            CallFrame, HelloFrame, LoadFrame, NESTED_CLASS, NotRunReason, PeerFrame, RunResult,
            StoreUpdateFrame,
        },
        peer_link::{CallResult, LinkCall, LinkObserver, PeerLink},
        peer_links::PeerLinks,
        peer_listener::PeerListener,
        store_interface::StoreItem,
    },
    platform::{context_names::context_headers, store_format::PlatformStore},
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
    time::timeout,
};

/// Time after which a test fails because of a message that does not arrive.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn supervisor() -> Arc<TaskSupervisor> {
    Arc::new(TaskSupervisor::new(Arc::new(SystemClock)))
}

/// Keeps what the peer sent.
#[derive(Default)]
struct FrameObserver {
    /// Ids of the daemons whose load the peer sent.
    loads: watch::Sender<Vec<u64>>,
    /// Last positions of the store updates.
    updates: watch::Sender<Vec<StorePosition>>,
}

impl LinkObserver for FrameObserver {
    fn on_connection_attempt(&self, _: SocketAddr, _: bool) {}

    fn on_hello(&self, _: SocketAddr, _: &HelloFrame) {}

    fn on_store_update(&self, _: SocketAddr, update: &StoreUpdateFrame) {
        self.updates
            .send_modify(|positions| positions.push(update.last));
    }

    fn on_silence(&self, _: SocketAddr) {}

    fn on_load(&self, _: SocketAddr, load: &LoadFrame) {
        self.loads
            .send_modify(|ids| ids.push(load.summary.daemon_id));
    }

    fn hello(&self, _: SocketAddr) -> HelloFrame {
        HelloFrame {
            daemon_id: 5,
            ip: loopback(9, 0).ip(),
            is_leaving: false,
            config_version: 0,
            member_count: 0,
            connection_number: 0,
            notes: Default::default(),
        }
    }

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }
}

/// Proxy that can reset its connections or stop forwarding on them, and hold new ones back.
struct LinkProxy {
    address: SocketAddr,
    /// Whether new connections are held back.
    is_holding: watch::Sender<bool>,
    /// Counts the interruptions.
    interruptions: watch::Sender<u32>,
    /// Whether the next interruption keeps the connections open.
    is_silenced: Arc<AtomicBool>,
}

impl LinkProxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback(1, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let interruptions = watch::Sender::new(0);
        let is_holding = watch::Sender::new(false);
        let holding = is_holding.clone();
        let is_silenced = Arc::new(AtomicBool::new(false));
        let (signal, silent) = (interruptions.clone(), Arc::clone(&is_silenced));
        tokio::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let mut signal = signal.subscribe();
                let silent = Arc::clone(&silent);
                let mut holding = holding.subscribe();
                tokio::spawn(async move {
                    let _ = holding.wait_for(|is_holding| !is_holding).await;
                    let Ok(mut server) = TcpStream::connect(target).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut client, &mut server) => {}
                        _ = signal.changed() => {}
                    }
                    if silent.load(Ordering::Relaxed) {
                        // Both sides of the connection stay open, but no more data is forwarded.
                        std::future::pending::<()>().await;
                    }
                });
            }
        });
        Self {
            address,
            is_holding,
            interruptions,
            is_silenced,
        }
    }

    fn interrupt_connections(&self, is_silent: bool) {
        self.is_silenced.store(is_silent, Ordering::Relaxed);
        self.interruptions.send_modify(|count| *count += 1);
    }
}

pub struct Scenario {
    peer: SocketAddr,
    pub backend: Arc<BackendStandIn>,
    proxy: LinkProxy,
    link: Arc<PeerLink>,
    observer: Arc<FrameObserver>,
    pub state: Arc<FleetState>,
    pub links: Arc<PeerLinks>,
    listener: Arc<PeerListener>,
}

impl Scenario {
    pub async fn start() -> Self {
        Self::start_with(Arc::new(SystemClock)).await
    }

    /// Starts a scenario with the clock of the daemon that runs the requests.
    async fn start_with(clock: Arc<dyn Clock>) -> Self {
        let (port, backend_port) = (free_port(), free_port());
        let (peer, backend) = (loopback(1, port), loopback(1, backend_port));
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
            clock,
        ));
        let socket = TcpListener::bind(peer).await.expect("the address");
        let links = PeerLinks::new(Arc::clone(&state));
        let listener = PeerListener::new(Arc::clone(&state), Arc::clone(&links));
        tokio::spawn(Arc::clone(&listener).serve(Arc::new(socket)));
        let proxy = LinkProxy::start(peer).await;
        let observer = Arc::new(FrameObserver::default());
        let link_observer: Arc<dyn LinkObserver> = Arc::clone(&observer) as _;
        Self {
            peer,
            backend: BackendStandIn::start(backend, "i-1").await,
            link: PeerLink::start(proxy.address, link_observer, supervisor()),
            proxy,
            observer,
            state,
            links,
            listener,
        }
    }

    /// Returns whether the daemon that makes calls is connected.
    fn is_connected(&self) -> bool {
        let connected = AtomicBool::new(false);
        let is_receiver = |_| {
            connected.store(true, Ordering::Relaxed);
            false
        };
        self.links.senders.send_where(is_receiver, &PeerFrame::Ping);
        connected.into_inner()
    }

    fn call(&self, number: u64) -> CallFrame {
        CallFrame {
            caller: Default::default(),
            number,
            service: "s".into(),
            instance: "i-1".into(),
            caller_service: "s".into(),
            route: "r".into(),
            class: NESTED_CLASS,
            rank: 0,
            is_marked_retry: false,
            is_at_most_once: true,
            remaining_ms: 20_000,
            max_wait_ms: 1_000,
            queued_at_us: 0,
            method: "GET".into(),
            attempt_id: Bytes::from(format!("a{number}")),
            head: Bytes::from(format!("GET /x HTTP/1.1\r\nAttempt-Id: a{number}\r\n")),
            body: Bytes::new(),
        }
    }

    /// Opens a connection of a peer and sends a call over it.
    async fn send_call(&self) -> TcpStream {
        let connecting = TcpStream::connect(self.peer);
        let mut stream = connecting.await.expect("a connection");
        let mut bytes = BytesMut::new();
        PeerFrame::Hello(FrameObserver::default().hello(loopback(9, 0))).encode(&mut bytes);
        PeerFrame::Call(Box::new(self.call(1))).encode(&mut bytes);
        stream.write_all(&bytes).await.expect("a write");
        stream
    }

    /// Makes a call and checks that the backend server responds to it.
    async fn expect_response(&self, frame: CallFrame) {
        let result = response_of(self.link.call(frame)).await;
        assert!(matches!(result, RunResult::Response(_)), "{result:?}");
    }

    /// Interrupts the connection during a run, lets the run complete, and checks that its response
    /// is received and that it ran once.
    async fn check_interruption(&self, is_silent: bool) {
        self.backend.set(Behaviour::Hold);
        let call = self.link.call(self.call(1));
        while self.backend.run_count() == 0 {
            tokio::task::yield_now().await;
        }
        self.proxy.interrupt_connections(is_silent);
        self.backend.release.notify_one();
        let CallResult::Reply(reply) = call.result().await else {
            panic!("the result was lost");
        };
        let RunResult::Response(response) = &reply.result else {
            panic!("{:?}", reply.result);
        };
        assert_eq!(&response.body[..], b"i-1 ran a1");
        assert_eq!(self.backend.run_count(), 1);
    }
}

/// Returns the result that the peer sends for a call.
async fn response_of(call: LinkCall) -> RunResult {
    match timeout(TEST_TIMEOUT, call.result()).await {
        Ok(CallResult::Reply(reply)) => reply.result.clone(),
        result => panic!("no result was received: {result:?}"),
    }
}

/// Guards against a daemon that is no longer published, since it cannot reach the store, and gets no
/// load: it planned alone and admitted all requests of its callers during an overload.
#[tokio::test]
async fn daemon_that_is_no_member_gets_the_load_in_return() {
    let scenario = Scenario::start().await;
    let load = scenario.state.update_plan();
    scenario.link.send(PeerFrame::Load(load));
    let mut received = scenario.observer.loads.subscribe();
    let ids = received.wait_for(|ids| !ids.is_empty()).await;
    let ids = ids.expect("the observer").clone();
    assert_eq!(ids, [scenario.state.daemon_id]);
}

/// Guards against a daemon whose backend server has crashed and that still serves callers by old
/// routes, because updates of the store are sent to members only.
#[tokio::test]
async fn daemon_that_is_no_member_gets_updates_of_the_store() {
    let scenario = Scenario::start().await;
    scenario
        .link
        .send(PeerFrame::Load(scenario.state.update_plan()));
    let mut loads = scenario.observer.loads.subscribe();
    let _ = loads.wait_for(|ids| !ids.is_empty()).await;
    let update = StoreUpdateFrame {
        items: vec![StoreItem {
            is_config: true,
            instance: None,
            position: position(7),
            value: None,
        }],
        is_complete: false,
        previous: position(0),
        last: position(7),
        since_store_recovery_ms: None,
        is_list: false,
    };
    scenario.links.broadcast_update(update);
    let mut updates = scenario.observer.updates.subscribe();
    let received = updates.wait_for(|positions| !positions.is_empty());
    let received = timeout(TEST_TIMEOUT, received).await;
    assert!(received.is_ok(), "no update was received");
}

/// Guards against the loss of a response because the connection was reset during the run.
#[tokio::test]
async fn result_is_delivered_after_a_connection_reset() {
    Scenario::start().await.check_interruption(false).await;
}

/// Guards against an at-most-once request that is broken off and runs again elsewhere, because the two
/// daemons were out of touch for longer than runs wait for their sender.
#[tokio::test]
async fn at_most_once_run_outlives_a_long_loss_of_its_sender() {
    const LOSS: Duration = Duration::from_secs(3);
    let clock = Arc::new(ManualClock::new());
    let scenario = Scenario::start_with(Arc::clone(&clock) as _).await;
    scenario.backend.set(Behaviour::Hold);
    let call = scenario.link.call(scenario.call(1));
    while scenario.backend.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    scenario.proxy.is_holding.send_replace(true);
    scenario.proxy.interrupt_connections(false);
    while scenario.is_connected() {
        tokio::task::yield_now().await;
    }
    clock.advance(LOSS);
    scenario.listener.expire();
    scenario.proxy.is_holding.send_replace(false);
    while !scenario.is_connected() {
        tokio::task::yield_now().await;
    }
    scenario.backend.release.notify_one();
    let result = response_of(call).await;
    assert!(matches!(result, RunResult::Response(_)), "{result:?}");
    assert_eq!(scenario.backend.run_count(), 1);
}

/// Guards against a request that never completes because the connection stopped delivering data
/// without being reset.
#[tokio::test]
async fn result_is_delivered_after_a_silent_connection() {
    Scenario::start().await.check_interruption(true).await;
}

/// Guards against updates of the store that never arrive because an idle connection went silent, and
/// the daemon takes it for a peer without news.
#[tokio::test(start_paused = true)]
async fn idle_connection_that_went_silent_is_replaced_in_time() {
    const LOAD_INTERVAL: Duration = Duration::from_millis(400);
    const BOUND: Duration = Duration::from_secs(3);
    let scenario = Scenario::start().await;
    let load = scenario.state.update_plan();
    scenario.link.send(PeerFrame::Load(Arc::clone(&load)));
    let mut loads = scenario.observer.loads.subscribe();
    let _ = loads.wait_for(|ids| !ids.is_empty()).await;
    scenario.proxy.interrupt_connections(true);
    let silent_at = tokio::time::Instant::now();
    while loads.borrow().len() < 2 && silent_at.elapsed() <= BOUND {
        tokio::time::sleep(LOAD_INTERVAL).await;
        scenario.link.send(PeerFrame::Load(Arc::clone(&load)));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(loads.borrow().len() >= 2, "the connection is still silent");
}

/// Guards against a run that continues although its caller has cancelled the request.
#[tokio::test]
async fn dropped_call_is_cancelled_at_the_backend_server() {
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

/// Guards against a backend server that restarted with another instance id and refuses all requests
/// because they still expect the old one.
#[tokio::test]
async fn server_with_a_new_id_receives_requests() {
    let scenario = Scenario::start().await;
    *scenario.backend.id.lock() = "i-2".to_owned();
    for number in 1..=2 {
        let CallResult::Reply(reply) = scenario.link.call(scenario.call(number)).result().await
        else {
            panic!("the result was lost");
        };
        assert!(
            matches!(reply.result, RunResult::Response(_)),
            "{:?}",
            reply.result
        );
    }
    assert_eq!(scenario.backend.run_count(), 2);
}

/// Guards against a daemon that panics at each request, since the backend server states a keep-alive time
/// that the clock cannot hold.
#[tokio::test]
async fn huge_keep_alive_time_does_not_stop_requests() {
    let scenario = Scenario::start().await;
    let lines = format!("Keep-Alive: timeout={}\r\n", i64::MAX);
    scenario.backend.set_header_lines(&lines);
    for number in 1..=2 {
        scenario.expect_response(scenario.call(number)).await;
    }
}

/// Guards against refusals of requests of a short or new route although slots are free, because the
/// admission gate expects the mean service time of a slow route.
#[tokio::test]
async fn new_route_gets_a_free_slot_beside_a_slow_route() {
    let scenario = Scenario::start().await;
    scenario.backend.set(Behaviour::Hold);
    let slow = scenario.link.call(scenario.call(1));
    while scenario.backend.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    scenario.backend.set(Behaviour::Respond);
    scenario.backend.release.notify_one();
    assert!(matches!(slow.result().await, CallResult::Reply(_)));
    let root = CallFrame {
        route: "new".into(),
        class: NESTED_CLASS + 1,
        max_wait_ms: 10,
        ..scenario.call(2)
    };
    scenario.expect_response(root).await;
}

/// Guards against results that are sent to an earlier connection of a daemon, because the handshake
/// of that connection was delayed and arrives after that of the current one.
#[tokio::test]
async fn late_handshake_of_an_earlier_connection_is_refused() {
    let scenario = Scenario::start().await;
    let hello = |connection_number| {
        let hello = HelloFrame {
            connection_number,
            ..FrameObserver::default().hello(loopback(9, 0))
        };
        PeerFrame::Hello(hello)
    };
    let mut earlier = TcpStream::connect(scenario.peer)
        .await
        .expect("a connection");
    let mut current = TcpStream::connect(scenario.peer)
        .await
        .expect("a connection");
    let mut bytes = BytesMut::new();
    hello(2).encode(&mut bytes);
    current
        .write_all(&bytes)
        .await
        .expect("the handshake is sent");
    wait_for_pong(&mut current).await;
    bytes.clear();
    hello(1).encode(&mut bytes);
    earlier
        .write_all(&bytes)
        .await
        .expect("the handshake is sent");
    // The listener sends its handshake and then closes the earlier connection.
    let mut rest = Vec::new();
    earlier
        .read_to_end(&mut rest)
        .await
        .expect("the connection is closed");
    bytes.clear();
    PeerFrame::Call(Box::new(scenario.call(1))).encode(&mut bytes);
    current.write_all(&bytes).await.expect("the call is sent");
    let is_reply = |frame: &PeerFrame| matches!(frame, PeerFrame::Reply(_));
    wait_for(&mut current, is_reply).await;
}

/// Guards against connections that stay open for good, and their memory, after they went silent and
/// the sender has replaced them.
#[tokio::test]
async fn connection_that_its_sender_replaced_is_closed() {
    let scenario = Scenario::start().await;
    let mut connections = Vec::new();
    for connection_number in [1, 2] {
        let mut stream = TcpStream::connect(scenario.peer)
            .await
            .expect("a connection");
        let mut bytes = BytesMut::new();
        let hello = HelloFrame {
            connection_number,
            ..FrameObserver::default().hello(loopback(9, 0))
        };
        PeerFrame::Hello(hello).encode(&mut bytes);
        stream
            .write_all(&bytes)
            .await
            .expect("the handshake is sent");
        wait_for_pong(&mut stream).await;
        connections.push(stream);
    }
    let mut rest = Vec::new();
    let closing = connections[0].read_to_end(&mut rest);
    let closed = timeout(TEST_TIMEOUT, closing).await;
    assert!(closed.is_ok(), "the first connection is still open");
}

async fn wait_for_pong(stream: &mut TcpStream) {
    let mut bytes = BytesMut::new();
    PeerFrame::Ping.encode(&mut bytes);
    stream.write_all(&bytes).await.expect("the ping is sent");
    wait_for(stream, |frame| matches!(frame, PeerFrame::Pong)).await;
}

async fn wait_for(stream: &mut TcpStream, is_expected: impl Fn(&PeerFrame) -> bool) {
    let mut input = BytesMut::new();
    loop {
        while let Some(frame) = PeerFrame::decode(&mut input).expect("a valid message") {
            if is_expected(&frame) {
                return;
            }
        }
        let count = stream.read_buf(&mut input).await.expect("data");
        assert!(count > 0, "the connection was closed");
    }
}

/// Makes a call whose connection ends, and returns its result when the next connection reports that the
/// peer does not know the run. Each connection gets the handshake with the given daemon id, if any.
async fn result_after_a_report_of_no_run(
    scenario: &Scenario,
    call: CallFrame,
    daemon_ids: [Option<u64>; 2],
) -> CallResult {
    let listener = TcpListener::bind(loopback(1, 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    let observer: Arc<dyn LinkObserver> = Arc::clone(&scenario.observer) as _;
    let number = call.number;
    let call = PeerLink::start(address, observer, supervisor()).call(call);
    let handshake = |daemon_id: Option<u64>| {
        let mut bytes = BytesMut::new();
        if let Some(daemon_id) = daemon_id {
            let hello = FrameObserver::default().hello(address);
            PeerFrame::Hello(HelloFrame { daemon_id, ..hello }).encode(&mut bytes);
        }
        bytes
    };
    let (mut earlier, _) = listener.accept().await.expect("a connection");
    let bytes = handshake(daemon_ids[0]);
    earlier.write_all(&bytes).await.expect("a write");
    wait_for(&mut earlier, |frame| matches!(frame, PeerFrame::Call(_))).await;
    drop(earlier);
    let (mut current, _) = listener.accept().await.expect("a connection");
    let mut bytes = handshake(daemon_ids[1]);
    let resumed = PeerFrame::Resumed {
        number,
        is_running: false,
    };
    resumed.encode(&mut bytes);
    current.write_all(&bytes).await.expect("a write");
    timeout(TEST_TIMEOUT, call.result())
        .await
        .expect("a result in time")
}

/// Guards against an at-most-once request that runs again elsewhere, because the process of the peer
/// that got it ended before its handshake arrived, and the next process has never had it.
#[tokio::test]
async fn request_sent_to_an_earlier_process_may_have_run() {
    let scenario = Scenario::start().await;
    let call = scenario.call(1);
    let result = result_after_a_report_of_no_run(&scenario, call, [None, Some(5)]).await;
    assert!(matches!(result, CallResult::Lost), "{result:?}");
}

/// Guards against an at-most-once request that runs again elsewhere, because a peer of an earlier build
/// has forgotten that it ran.
#[tokio::test]
async fn earlier_build_that_does_not_know_a_run_may_have_run_it() {
    let scenario = Scenario::start().await;
    for is_at_most_once in [true, false] {
        let call = CallFrame {
            is_at_most_once,
            ..scenario.call(1)
        };
        let result = result_after_a_report_of_no_run(&scenario, call, [Some(5); 2]).await;
        let is_lost = matches!(result, CallResult::Lost);
        assert_eq!(is_lost, is_at_most_once, "{result:?}");
    }
}

/// Guards against a run that is reported as not run, because the backend server sends its refusal of
/// the same request a second time: it had a new id, and the request was sent again on the connection.
#[tokio::test]
async fn late_copy_of_a_refusal_does_not_hide_a_run() {
    let scenario = Scenario::start().await;
    *scenario.backend.refusals.lock() = RefusalStyle::Twice;
    *scenario.backend.id.lock() = "i-2".to_owned();
    scenario.expect_response(scenario.call(1)).await;
    assert_eq!(scenario.backend.run_count(), 1);
}

/// Guards against a run that is reported as not run, because a full backend server sends its refusal of
/// the same attempt a second time: the attempt came again over the same connection.
#[tokio::test]
async fn late_copy_of_a_refusal_by_a_full_server_does_not_hide_a_run() {
    let scenario = Scenario::start().await;
    *scenario.backend.refusals.lock() = RefusalStyle::Twice;
    scenario.backend.set(Behaviour::Refuse);
    let refusal = response_of(scenario.link.call(scenario.call(1))).await;
    assert_eq!(refusal, RunResult::NotRun(NotRunReason::Refused));
    scenario.backend.set(Behaviour::Respond);
    let again = CallFrame {
        number: 2,
        ..scenario.call(1)
    };
    scenario.expect_response(again).await;
    assert_eq!(scenario.backend.run_count(), 1);
}

/// Guards against a run that is reported as not run, because a refusal without the id of an attempt
/// arrives late, on a connection that is in use again.
#[tokio::test]
async fn late_refusal_without_an_id_does_not_hide_a_run() {
    let scenario = Scenario::start().await;
    *scenario.backend.refusals.lock() = RefusalStyle::TwiceWithoutId;
    scenario.backend.set(Behaviour::Refuse);
    assert_eq!(
        response_of(scenario.link.call(scenario.call(1))).await,
        RunResult::NotRun(NotRunReason::Refused),
        "the first response on a connection belongs to its request"
    );
    scenario.backend.set(Behaviour::Respond);
    scenario.expect_response(scenario.call(2)).await;
    assert_eq!(scenario.backend.run_count(), 1);
}

/// Guards against a result that says that a request may have run although it was never sent.
#[tokio::test]
async fn request_that_was_not_sent_in_time_is_reported_as_not_sent() {
    let scenario = Scenario::start().await;
    // The task that sends the request does not run before this test awaits.
    let call = scenario.link.call(scenario.call(1));
    let limit = Instant::now() - Duration::from_millis(10);
    let result = call.result_by(limit).await;
    assert!(matches!(result, Some(CallResult::NotSent(_))), "{result:?}");
    scenario.expect_response(scenario.call(2)).await;
    assert_eq!(scenario.backend.run_count(), 1);
}

/// Guards against a result that is cut off by the stop of the daemon beside the backend server, since the
/// peer reads it slowly.
#[tokio::test]
async fn request_is_open_until_its_result_is_written() {
    const BODY_BYTES: usize = 24 << 20;
    let scenario = Scenario::start().await;
    *scenario.backend.body.lock() = Some("x".repeat(BODY_BYTES));
    let mut stream = scenario.send_call().await;
    let mut received = 0;
    let mut part = vec![0; 64 << 10];
    while received < BODY_BYTES {
        received += stream.read(&mut part).await.expect("a result");
        if received > part.len() && received < BODY_BYTES / 2 {
            assert_eq!(scenario.state.open_requests(), 1, "{received} bytes");
        }
    }
    let ending = async {
        while scenario.state.open_requests() > 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, ending).await.expect("an end");
}

/// Guards against a result that is reset by the end of the daemon beside the backend server, since its
/// peer goes on to send while it reads.
#[tokio::test]
async fn closed_connection_of_a_peer_delivers_its_results() {
    let scenario = Scenario::start().await;
    let mut stream = scenario.send_call().await;
    let connections = &scenario.state.connections;
    let closing = async {
        let unfinished =
            || scenario.listener.running_count() + scenario.state.open_requests() as usize;
        while scenario.backend.run_count() == 0 || unfinished() > 0 {
            tokio::task::yield_now().await;
        }
        connections.close_all();
        while connections.closing_count() == 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, closing).await.expect("a close");
    let mut bytes = BytesMut::new();
    PeerFrame::Ping.encode(&mut bytes);
    stream.write_all(&bytes).await.expect("a write");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received).await;
    reading.expect("an end without a reset");
    let result = b"i-1 ran a1";
    assert!(received.windows(result.len()).any(|part| part == result));
}
