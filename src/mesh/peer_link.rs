//! Link to the daemon beside another backend server.

use crate::{
    common::*,
    controller::task_supervisor::TaskSupervisor,
    decision::mesh::link_liveness::{LinkLiveness, LivenessAction},
    mesh::{
        connection_end::ConnectionEnd,
        peer_frame::{CallFrame, HelloFrame, LoadFrame, PeerFrame, ReplyFrame, StoreUpdateFrame},
        task_names,
    },
};
use bytes::BytesMut;
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::timeout_at,
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay between connection attempts while calls wait for their results.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Size of one read in bytes.
const READ_BYTES: usize = 16 << 10;

/// Most messages that are written together.
const WRITE_BATCH: usize = 64;

/// Result of a call over a link.
#[derive(Debug)]
pub enum CallResult {
    /// The peer sent the result of the run.
    Reply(Arc<ReplyFrame>),
    /// The request was not sent, or a peer of an earlier build reported that it will not start.
    NotSent(UnsentReason),
    /// The result was lost with the connection; the request may have run.
    Lost,
}

/// Why a request counts as not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsentReason {
    /// There was no connection that could carry it.
    Unreachable,
    /// No connection carried it before the end of its time.
    Expired,
    /// It was sent, and a peer of an earlier build does not know it.
    Blocked,
}

/// Receives the events of a link.
pub trait LinkObserver: Send + Sync {
    /// A connection to the peer was opened, or could not be opened.
    fn on_connection_attempt(&self, address: SocketAddr, is_reachable: bool);
    /// The peer sent its handshake.
    fn on_hello(&self, address: SocketAddr, hello: &HelloFrame);
    /// The peer sent values of the store.
    fn on_store_update(&self, address: SocketAddr, update: &StoreUpdateFrame);
    /// A connection was closed because the peer was silent.
    fn on_silence(&self, address: SocketAddr);
    /// The peer sent its load over the connection of this daemon, which is no member in its view.
    fn on_load(&self, address: SocketAddr, load: &LoadFrame);
    /// Returns the handshake of this daemon for the peer at an address.
    fn hello(&self, address: SocketAddr) -> HelloFrame;
    /// Returns the current time.
    fn now(&self) -> Instant;
}

enum Outgoing {
    Call(u64),
    Frame(PeerFrame),
}

impl Outgoing {
    fn is_load(&self) -> bool {
        matches!(self, Self::Frame(PeerFrame::Load(_)))
    }
}

#[derive(Debug)]
struct PendingCall {
    /// Request; `None` once it has been sent.
    frame: Option<Box<CallFrame>>,
    /// Number of the connection on which the request was sent; 0 before.
    connection_number: u32,
    is_retryable: bool,
    result_sender: oneshot::Sender<CallResult>,
}

/// Link to the daemon beside another backend server. It connects when there is something to send.
/// Runs continue after the loss of a connection as long as neither daemon restarts.
pub struct PeerLink {
    address: SocketAddr,
    outbox: mpsc::UnboundedSender<Outgoing>,
    pending: Mutex<IndexMap<u64, PendingCall>>,
}

/// Call that waits for its result. Dropping it cancels the run.
pub struct LinkCall {
    link: Arc<PeerLink>,
    number: u64,
    receiver: oneshot::Receiver<CallResult>,
    is_complete: bool,
}

impl LinkCall {
    /// Waits for the result of the call.
    pub async fn result(mut self) -> CallResult {
        let result = (&mut self.receiver).await;
        self.is_complete = true;
        result.unwrap_or(CallResult::Lost)
    }

    /// Waits for the result of the call until `limit`. A request that was not sent by then is not
    /// sent any more. If it was sent, `None` is returned and the run is cancelled.
    pub async fn result_by(mut self, limit: Instant) -> Option<CallResult> {
        if let Ok(result) = timeout_at(limit.into(), &mut self.receiver).await {
            self.is_complete = true;
            return Some(result.unwrap_or(CallResult::Lost));
        }
        // Removed under the lock, so that it cannot be sent after it was reported as not sent.
        let mut pending = self.link.pending.lock();
        pending.get(&self.number)?.frame.as_ref()?;
        pending.swap_remove(&self.number);
        Some(CallResult::NotSent(UnsentReason::Expired))
    }
}

impl Drop for LinkCall {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let pending = self.link.pending.lock().swap_remove(&self.number);
        if pending.is_some_and(|pending| pending.frame.is_none()) {
            self.link.send(PeerFrame::Cancel {
                number: self.number,
            });
        }
    }
}

impl PeerLink {
    /// Creates a link and spawns the task that connects to the peer.
    pub fn start(
        address: SocketAddr,
        observer: Arc<dyn LinkObserver>,
        tasks: Arc<TaskSupervisor>,
    ) -> Arc<Self> {
        let (outbox, inbox) = mpsc::unbounded_channel();
        let link = Arc::new(Self {
            address,
            outbox,
            pending: Mutex::default(),
        });
        let driver = LinkDriver {
            link: Arc::clone(&link),
            observer,
            tasks,
            inbox,
            peer_id: None,
            connection_number: 0,
        };
        tokio::spawn(driver.run());
        link
    }

    /// Sends a message that expects no response.
    pub fn send(&self, frame: PeerFrame) {
        let _ = self.outbox.send(Outgoing::Frame(frame));
    }

    /// Requests a run from the peer.
    pub fn call(self: &Arc<Self>, frame: CallFrame) -> LinkCall {
        let (result_sender, receiver) = oneshot::channel();
        let number = frame.number;
        let pending = PendingCall {
            is_retryable: !frame.is_at_most_once,
            frame: Some(Box::new(frame)),
            connection_number: 0,
            result_sender,
        };
        self.pending.lock().insert(number, pending);
        let _ = self.outbox.send(Outgoing::Call(number));
        LinkCall {
            link: Arc::clone(self),
            number,
            receiver,
            is_complete: false,
        }
    }

    fn complete_call(&self, number: u64, result: CallResult) {
        if let Some(pending) = self.pending.lock().swap_remove(&number) {
            let _ = pending.result_sender.send(result);
        }
    }

    /// Completes the calls for which `result_of` returns a result.
    fn complete_calls(&self, result_of: impl Fn(&PendingCall) -> Option<CallResult>) {
        let mut pending = self.pending.lock();
        let numbers: Vec<u64> = pending.keys().copied().collect();
        for number in numbers {
            let result = pending.get(&number).and_then(&result_of);
            if let Some(result) = result
                && let Some(call) = pending.swap_remove(&number)
            {
                let _ = call.result_sender.send(result);
            }
        }
    }

    fn sent_run_numbers(&self) -> Vec<u64> {
        let pending = self.pending.lock();
        let sent = pending.iter().filter(|(_, call)| call.frame.is_none());
        sent.map(|(number, _)| *number).collect()
    }

    fn unsent_run_numbers(&self) -> Vec<u64> {
        let pending = self.pending.lock();
        let unsent = pending.iter().filter(|(_, call)| call.frame.is_some());
        unsent.map(|(number, _)| *number).collect()
    }

    fn has_pending(&self) -> bool {
        !self.pending.lock().is_empty()
    }

    fn has_sent_calls(&self) -> bool {
        let pending = self.pending.lock();
        pending.values().any(|call| call.frame.is_none())
    }

    fn pending_count(&self) -> usize {
        self.pending.lock().len()
    }
}

struct LinkDriver {
    link: Arc<PeerLink>,
    observer: Arc<dyn LinkObserver>,
    tasks: Arc<TaskSupervisor>,
    inbox: mpsc::UnboundedReceiver<Outgoing>,
    /// Daemon id in the last handshake of the peer.
    peer_id: Option<u64>,
    /// Number of the last connection, counted from 1; 0 before the first.
    connection_number: u32,
}

impl LinkDriver {
    async fn run(mut self) {
        let tasks = Arc::clone(&self.tasks);
        // After a panic the calls that wait are resumed on a new connection.
        while tasks
            .guard(task_names::PEER_LINK, self.drive())
            .await
            .is_none()
        {
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Connects whenever there is something to send.
    async fn drive(&mut self) {
        loop {
            let mut first = None;
            if !self.link.has_pending() {
                let Some(outgoing) = self.inbox.recv().await else {
                    return;
                };
                first = Some(outgoing);
            }
            loop {
                match self.connect().await {
                    Ok(stream) => {
                        self.observer.on_connection_attempt(self.link.address, true);
                        let end = self.run_connection(stream, first.take()).await;
                        log::info!(
                            "link: The connection to {} ended: {end}.",
                            self.link.address
                        );
                        if matches!(end, ConnectionEnd::Silent { .. }) {
                            self.observer.on_silence(self.link.address);
                        }
                    }
                    Err(error) => {
                        log::info!("link: Cannot connect to {}: {error}.", self.link.address);
                        self.observer
                            .on_connection_attempt(self.link.address, false);
                        self.fail_calls(&error);
                        first = None;
                        self.discard_queue();
                    }
                }
                if !self.link.has_pending() {
                    break;
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(self.link.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        // Data held back by a network partition must not be delivered after this side has closed
        // the connection.
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(stream)
    }

    /// Completes calls after a failed connection attempt. Sent at-most-once calls stay pending,
    /// because they may still run at the peer, unless it refused the connection.
    fn fail_calls(&self, error: &io::Error) {
        let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
        self.link.complete_calls(|call| {
            if call.frame.is_some() {
                return Some(CallResult::NotSent(UnsentReason::Unreachable));
            }
            (is_refused || call.is_retryable).then_some(CallResult::Lost)
        });
    }

    /// Discards the messages that were queued for a connection that could not be opened.
    fn discard_queue(&mut self) {
        while self.inbox.try_recv().is_ok() {}
    }

    async fn run_connection(
        &mut self,
        mut stream: TcpStream,
        first: Option<Outgoing>,
    ) -> ConnectionEnd {
        self.connection_number += 1;
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::new();
        let mut output = BytesMut::new();
        let hello = HelloFrame {
            connection_number: self.connection_number,
            ..self.observer.hello(self.link.address)
        };
        PeerFrame::Hello(hello).encode(&mut output);
        let numbers = self.link.sent_run_numbers();
        if !numbers.is_empty() {
            PeerFrame::Resume { numbers }.encode(&mut output);
        }
        if let Some(first) = first {
            self.encode(first, &mut output);
        }
        // Their messages may have been taken from the queue before the last connection ended.
        for number in self.link.unsent_run_numbers() {
            self.encode(Outgoing::Call(number), &mut output);
        }
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        let mut liveness = LinkLiveness::new(self.observer.now());
        loop {
            tokio::select! {
                written = writer.write_buf(&mut output), if !output.is_empty() => {
                    match written {
                        Ok(0) => return io::Error::from(io::ErrorKind::WriteZero).into(),
                        Ok(_) => {}
                        Err(error) => return error.into(),
                    }
                }
                received = self.inbox.recv_many(&mut batch, WRITE_BATCH), if output.is_empty() => {
                    if received == 0 {
                        return ConnectionEnd::Unused;
                    }
                    let has_load = batch.iter().any(Outgoing::is_load);
                    let has_sent_calls = self.link.has_sent_calls();
                    if liveness.record_send(has_sent_calls, has_load, self.observer.now()) {
                        PeerFrame::Ping.encode(&mut output);
                    }
                    for outgoing in batch.drain(..) {
                        self.encode(outgoing, &mut output);
                    }
                }
                read = read_available(&mut reader, &mut input) => {
                    match read {
                        Ok(0) => return ConnectionEnd::PeerClosed,
                        Ok(_) => liveness.record_received(self.observer.now()),
                        Err(error) => return error.into(),
                    }
                    loop {
                        match PeerFrame::decode(&mut input) {
                            Ok(Some(frame)) => self.receive(frame),
                            Ok(None) => break,
                            Err(error) => return error.into(),
                        }
                    }
                }
                () = tokio::time::sleep_until(liveness.next_check().into()),
                    if liveness.is_pong_due() || self.link.has_pending() =>
                {
                    match liveness.check(self.link.has_pending(), self.observer.now()) {
                        LivenessAction::Wait => {}
                        LivenessAction::Ping => PeerFrame::Ping.encode(&mut output),
                        LivenessAction::Close(silence) => {
                            let pending = self.link.pending_count();
                            return ConnectionEnd::Silent { silence, pending };
                        }
                    }
                }
            }
        }
    }

    fn encode(&self, outgoing: Outgoing, output: &mut BytesMut) {
        match outgoing {
            Outgoing::Frame(frame) => frame.encode(output),
            Outgoing::Call(number) => {
                let frame = {
                    let mut pending = self.link.pending.lock();
                    pending.get_mut(&number).and_then(|call| {
                        call.connection_number = self.connection_number;
                        call.frame.take()
                    })
                };
                if let Some(frame) = frame {
                    PeerFrame::Call(frame).encode(output);
                }
            }
        }
    }

    /// Completes a call whose run a peer of an earlier build does not know. It may have forgotten it.
    fn complete_unknown_call(&self, number: u64) {
        let Some(call) = self.link.pending.lock().swap_remove(&number) else {
            return;
        };
        log::info!(
            run = number,
            sent_on = call.connection_number,
            connection = self.connection_number,
            process = self.peer_id;
            "link: The daemon at {} does not know a run.",
            self.link.address
        );
        let result = if call.is_retryable {
            CallResult::NotSent(UnsentReason::Blocked)
        } else {
            CallResult::Lost
        };
        let _ = call.result_sender.send(result);
    }

    fn receive(&mut self, frame: PeerFrame) {
        match frame {
            PeerFrame::Hello(hello) => {
                if self.peer_id != Some(hello.daemon_id) {
                    if self.peer_id.is_some() {
                        log::info!(
                            process = hello.daemon_id, previous = self.peer_id;
                            "link: The daemon at {} was restarted.",
                            self.link.address
                        );
                    }
                    // Another process may have got the requests of earlier connections, also if its
                    // handshake did not arrive.
                    self.link.complete_calls(|call| {
                        let is_earlier =
                            call.frame.is_none() && call.connection_number < self.connection_number;
                        is_earlier.then_some(CallResult::Lost)
                    });
                }
                self.peer_id = Some(hello.daemon_id);
                self.observer.on_hello(self.link.address, &hello);
            }
            PeerFrame::StoreUpdate(update) => {
                self.observer.on_store_update(self.link.address, &update);
            }
            PeerFrame::Load(load) => self.observer.on_load(self.link.address, &load),
            PeerFrame::Reply(reply) => self
                .link
                .complete_call(reply.number, CallResult::Reply(reply)),
            PeerFrame::Resumed {
                number,
                is_running: false,
            } => self.complete_unknown_call(number),
            _ => {}
        }
    }
}

async fn read_available(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
) -> io::Result<usize> {
    input.reserve(READ_BYTES);
    reader.read_buf(input).await
}
