//! HTTP connections of callers: clients and the local backend server.

use crate::{
    common::*,
    decision::mesh::route_table::CallerLimits,
    http1::{closing_stream::CLOSE_TIMEOUT, message_head::MessageError},
    mesh::{
        caller_response::{CallerRequest, CallerResponse, LocalReason},
        entry_proxy::EntryProxy,
        fleet_state::OpenRequest,
        open_connections::OpenConnection,
        request_reader::RequestReader,
    },
};
use bytes::BytesMut;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesOrdered};
use std::{collections::VecDeque, io, pin::pin};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpListener,
    time::sleep_until,
};

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Most requests of one connection that are in progress at once.
const MAX_PIPELINED: usize = 64;

/// Bytes of responses that wait to be written beyond which no further request of a connection starts.
const MAX_UNWRITTEN_BYTES: usize = 1 << 20;

/// Bytes that are read ahead while no request can start, so that a caller that disconnects is noticed.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Free space in the buffer for each read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Longest time for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections of callers until the task is dropped.
pub async fn serve(listener: Arc<TcpListener>, proxy: Arc<EntryProxy>) {
    loop {
        match listener.accept().await {
            Ok((mut stream, _)) => {
                let connection = CallerConnection::new(Arc::clone(&proxy));
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let (mut reader, mut writer) = stream.split();
                    connection.serve(&mut reader, &mut writer).await;
                });
            }
            Err(error) => {
                log::warn!("listener: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// What becomes of the bytes that the caller sends.
enum ReadSide {
    /// They are requests.
    Open(RequestReader),
    /// They are discarded: no further request starts, and the connection closes after the response to
    /// the last one that has started.
    Closing { discarded: BytesMut },
}

/// Response that is ready to be written.
struct ReadyResponse {
    response: CallerResponse,
    /// Keeps the request open until the response is written, unless it was rejected unread.
    open: Option<OpenRequest>,
}

type ResponseFuture = BoxFuture<'static, ReadyResponse>;

/// Message that is being written.
struct OutgoingMessage {
    /// Rest of the message.
    rest: BytesMut,
    deadline: Instant,
    /// Keeps the request open until the message is written.
    _open: Option<OpenRequest>,
}

/// Connection of one caller. Pipelined requests run concurrently; their responses are written in
/// request order.
pub struct CallerConnection {
    proxy: Arc<EntryProxy>,
    open_connection: OpenConnection,
    read_side: ReadSide,
    /// Requests in progress, and those that completed before an earlier one.
    responses: FuturesOrdered<ResponseFuture>,
    /// Responses that wait until the one before them is written.
    ready: VecDeque<ReadyResponse>,
    outgoing: Option<OutgoingMessage>,
    /// Whether the caller has closed its side.
    has_disconnected: bool,
    idle_since: Instant,
}

impl CallerConnection {
    /// Creates a connection of which nothing has been read.
    pub fn new(proxy: Arc<EntryProxy>) -> Self {
        Self {
            idle_since: proxy.state().clock.now(),
            open_connection: proxy.state().connections.register(),
            proxy,
            read_side: ReadSide::Open(RequestReader::new()),
            responses: FuturesOrdered::new(),
            ready: VecDeque::new(),
            outgoing: None,
            has_disconnected: false,
        }
    }

    /// Serves the connection until it ends.
    pub async fn serve<R, W>(mut self, reader: &mut R, writer: &mut W)
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let is_finished = match self.serve_requests(reader, writer).await {
            Ok(is_finished) => is_finished,
            Err(error) => {
                log::debug!("listener: A connection ended early: {error}.");
                false
            }
        };
        let now = self.proxy.state().clock.now();
        let open_connection = self.into_open_connection();
        if is_finished {
            let closing = open_connection.close(reader, writer, CLOSE_TIMEOUT, now);
            closing.await;
        }
    }

    /// Frees the buffers, and cancels the requests of a caller that disconnected.
    fn into_open_connection(self) -> OpenConnection {
        self.open_connection
    }

    /// Serves requests; returns true if the daemon closes the connection.
    ///
    /// All requests make progress while a response is written: the caller may read it slowly, and the
    /// others hold slots meanwhile.
    async fn serve_requests(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<bool> {
        let proxy = Arc::clone(&self.proxy);
        let mut stopping = pin!(proxy.state().connections.stopping());
        loop {
            if self.outgoing.is_none() {
                self.write_next();
            }
            if self.has_disconnected && self.outgoing.is_none() {
                return Ok(false);
            }
            let is_idle = self.responses.is_empty() && self.outgoing.is_none();
            let is_reading = self.is_reading();
            let read_deadline = self.read_deadline();
            let write_deadline = self.outgoing.as_ref().map(|outgoing| outgoing.deadline);
            // Most responses are written at once. The timer of the write is used only for the others.
            tokio::select! {
                biased;
                written = write_rest(writer, &mut self.outgoing), if !is_idle => {
                    written?;
                    if self.finish_write() {
                        return Ok(true);
                    }
                }
                Some(ready) = self.responses.next(), if !self.responses.is_empty() => {
                    self.ready.push_back(ready);
                }
                read = read_available(reader, self.read_side.input()), if is_reading => {
                    if read? == 0 {
                        // Cancels the requests in progress; what is ready is still written.
                        self.responses.clear();
                        self.has_disconnected = true;
                    }
                    match &mut self.read_side {
                        ReadSide::Open(_) => self.start_complete_requests(),
                        ReadSide::Closing { discarded } => discarded.clear(),
                    }
                }
                () = &mut stopping, if is_idle => return Ok(true),
                () = sleep_until(write_deadline.unwrap_or(read_deadline).into()),
                    if is_idle || write_deadline.is_some() =>
                {
                    if write_deadline.is_some() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    if self.read_side.is_between_requests() {
                        return Ok(true);
                    }
                    self.push_local(LocalReason::SlowCaller);
                }
            }
        }
    }

    /// Returns whether another request may start.
    fn has_room(&self) -> bool {
        let outgoing = self.outgoing.as_ref();
        let unwritten = outgoing.map_or(0, |outgoing| outgoing.rest.len())
            + self
                .ready
                .iter()
                .map(|ready| ready.response.body.len())
                .sum::<usize>();
        let unfinished = self.responses.len() + self.ready.len() + usize::from(outgoing.is_some());
        unfinished < MAX_PIPELINED && unwritten < MAX_UNWRITTEN_BYTES
    }

    /// Returns whether bytes of the caller are read. Without room for another request, some are read
    /// ahead.
    fn is_reading(&self) -> bool {
        let has_room = match &self.read_side {
            ReadSide::Open(reader) => self.has_room() || reader.input.len() < READ_AHEAD_BYTES,
            ReadSide::Closing { .. } => true,
        };
        has_room && !self.has_disconnected
    }

    /// Begins to write the next response that is ready. While the daemon is leaving, the connection
    /// closes after a response behind which the caller has sent nothing.
    fn write_next(&mut self) {
        let Some(ready) = self.ready.pop_front() else {
            return;
        };
        let is_leaving = self.proxy.state().is_leaving();
        if is_leaving && !self.has_unwritten() && self.read_side.is_between_requests() {
            self.stop_reading();
        }
        let message = ready.response.encode(self.closes_next());
        self.write_message(message, ready.open);
    }

    /// Returns whether a response is not being written yet, or its request is in progress.
    fn has_unwritten(&self) -> bool {
        !self.responses.is_empty() || !self.ready.is_empty()
    }

    /// Returns whether the connection closes after the message that is written next or now.
    fn closes_next(&self) -> bool {
        matches!(self.read_side, ReadSide::Closing { .. }) && !self.has_unwritten()
    }

    /// Starts no further request of the connection, which closes after the responses to the others.
    fn stop_reading(&mut self) {
        self.read_side = ReadSide::Closing {
            discarded: BytesMut::new(),
        };
    }

    fn write_message(&mut self, rest: BytesMut, open: Option<OpenRequest>) {
        self.outgoing = Some(OutgoingMessage {
            rest,
            deadline: self.proxy.state().clock.now() + WRITE_TIMEOUT,
            _open: open,
        });
    }

    /// Completes a message of which all is written; returns whether the connection is closed after
    /// it.
    fn finish_write(&mut self) -> bool {
        let is_written = |outgoing: &mut OutgoingMessage| outgoing.rest.is_empty();
        if self.outgoing.take_if(is_written).is_none() {
            return false;
        }
        self.idle_since = self.proxy.state().clock.now();
        self.open_connection.record_message(self.idle_since);
        if self.closes_next() {
            return true;
        }
        // Requests for which there was no room are in the buffer.
        if !self.read_side.input().is_empty() {
            self.start_complete_requests();
        }
        false
    }

    /// Returns when an idle connection or an incomplete request times out. An incomplete body times
    /// out like an idle connection: `idle_timeout` after the last received data or written
    /// response.
    fn read_deadline(&self) -> Instant {
        let limits = self.limits();
        match self.read_side.head_since() {
            Some(since) => since + limits.header_timeout,
            None => self.idle_since + limits.idle_timeout,
        }
    }

    fn limits(&self) -> CallerLimits {
        let routes = self.proxy.state().routes();
        routes.map(|routes| routes.limits()).unwrap_or_default()
    }

    /// Starts all requests that have been read completely, as long as there is room.
    fn start_complete_requests(&mut self) {
        self.idle_since = self.proxy.state().clock.now();
        while self.has_room() && !self.has_disconnected {
            let (limits, now) = (self.limits(), self.proxy.state().clock.now());
            let ReadSide::Open(reader) = &mut self.read_side else {
                return;
            };
            match reader.take_request(&limits, now) {
                Ok(Some(request)) => self.start(request),
                Ok(None) => {
                    let is_idle = self.outgoing.is_none() && !self.has_unwritten();
                    if is_idle && self.read_side.expects_continue() {
                        let message = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
                        self.write_message(message, None);
                    }
                    break;
                }
                Err(error) => {
                    self.reject(error);
                    break;
                }
            }
        }
    }

    fn start(&mut self, request: CallerRequest) {
        let proxy = Arc::clone(&self.proxy);
        if !request.head.keeps_connection() {
            self.stop_reading();
        }
        let open: OpenRequest = proxy.state().open_request();
        self.responses.push_back(Box::pin(async move {
            ReadyResponse {
                response: proxy.serve(request).await,
                open: Some(open),
            }
        }));
    }

    fn reject(&mut self, error: MessageError) {
        log::info!("listener: Rejected a request. {error}");
        let reason = match error {
            MessageError::HeadSize => LocalReason::HeadTooLarge,
            MessageError::BodySize => LocalReason::BodyTooLarge,
            MessageError::Head
            | MessageError::Status(_)
            | MessageError::Length
            | MessageError::Chunk => LocalReason::Malformed,
        };
        self.push_local(reason);
    }

    /// Responds to a request that was not read whole, and closes the connection after the response.
    fn push_local(&mut self, reason: LocalReason) {
        let response = self.proxy.local_response(reason, &[], Duration::ZERO);
        self.stop_reading();
        let ready = ReadyResponse {
            response,
            open: None,
        };
        self.responses
            .push_back(Box::pin(std::future::ready(ready)));
    }
}

impl ReadSide {
    fn reader(&self) -> Option<&RequestReader> {
        match self {
            Self::Open(reader) => Some(reader),
            Self::Closing { .. } => None,
        }
    }

    /// Returns the buffer for what the caller sends.
    fn input(&mut self) -> &mut BytesMut {
        match self {
            Self::Open(reader) => &mut reader.input,
            Self::Closing { discarded } => discarded,
        }
    }

    fn is_between_requests(&self) -> bool {
        self.reader()
            .is_some_and(RequestReader::is_between_requests)
    }

    fn expects_continue(&self) -> bool {
        self.reader().is_some_and(RequestReader::expects_continue)
    }

    fn head_since(&self) -> Option<Instant> {
        self.reader().and_then(RequestReader::head_since)
    }
}

async fn read_available(
    reader: &mut (impl AsyncRead + Unpin),
    input: &mut BytesMut,
) -> io::Result<usize> {
    input.reserve(READ_BYTES);
    reader.read_buf(input).await
}

/// Writes a part of a message; waits for ever without one.
async fn write_rest(
    writer: &mut (impl AsyncWrite + Unpin),
    outgoing: &mut Option<OutgoingMessage>,
) -> io::Result<()> {
    let Some(outgoing) = outgoing else {
        return std::future::pending().await;
    };
    match writer.write_buf(&mut outgoing.rest).await? {
        0 => Err(io::ErrorKind::WriteZero.into()),
        _ => Ok(()),
    }
}
