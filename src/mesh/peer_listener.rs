//! Listener for other daemons.

use crate::{
    common::*,
    decision::mesh::run_table::{ResumedRun, RunId, RunTable},
    mesh::{
        fleet_state::FleetState,
        peer_frame::{
            CallFrame, HelloFrame, LoadFrame, NotRunReason, PeerFrame, ReplyFrame, RunEnd,
        },
        peer_links::PeerLinks,
    },
};
use bytes::BytesMut;
use std::{io, net::IpAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::AbortHandle,
};

/// Pause after a failed accept, such as one without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a run goes on whose sender lost its connection. A sender notices a silent
/// connection within 1.1 s and needs another half second for a new one.
const ORPHAN_TIME: Duration = Duration::from_millis(1_800);

/// Age at which a request that was held up on the way is refused.
const MAX_TRANSIT: Duration = Duration::from_millis(1_000);

/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// Messages that are written together.
const WRITE_BATCH: usize = 64;

type Outbox = mpsc::UnboundedSender<PeerFrame>;

/// Serves other daemons.
pub struct PeerListener {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
    runs: Mutex<RunTable<Arc<ReplyFrame>>>,
    tasks: Mutex<IndexMap<RunId, AbortHandle>>,
    senders: Mutex<IndexMap<u64, CurrentConnection>>,
}

/// Connection of a sender on which its answers go.
struct CurrentConnection {
    /// Counter of the sender's connections.
    number: u32,
    outbox: Outbox,
}

impl PeerListener {
    /// Creates a listener.
    pub fn new(state: Arc<FleetState>, links: Arc<PeerLinks>) -> Arc<Self> {
        Arc::new(Self {
            state,
            links,
            runs: Mutex::default(),
            tasks: Mutex::default(),
            senders: Mutex::default(),
        })
    }

    /// Serves a socket until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let connection = PeerConnection {
                        listener: Arc::clone(&self),
                        sender: None,
                        peer_ip: None,
                        least_transit_us: i64::MAX,
                    };
                    tokio::spawn(async move {
                        let error = connection.serve(stream).await;
                        log::info!("peer: The connection of {address} ended: {error}.");
                    });
                }
                Err(error) => {
                    log::warn!("peer: Cannot accept a connection: {error}.");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Ends runs whose sender is lost and drops old results.
    pub fn expire(&self) {
        let now = self.state.clock.now();
        let lost = self.runs.lock().expire(ORPHAN_TIME, now);
        for id in lost {
            log::info!("peer: The run {} of a lost daemon ends.", id.number);
            self.cancel(id);
        }
    }

    /// Returns the number of runs that have not ended.
    pub fn running(&self) -> usize {
        self.runs.lock().running()
    }

    fn cancel(&self, id: RunId) {
        self.runs.lock().block(id, self.state.clock.now());
        if let Some(task) = self.tasks.lock().swap_remove(&id) {
            task.abort();
        }
    }

    fn start(self: &Arc<Self>, id: RunId, call: Box<CallFrame>, transit: Duration) {
        if !self.runs.lock().start(id) {
            return;
        }
        let budget = Duration::from_millis(call.budget_ms.into());
        let budget = if transit > MAX_TRANSIT {
            Duration::ZERO
        } else {
            budget.saturating_sub(transit)
        };
        let deadline = self.state.clock.now() + budget;
        let listener = Arc::clone(self);
        // The lock is held until the task is known, so that it cannot end before.
        let mut tasks = self.tasks.lock();
        let task = tokio::spawn(async move {
            let state = &listener.state;
            let reply = if state.can_complete(&call.route) {
                state.executor.run_call(&call, deadline).await
            } else {
                state.executor.refusal_reply(call.number, NotRunReason::Cut)
            };
            listener.finish(id, reply);
        });
        tasks.insert(id, task.abort_handle());
    }

    fn finish(&self, id: RunId, reply: ReplyFrame) {
        self.tasks.lock().swap_remove(&id);
        let reply = Arc::new(reply);
        let bytes = match &reply.end {
            RunEnd::Answered(answer) => answer.head.len() + answer.body.len(),
            _ => 0,
        };
        let now = self.state.clock.now();
        self.runs.lock().finish(id, Arc::clone(&reply), bytes, now);
        if let Some(current) = self.senders.lock().get(&id.sender) {
            let _ = current.outbox.send(PeerFrame::Reply(reply));
        }
    }

    fn resume(&self, id: RunId) -> PeerFrame {
        let now = self.state.clock.now();
        let resumed = self.runs.lock().resume(id, now);
        let number = id.number;
        match resumed {
            ResumedRun::Running => PeerFrame::Resumed {
                number,
                is_running: true,
            },
            ResumedRun::Blocked => PeerFrame::Resumed {
                number,
                is_running: false,
            },
            ResumedRun::Finished(reply) => PeerFrame::Reply(reply),
        }
    }
}

/// Connection of one daemon.
struct PeerConnection {
    listener: Arc<PeerListener>,
    sender: Option<u64>,
    peer_ip: Option<IpAddr>,
    /// Least difference seen between the own clock and that of the sender, in microseconds.
    least_transit_us: i64,
}

impl PeerConnection {
    async fn serve(mut self, mut stream: TcpStream) -> io::Error {
        let _ = stream.set_nodelay(true);
        let (outbox, inbox) = mpsc::unbounded_channel();
        let error = self.pump(&mut stream, &outbox, inbox).await;
        self.lose(&outbox);
        error
    }

    async fn pump(
        &mut self,
        stream: &mut TcpStream,
        outbox: &Outbox,
        mut inbox: mpsc::UnboundedReceiver<PeerFrame>,
    ) -> io::Error {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::new();
        let mut output = BytesMut::new();
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        PeerFrame::Hello(self.listener.state.hello()).encode(&mut output);
        loop {
            tokio::select! {
                written = writer.write_buf(&mut output), if !output.is_empty() => {
                    match written {
                        Ok(0) => return io::ErrorKind::WriteZero.into(),
                        Ok(_) => {}
                        Err(error) => return error,
                    }
                }
                received = inbox.recv_many(&mut batch, WRITE_BATCH), if output.is_empty() => {
                    if received == 0 {
                        return io::ErrorKind::NotConnected.into();
                    }
                    for frame in batch.drain(..) {
                        frame.encode(&mut output);
                    }
                }
                read = async { input.reserve(READ_BYTES); reader.read_buf(&mut input).await } => {
                    match read {
                        Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                        Ok(_) => {}
                        Err(error) => return error,
                    }
                    loop {
                        match PeerFrame::take(&mut input) {
                            Ok(Some(PeerFrame::Hello(hello))) => {
                                if !self.greet(&hello, outbox) {
                                    return io::Error::other("a later connection is in use");
                                }
                            }
                            Ok(Some(frame)) => self.receive(frame, &mut output),
                            Ok(None) => break,
                            Err(error) => return io::Error::other(error),
                        }
                    }
                }
            }
        }
    }

    fn receive(&mut self, frame: PeerFrame, output: &mut BytesMut) {
        let listener = Arc::clone(&self.listener);
        let Some(sender) = self.sender else {
            return;
        };
        match frame {
            PeerFrame::Call(call) => {
                let id = RunId {
                    sender,
                    number: call.number,
                };
                let transit = self.transit(call.sent_us);
                listener.start(id, call, transit);
            }
            PeerFrame::Cancel { number } => listener.cancel(RunId { sender, number }),
            PeerFrame::Resume { numbers } => {
                for number in numbers {
                    listener.resume(RunId { sender, number }).encode(output);
                }
            }
            PeerFrame::Ping => PeerFrame::Pong.encode(output),
            PeerFrame::News(news) => listener.state.learn_news(&news),
            PeerFrame::Fetch => {
                PeerFrame::News(Arc::new(listener.state.all_items())).encode(output);
            }
            PeerFrame::Load(load) => self.receive_load(&load),
            PeerFrame::Leaving => self.set_leaving(true),
            PeerFrame::Hello(_)
            | PeerFrame::Resumed { .. }
            | PeerFrame::Reply(_)
            | PeerFrame::Pong => {}
        }
    }

    /// Learns who the sender is; returns false if it uses a later connection by now.
    fn greet(&mut self, hello: &HelloFrame, outbox: &Outbox) -> bool {
        let mut senders = self.listener.senders.lock();
        let known = senders.get(&hello.daemon);
        if known.is_some_and(|current| current.number > hello.connection) {
            return false;
        }
        let current = CurrentConnection {
            number: hello.connection,
            outbox: outbox.clone(),
        };
        senders.insert(hello.daemon, current);
        drop(senders);
        self.sender = Some(hello.daemon);
        let now = self.listener.state.clock.now();
        let mut choice = self.listener.state.choice.lock();
        choice.set_leaving(hello.ip, hello.is_leaving, now);
        drop(choice);
        self.peer_ip = Some(hello.ip);
        true
    }

    fn receive_load(&self, load: &LoadFrame) {
        let state = &self.listener.state;
        let needs_full_sync = state.learn_load(load);
        let Some(ip) = self.peer_ip else {
            return;
        };
        state.choice.lock().set_last_seen(ip, state.clock.now());
        if needs_full_sync {
            let address = SocketAddr::new(ip, state.settings.peer.port());
            log::info!("store: Changes that {address} knows did not arrive.");
            if let Some(link) = self.listener.links.link(address) {
                link.send(PeerFrame::Fetch);
            }
        }
    }

    fn set_leaving(&self, is_leaving: bool) {
        if let Some(ip) = self.peer_ip {
            let now = self.listener.state.clock.now();
            let mut choice = self.listener.state.choice.lock();
            choice.set_leaving(ip, is_leaving, now);
        }
    }

    /// Returns how much longer than the fastest message this one was under way.
    fn transit(&mut self, sent_us: u64) -> Duration {
        let difference = self.listener.state.uptime_us() as i64 - sent_us as i64;
        self.least_transit_us = self.least_transit_us.min(difference);
        Duration::from_micros((difference - self.least_transit_us) as u64)
    }

    /// Leaves the runs of the sender to its next connection.
    fn lose(&self, outbox: &Outbox) {
        let Some(sender) = self.sender else {
            return;
        };
        let mut senders = self.listener.senders.lock();
        if senders
            .get(&sender)
            .is_some_and(|current| current.outbox.same_channel(outbox))
        {
            senders.swap_remove(&sender);
            let now = self.listener.state.clock.now();
            self.listener.runs.lock().orphan(sender, now);
        }
    }
}
