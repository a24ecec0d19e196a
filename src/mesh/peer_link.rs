//! Link to the daemon beside another backend server.

use crate::{
    common::*,
    mesh::peer_frame::{CallFrame, HelloFrame, NewsFrame, PeerFrame, ReplyFrame},
};
use bytes::BytesMut;
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::timeout_at,
};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between attempts to connect while runs wait for their result.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which a connection with runs is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(120);

/// Time without a byte after which a connection with runs counts as silent. The peer answers a
/// sign-of-life request at once, also while its backend server works.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// Gap between two checks that shows that this process did not run in between.
const OWN_PAUSE: Duration = Duration::from_millis(600);

/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// Messages that are written together.
const WRITE_BATCH: usize = 64;

/// How a call over a link ended.
#[derive(Debug)]
pub enum CallEnd {
    /// The peer told the result.
    Reply(Arc<ReplyFrame>),
    /// The request did not reach the peer and never will.
    NotSent,
    /// The connection and its result are lost; the request may have run.
    Lost,
}

/// What a link reports about its peer.
pub trait LinkObserver: Send + Sync {
    /// The peer was reached or not.
    fn reached(&self, address: SocketAddr, is_reached: bool);
    /// The peer said who it is.
    fn greeted(&self, address: SocketAddr, hello: &HelloFrame);
    /// The peer told what it knows of the store.
    fn told(&self, news: &NewsFrame);
    /// Own greeting.
    fn hello(&self) -> HelloFrame;
    /// Current time.
    fn now(&self) -> Instant;
}

enum Outgoing {
    Call(u64),
    Frame(PeerFrame),
}

#[derive(Debug)]
struct PendingCall {
    frame: Option<Box<CallFrame>>,
    /// Connection on which the frame was first sent.
    connection: u32,
    is_repeatable: bool,
    sender: oneshot::Sender<CallEnd>,
}

/// Link to the daemon beside another backend server. Connections are made when there is something to
/// send; runs survive the loss of a connection as long as both daemons live.
pub struct PeerLink {
    address: SocketAddr,
    outbox: mpsc::UnboundedSender<Outgoing>,
    pending: Mutex<IndexMap<u64, PendingCall>>,
}

/// Call that waits for its end. Dropping it cancels the run.
pub struct LinkCall {
    link: Arc<PeerLink>,
    number: u64,
    receiver: oneshot::Receiver<CallEnd>,
    is_ended: bool,
}

impl LinkCall {
    /// Waits for the end of the run.
    pub async fn end(mut self) -> CallEnd {
        let end = (&mut self.receiver).await;
        self.is_ended = true;
        end.unwrap_or(CallEnd::Lost)
    }

    /// Waits for the end of the run until `limit`. A request that was not sent by then never will be;
    /// for others `None` is returned, and the run is cancelled.
    pub async fn end_by(mut self, limit: Instant) -> Option<CallEnd> {
        if let Ok(end) = timeout_at(limit.into(), &mut self.receiver).await {
            self.is_ended = true;
            return Some(end.unwrap_or(CallEnd::Lost));
        }
        let pending = self.link.pending.lock();
        let call = pending.get(&self.number)?;
        let is_sent = call.frame.is_none();
        drop(pending);
        (!is_sent).then_some(CallEnd::NotSent)
    }
}

impl Drop for LinkCall {
    fn drop(&mut self) {
        if self.is_ended {
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
    /// Starts a link.
    pub fn start(address: SocketAddr, observer: Arc<dyn LinkObserver>) -> Arc<Self> {
        let (outbox, inbox) = mpsc::unbounded_channel();
        let link = Arc::new(Self {
            address,
            outbox,
            pending: Mutex::default(),
        });
        let driver = LinkDriver {
            link: Arc::clone(&link),
            observer,
            inbox,
            peer: None,
            connection: 0,
        };
        tokio::spawn(driver.run());
        link
    }

    /// Sends a message that has no answer.
    pub fn send(&self, frame: PeerFrame) {
        let _ = self.outbox.send(Outgoing::Frame(frame));
    }

    /// Asks the peer for a run.
    pub fn call(self: &Arc<Self>, frame: CallFrame) -> LinkCall {
        let (sender, receiver) = oneshot::channel();
        let number = frame.number;
        let pending = PendingCall {
            is_repeatable: !frame.is_once,
            frame: Some(Box::new(frame)),
            connection: 0,
            sender,
        };
        self.pending.lock().insert(number, pending);
        let _ = self.outbox.send(Outgoing::Call(number));
        LinkCall {
            link: Arc::clone(self),
            number,
            receiver,
            is_ended: false,
        }
    }

    fn end_call(&self, number: u64, end: CallEnd) {
        if let Some(pending) = self.pending.lock().swap_remove(&number) {
            let _ = pending.sender.send(end);
        }
    }

    /// Ends the calls that `ends` selects.
    fn end_calls(&self, ends: impl Fn(&PendingCall) -> Option<CallEnd>) {
        let mut pending = self.pending.lock();
        let numbers: Vec<u64> = pending.keys().copied().collect();
        for number in numbers {
            let end = pending.get(&number).and_then(&ends);
            if let Some(end) = end
                && let Some(call) = pending.swap_remove(&number)
            {
                let _ = call.sender.send(end);
            }
        }
    }

    fn sent_numbers(&self) -> Vec<u64> {
        let pending = self.pending.lock();
        let sent = pending.iter().filter(|(_, call)| call.frame.is_none());
        sent.map(|(number, _)| *number).collect()
    }

    fn has_pending(&self) -> bool {
        !self.pending.lock().is_empty()
    }
}

struct LinkDriver {
    link: Arc<PeerLink>,
    observer: Arc<dyn LinkObserver>,
    inbox: mpsc::UnboundedReceiver<Outgoing>,
    peer: Option<u64>,
    /// Counter of the connections.
    connection: u32,
}

impl LinkDriver {
    async fn run(mut self) {
        while let Some(first) = self.inbox.recv().await {
            let mut first = Some(first);
            loop {
                match self.connect().await {
                    Ok(stream) => {
                        self.observer.reached(self.link.address, true);
                        let error = self.pump(stream, first.take()).await;
                        log::info!(
                            "link: The connection to {} ended: {error}.",
                            self.link.address
                        );
                    }
                    Err(error) => {
                        log::info!("link: Cannot reach {}: {error}.", self.link.address);
                        self.observer.reached(self.link.address, false);
                        self.give_up_calls(&error);
                        first = None;
                        self.drop_frames();
                    }
                }
                if !self.link.has_pending() {
                    break;
                }
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(self.link.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        // Bytes that a partition holds back must not arrive after the link was given up.
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(stream)
    }

    /// Ends the calls that an unreachable peer cannot bring to an end.
    fn give_up_calls(&self, error: &io::Error) {
        let is_ended = error.kind() == io::ErrorKind::ConnectionRefused;
        self.link.end_calls(|call| {
            if call.frame.is_some() {
                return Some(CallEnd::NotSent);
            }
            (is_ended || call.is_repeatable).then_some(CallEnd::Lost)
        });
    }

    /// Drops messages that were queued for a connection that could not be made.
    fn drop_frames(&mut self) {
        while self.inbox.try_recv().is_ok() {}
    }

    async fn pump(&mut self, mut stream: TcpStream, first: Option<Outgoing>) -> io::Error {
        self.connection += 1;
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::new();
        let mut output = BytesMut::new();
        let hello = HelloFrame {
            connection: self.connection,
            ..self.observer.hello()
        };
        PeerFrame::Hello(hello).encode(&mut output);
        let numbers = self.link.sent_numbers();
        if !numbers.is_empty() {
            PeerFrame::Resume { numbers }.encode(&mut output);
        }
        if let Some(first) = first {
            self.encode(first, &mut output);
        }
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        let mut last_byte = self.observer.now();
        let mut last_check = last_byte;
        let mut next_check = last_byte + CHECK_INTERVAL;
        loop {
            tokio::select! {
                written = writer.write_buf(&mut output), if !output.is_empty() => {
                    match written {
                        Ok(0) => return io::ErrorKind::WriteZero.into(),
                        Ok(_) => {}
                        Err(error) => return error,
                    }
                }
                received = self.inbox.recv_many(&mut batch, WRITE_BATCH), if output.is_empty() => {
                    if received == 0 {
                        return io::ErrorKind::NotConnected.into();
                    }
                    if self.link.sent_numbers_is_empty() {
                        // Nothing was due from the peer, so its silence says nothing.
                        last_byte = self.observer.now();
                        last_check = last_byte;
                        next_check = last_byte + CHECK_INTERVAL;
                    }
                    for outgoing in batch.drain(..) {
                        self.encode(outgoing, &mut output);
                    }
                }
                read = read_some(&mut reader, &mut input) => {
                    match read {
                        Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                        Ok(_) => last_byte = self.observer.now(),
                        Err(error) => return error,
                    }
                    loop {
                        match PeerFrame::take(&mut input) {
                            Ok(Some(frame)) => self.receive(frame),
                            Ok(None) => break,
                            Err(error) => return io::Error::other(error),
                        }
                    }
                }
                () = tokio::time::sleep_until(next_check.into()), if self.link.has_pending() => {
                    let now = self.observer.now();
                    if now > last_check + CHECK_INTERVAL + OWN_PAUSE {
                        last_byte = now;
                    }
                    last_check = now;
                    next_check = now + CHECK_INTERVAL;
                    if now > last_byte + SILENCE_LIMIT {
                        return io::ErrorKind::TimedOut.into();
                    }
                    if now > last_byte + CHECK_INTERVAL {
                        PeerFrame::Ping.encode(&mut output);
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
                        call.connection = self.connection;
                        call.frame.take()
                    })
                };
                if let Some(frame) = frame {
                    PeerFrame::Call(frame).encode(output);
                }
            }
        }
    }

    fn receive(&mut self, frame: PeerFrame) {
        match frame {
            PeerFrame::Hello(hello) => {
                if self.peer.is_some_and(|peer| peer != hello.daemon) {
                    // The daemon started anew and knows nothing of runs on earlier connections.
                    log::info!("link: The daemon at {} started again.", self.link.address);
                    self.link.end_calls(|call| {
                        let is_earlier = call.frame.is_none() && call.connection < self.connection;
                        is_earlier.then_some(CallEnd::Lost)
                    });
                }
                self.peer = Some(hello.daemon);
                self.observer.greeted(self.link.address, &hello);
            }
            PeerFrame::News(news) => self.observer.told(&news),
            PeerFrame::Reply(reply) => self.link.end_call(reply.number, CallEnd::Reply(reply)),
            PeerFrame::Resumed {
                number,
                is_running: false,
            } => self.link.end_call(number, CallEnd::NotSent),
            _ => {}
        }
    }
}

impl PeerLink {
    fn sent_numbers_is_empty(&self) -> bool {
        let pending = self.pending.lock();
        !pending.values().any(|call| call.frame.is_none())
    }
}

async fn read_some(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
) -> io::Result<usize> {
    input.reserve(READ_BYTES);
    reader.read_buf(input).await
}
