//! Listener that runs requests for peers.

use crate::{
    common::*,
    decision::mesh::run_table::{BlockCause, ResumedRun, RunId, RunTable, RunTerms, StartVerdict},
    mesh::{
        connection_end::ConnectionEnd,
        fleet_state::{FleetState, OpenRequest},
        forwarded_caller,
        open_connections::OpenConnection,
        peer_frame::{
            CallFrame, HelloFrame, LoadFrame, NotRunReason, PeerFrame, ReplyFrame, RunResult,
            UnknownReason,
        },
        peer_links::PeerLinks,
        sender_connections::{Outbox, QueuedFrame},
        task_names,
    },
};
use bytes::BytesMut;
use std::{io, net::IpAddr, pin::pin};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{Notify, mpsc},
    task::AbortHandle,
};

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after which a run is stopped whose sender has lost its connection. A sender detects a
/// silent connection within about 1.1 s (`CALL_SILENCE_LIMIT`, `CHECK_INTERVAL` and
/// `MAX_CHECK_DELAY` of `link_liveness`) and needs up to 0.5 s to open a new one (`RECONNECT_DELAY` and
/// `CONNECT_TIMEOUT`).
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time after which a result that its sender has not received is lost: the sender has detected that the
/// connection is silent (see `ORPHAN_TIMEOUT`) and closed it.
const RESULT_DELIVERY_TIME: Duration = Duration::from_millis(1_100);

/// Time in transit beyond which a request is refused as expired.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(1_000);

/// Size of one read in bytes.
const READ_BYTES: usize = 16 << 10;

/// Most messages that are written together.
const WRITE_BATCH: usize = 64;

/// Runs requests that peers send.
pub struct PeerListener {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
    runs: Mutex<RunTable<Arc<ReplyFrame>>>,
    tasks: Mutex<IndexMap<RunId, AbortHandle>>,
}

impl PeerListener {
    /// Creates a listener.
    pub fn new(state: Arc<FleetState>, links: Arc<PeerLinks>) -> Arc<Self> {
        Arc::new(Self {
            state,
            links,
            runs: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    /// Accepts connections until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: Arc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let connection = PeerConnection {
                        listener: Arc::clone(&self),
                        open_connection: self.state.connections.register(),
                        sender_id: None,
                        peer_ip: None,
                        replaced: Arc::default(),
                        min_clock_difference_us: i64::MAX,
                        unwritten: Vec::new(),
                    };
                    tokio::spawn(async move {
                        let end = connection.serve(stream).await;
                        log::info!("peer: The connection from {address} ended: {end}.");
                    });
                }
                Err(error) => {
                    log::warn!("peer: Cannot accept a connection: {error}.");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Stops runs whose sender did not reconnect in time, and drops old results.
    pub fn expire(&self) {
        let now = self.state.clock.now();
        let orphaned = self.runs.lock().expire(ORPHAN_TIMEOUT, now);
        for id in orphaned {
            log::info!(
                "peer: Stopped the run {}: its sender did not reconnect.",
                id.number
            );
            self.stop_run(id, BlockCause::Orphaned);
        }
    }

    /// Returns the number of runs in progress.
    pub fn running_count(&self) -> usize {
        self.runs.lock().running()
    }

    fn stop_run(&self, id: RunId, cause: BlockCause) {
        self.runs.lock().stop(id, cause, self.state.clock.now());
        if let Some(task) = self.tasks.lock().swap_remove(&id) {
            task.abort();
        }
    }

    fn start_run(self: &Arc<Self>, id: RunId, mut call: Box<CallFrame>, transit_time: Duration) {
        let state = &self.state;
        let deadline = state.clock.now() + remaining_time(&call, transit_time);
        let terms = RunTerms {
            is_at_most_once: call.is_at_most_once,
            deadline,
        };
        let verdict = self.runs.lock().start(id, terms);
        match verdict {
            StartVerdict::Started => {}
            StartVerdict::Known => return,
            StartVerdict::Forgotten => {
                let refusal = state
                    .executor
                    .refusal_reply(call.number, NotRunReason::Expired);
                return self.send_reply(id, Arc::new(refusal));
            }
        }
        let routes = state.routes();
        if let Err(result) = forwarded_caller::identify(&mut call, routes.as_ref(), &state.headers)
        {
            return self.finish_run(id, state.executor.result_reply(call.number, result));
        }
        let listener = Arc::clone(self);
        // The task cannot remove itself from the table before it is inserted, because the lock is
        // held.
        let mut tasks = self.tasks.lock();
        let task = tokio::spawn(async move {
            let state = &listener.state;
            let running = listener.run_call(id, &call, deadline);
            let reply = state.tasks.guard(task_names::PEER_RUN, running).await;
            let reply = reply.unwrap_or_else(|| {
                let result = RunResult::Unknown(UnknownReason::Broken);
                state.executor.result_reply(call.number, result)
            });
            listener.finish_run(id, reply);
        });
        tasks.insert(id, task.abort_handle());
    }

    async fn run_call(&self, id: RunId, call: &CallFrame, deadline: Instant) -> ReplyFrame {
        let state = &self.state;
        if !state.can_reach_needed_services(&call.route) {
            return state.executor.refusal_reply(call.number, NotRunReason::Cut);
        }
        let begin = || self.runs.lock().begin(id);
        state.executor.run_call(call, deadline, &begin).await
    }

    fn finish_run(&self, id: RunId, reply: ReplyFrame) {
        self.tasks.lock().swap_remove(&id);
        let reply = Arc::new(reply);
        let bytes = match &reply.result {
            RunResult::Response(response) => response.head.len() + response.body.len(),
            _ => 0,
        };
        self.runs.lock().finish(id, Arc::clone(&reply), bytes);
        self.send_reply(id, reply);
    }

    fn send_reply(&self, id: RunId, reply: Arc<ReplyFrame>) {
        let queued = QueuedFrame {
            frame: PeerFrame::Reply(reply),
            open: Some(self.state.open_request()),
        };
        self.links.senders.send(id.sender, queued);
    }

    /// Returns the state of a run as a message for its sender.
    fn resume_run(&self, id: RunId) -> PeerFrame {
        let now = self.state.clock.now();
        let resumed = self.runs.lock().resume(id, now);
        let number = id.number;
        self.state.metrics.count_resumed_run(resumed.name());
        log::info!(
            run = number, sender = id.sender, state = resumed.name();
            "peer: A sender asked for a run on a new connection."
        );
        let result = match resumed {
            ResumedRun::Running => {
                return PeerFrame::Resumed {
                    number,
                    is_running: true,
                };
            }
            ResumedRun::Finished(reply) => return PeerFrame::Reply(reply),
            ResumedRun::Unknown => RunResult::Unknown(UnknownReason::Lost),
            ResumedRun::Blocked(_) => RunResult::NotRun(NotRunReason::Unreachable),
        };
        let reply = self.state.executor.result_reply(number, result);
        PeerFrame::Reply(Arc::new(reply))
    }
}

/// Returns the time that a request has left after its transit.
fn remaining_time(call: &CallFrame, transit_time: Duration) -> Duration {
    if transit_time > MAX_TRANSIT_TIME {
        return Duration::ZERO;
    }
    Duration::from_millis(call.remaining_ms.into()).saturating_sub(transit_time)
}

/// Connection from one peer.
struct PeerConnection {
    listener: Arc<PeerListener>,
    open_connection: OpenConnection,
    sender_id: Option<u64>,
    peer_ip: Option<IpAddr>,
    /// Notified when the sender has opened a newer connection.
    replaced: Arc<Notify>,
    /// Smallest observed difference between the clock of this daemon at the receipt of a request
    /// and that of the sender when it was queued, in microseconds.
    min_clock_difference_us: i64,
    /// Keep requests open whose results are not written whole.
    unwritten: Vec<OpenRequest>,
}

impl PeerConnection {
    async fn serve(mut self, mut stream: TcpStream) -> ConnectionEnd {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = stream.split();
        let (outbox, inbox) = mpsc::unbounded_channel();
        let tasks = Arc::clone(&self.listener.state.tasks);
        let serving = self.run_connection(&mut reader, &mut writer, &outbox, inbox);
        let end = tasks.guard(task_names::PEER_CONNECTION, serving).await;
        self.on_disconnect(&outbox);
        let end = end.unwrap_or(ConnectionEnd::Panicked);
        if matches!(end, ConnectionEnd::Stopping) {
            let now = self.listener.state.clock.now();
            let connection = self.open_connection;
            let closing = connection.close(&mut reader, &mut writer, RESULT_DELIVERY_TIME, now);
            closing.await;
        }
        end
    }

    async fn run_connection(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        outbox: &Outbox,
        mut inbox: mpsc::UnboundedReceiver<QueuedFrame>,
    ) -> ConnectionEnd {
        let mut input = BytesMut::new();
        let mut output = BytesMut::new();
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        PeerFrame::Hello(self.listener.state.hello()).encode(&mut output);
        let replaced = Arc::clone(&self.replaced);
        let connections = Arc::clone(&self.listener.state.connections);
        let mut stopping = pin!(connections.stopping());
        loop {
            tokio::select! {
                () = replaced.notified() => return ConnectionEnd::Replaced,
                () = &mut stopping, if output.is_empty() && inbox.is_empty() => {
                    return ConnectionEnd::Stopping;
                }
                written = writer.write_buf(&mut output), if !output.is_empty() => {
                    match written {
                        Ok(0) => return io::Error::from(io::ErrorKind::WriteZero).into(),
                        Ok(_) if output.is_empty() => self.finish_write(),
                        Ok(_) => {}
                        Err(error) => return error.into(),
                    }
                }
                received = inbox.recv_many(&mut batch, WRITE_BATCH), if output.is_empty() => {
                    if received == 0 {
                        return ConnectionEnd::Unused;
                    }
                    for queued in batch.drain(..) {
                        queued.frame.encode(&mut output);
                        self.unwritten.extend(queued.open);
                    }
                }
                read = async { input.reserve(READ_BYTES); reader.read_buf(&mut input).await } => {
                    match read {
                        Ok(0) => return ConnectionEnd::PeerClosed,
                        Ok(_) => {}
                        Err(error) => return error.into(),
                    }
                    loop {
                        match PeerFrame::decode(&mut input) {
                            Ok(Some(PeerFrame::Hello(hello))) => {
                                if !self.accept_hello(&hello, outbox) {
                                    return ConnectionEnd::Replaced;
                                }
                            }
                            Ok(Some(frame)) => self.receive(frame, &mut output),
                            Ok(None) => break,
                            Err(error) => return error.into(),
                        }
                    }
                }
            }
        }
    }

    /// Closes the requests whose results are written.
    fn finish_write(&mut self) {
        if !self.unwritten.is_empty() {
            self.unwritten.clear();
            let now = self.listener.state.clock.now();
            self.open_connection.record_message(now);
        }
    }

    fn receive(&mut self, frame: PeerFrame, output: &mut BytesMut) {
        let listener = Arc::clone(&self.listener);
        let Some(sender) = self.sender_id else {
            return;
        };
        match frame {
            PeerFrame::Call(call) => {
                let id = RunId {
                    sender,
                    number: call.number,
                };
                let transit_time = self.transit_time(call.queued_at_us);
                listener.start_run(id, call, transit_time);
            }
            PeerFrame::Cancel { number } => {
                listener.stop_run(RunId { sender, number }, BlockCause::Cancelled);
            }
            PeerFrame::Resume { numbers } => {
                for number in numbers {
                    listener.resume_run(RunId { sender, number }).encode(output);
                }
                self.unwritten.push(listener.state.open_request());
            }
            PeerFrame::Ping => PeerFrame::Pong.encode(output),
            PeerFrame::StoreUpdate(update) => {
                if let Some(ip) = self.peer_ip {
                    listener.state.apply_update_from_peer(ip, &update);
                }
            }
            PeerFrame::FetchStoreState => {
                if let Some(frame) = listener.links.state_for(sender) {
                    frame.encode(output);
                }
            }
            PeerFrame::Load(load) => self.receive_load(&load, output),
            PeerFrame::Leaving => self.set_leaving(true),
            PeerFrame::ServerLeaving(notes) => {
                self.set_leaving(true);
                if let Some(ip) = self.peer_ip {
                    listener.state.selector.lock().record_peer_notes(ip, &notes);
                }
            }
            PeerFrame::Suspects(records) => listener.state.suspects.merge(&records),
            PeerFrame::Hello(_)
            | PeerFrame::Resumed { .. }
            | PeerFrame::Reply(_)
            | PeerFrame::Pong => {}
        }
    }

    /// Registers this connection for the sender; returns false if the sender has a newer one.
    fn accept_hello(&mut self, hello: &HelloFrame, outbox: &Outbox) -> bool {
        if !self
            .listener
            .links
            .senders
            .register(hello, outbox, &self.replaced)
        {
            return false;
        }
        self.sender_id = Some(hello.daemon_id);
        self.listener
            .state
            .executor
            .server
            .adopt_notes(&hello.notes);
        let now = self.listener.state.clock.now();
        let mut selector = self.listener.state.selector.lock();
        selector.set_leaving(hello.ip, hello.is_leaving, now);
        drop(selector);
        self.peer_ip = Some(hello.ip);
        true
    }

    /// Applies the load of the sender. A sender that is no member, for example because it cannot
    /// reach the store, gets the load of this daemon in return: it is sent to members only, and
    /// without it the sender would admit all requests.
    fn receive_load(&self, load: &LoadFrame, output: &mut BytesMut) {
        let Some(ip) = self.peer_ip else {
            return;
        };
        self.listener.links.receive_load(ip, load);
        let state = &self.listener.state;
        if !state.is_member(ip)
            && let Some(local_load) = state.latest_load()
        {
            PeerFrame::Load(local_load).encode(output);
        }
    }

    fn set_leaving(&self, is_leaving: bool) {
        if let Some(ip) = self.peer_ip {
            let now = self.listener.state.clock.now();
            let mut selector = self.listener.state.selector.lock();
            selector.set_leaving(ip, is_leaving, now);
        }
    }

    /// Returns how much longer this request was in transit than the fastest one on this connection.
    fn transit_time(&mut self, queued_at_us: u64) -> Duration {
        let difference =
            (self.listener.state.uptime_us() as i64).wrapping_sub_unsigned(queued_at_us);
        self.min_clock_difference_us = self.min_clock_difference_us.min(difference);
        Duration::from_micros(difference.abs_diff(self.min_clock_difference_us))
    }

    /// Marks the runs of the sender as orphaned until it reconnects, unless it already has.
    fn on_disconnect(&self, outbox: &Outbox) {
        let Some(sender) = self.sender_id else {
            return;
        };
        if self.listener.links.senders.remove(sender, outbox) {
            let now = self.listener.state.clock.now();
            self.listener.runs.lock().orphan(sender, now);
        }
    }
}
