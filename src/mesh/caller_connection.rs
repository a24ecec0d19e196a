//! HTTP connections of callers: clients and the local backend server.

use crate::{
    common::*,
    http1::{
        body_decoder::BodyDecoder,
        message_head::{MessageError, RequestHead},
    },
    mesh::{
        caller_response::{CallerRequest, CallerResponse, LocalReason},
        entry_proxy::EntryProxy,
        fleet_state::OpenRequest,
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

/// Progress in reading the next request.
enum ReadProgress {
    /// The head is incomplete; `since` is the time of its first byte.
    Head { since: Option<Instant> },
    /// The body is incomplete.
    Body {
        head: Box<RequestHead>,
        decoder: BodyDecoder,
        body: BytesMut,
    },
    /// No further request is read.
    Closed,
}

/// Response that is ready to be written.
struct ReadyResponse {
    response: CallerResponse,
    /// Whether the caller asked to close the connection after the response.
    closes_connection: bool,
    /// Keeps the request open until the response is written, unless it was rejected unread.
    open: Option<OpenRequest>,
}

type ResponseFuture = BoxFuture<'static, ReadyResponse>;

/// Message that is being written.
struct OutgoingMessage {
    /// Rest of the message.
    rest: BytesMut,
    /// Whether the connection is closed after the message.
    closes_connection: bool,
    deadline: Instant,
    /// Keeps the request open until the message is written.
    _open: Option<OpenRequest>,
}

/// Connection of one caller. Pipelined requests run concurrently; their responses are written in
/// request order.
pub struct CallerConnection {
    proxy: Arc<EntryProxy>,
    input: BytesMut,
    read_progress: ReadProgress,
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
            proxy,
            input: BytesMut::new(),
            read_progress: ReadProgress::Head { since: None },
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
        let open_connection = self.proxy.state().connections.register();
        let is_finished = match self.serve_requests(reader, writer).await {
            Ok(is_finished) => is_finished,
            Err(error) => {
                log::debug!("listener: A connection ended early: {error}.");
                false
            }
        };
        // Cancels the requests of a caller that disconnected.
        drop(self);
        if is_finished {
            open_connection.close(reader, writer).await;
        }
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
            let is_reading =
                !self.has_disconnected && (self.has_room() || self.input.len() < READ_AHEAD_BYTES);
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
                read = read_available(reader, &mut self.input), if is_reading => {
                    if read? == 0 {
                        // Cancels the requests in progress; what is ready is still written.
                        self.responses.clear();
                        self.has_disconnected = true;
                    }
                    self.start_complete_requests();
                }
                () = &mut stopping, if is_idle => return Ok(true),
                () = sleep_until(write_deadline.unwrap_or(read_deadline).into()),
                    if is_idle || write_deadline.is_some() =>
                {
                    if write_deadline.is_some() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    if matches!(self.read_progress, ReadProgress::Head { since: None }) {
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

    /// Begins to write the next response that is ready.
    fn write_next(&mut self) {
        let Some(ready) = self.ready.pop_front() else {
            return;
        };
        let is_last = self.responses.is_empty() && self.ready.is_empty() && self.input.is_empty();
        let closes_connection = ready.closes_connection
            || ready.response.closes_connection
            || (self.proxy.state().is_leaving() && is_last);
        let message = ready.response.encode(closes_connection);
        self.write_message(message, closes_connection, ready.open);
    }

    fn write_message(
        &mut self,
        rest: BytesMut,
        closes_connection: bool,
        open: Option<OpenRequest>,
    ) {
        self.outgoing = Some(OutgoingMessage {
            rest,
            closes_connection,
            deadline: self.proxy.state().clock.now() + WRITE_TIMEOUT,
            _open: open,
        });
    }

    /// Completes a message of which all is written; returns whether the connection is closed after
    /// it.
    fn finish_write(&mut self) -> bool {
        let is_written = |outgoing: &mut OutgoingMessage| outgoing.rest.is_empty();
        let Some(written) = self.outgoing.take_if(is_written) else {
            return false;
        };
        self.idle_since = self.proxy.state().clock.now();
        // Requests for which there was no room are in the buffer.
        if !self.input.is_empty() && !written.closes_connection {
            self.start_complete_requests();
        }
        written.closes_connection
    }

    /// Returns when an idle connection or an incomplete request times out. An incomplete body times
    /// out like an idle connection: `idle_timeout` after the last received data or written
    /// response.
    fn read_deadline(&self) -> Instant {
        let limits = self.proxy.state().routes().map(|routes| routes.limits());
        let limits = limits.unwrap_or_default();
        match &self.read_progress {
            ReadProgress::Head { since: Some(since) } => *since + limits.header_timeout,
            _ => self.idle_since + limits.idle_timeout,
        }
    }

    /// Starts all requests that have been read completely, as long as there is room.
    fn start_complete_requests(&mut self) {
        self.idle_since = self.proxy.state().clock.now();
        while self.has_room() && !self.has_disconnected {
            match self.take_request() {
                Ok(Some(request)) => self.start(request),
                Ok(None) => {
                    if self.is_continue_due() {
                        let message = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
                        self.write_message(message, false, None);
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

    fn take_request(&mut self) -> Result<Option<CallerRequest>, MessageError> {
        let limits = self.proxy.state().routes().map(|routes| routes.limits());
        let limits = limits.unwrap_or_default();
        if let ReadProgress::Head { since } = &mut self.read_progress {
            let Some(head) = RequestHead::parse(&mut self.input, limits.header_bytes)? else {
                *since = match *since {
                    _ if self.input.is_empty() => None,
                    None => Some(self.proxy.state().clock.now()),
                    since => since,
                };
                return Ok(None);
            };
            self.read_progress = ReadProgress::Body {
                decoder: BodyDecoder::new(head.body_length()?),
                head: Box::new(head),
                body: BytesMut::new(),
            };
        }
        if let ReadProgress::Body { decoder, body, .. } = &mut self.read_progress {
            let is_done = decoder.decode(&mut self.input, body, limits.body_bytes)?;
            if !is_done {
                return Ok(None);
            }
        }
        let next = ReadProgress::Head { since: None };
        match std::mem::replace(&mut self.read_progress, next) {
            ReadProgress::Body { head, body, .. } => Ok(Some(CallerRequest {
                head: *head,
                body: body.freeze(),
                received: self.proxy.state().clock.now(),
            })),
            // After `Closed`, further data of the caller is discarded.
            read_progress => {
                self.read_progress = read_progress;
                self.input.clear();
                Ok(None)
            }
        }
    }

    fn start(&mut self, request: CallerRequest) {
        let proxy = Arc::clone(&self.proxy);
        let closes_connection = !request.head.keeps_connection();
        if closes_connection {
            self.read_progress = ReadProgress::Closed;
        }
        let open: OpenRequest = proxy.state().open_request();
        self.responses.push_back(Box::pin(async move {
            ReadyResponse {
                response: proxy.serve(request).await,
                closes_connection,
                open: Some(open),
            }
        }));
    }

    fn reject(&mut self, error: MessageError) {
        log::info!("listener: Rejected a request. {error}");
        let reason = match error {
            MessageError::HeadSize => LocalReason::HeadTooLarge,
            MessageError::BodySize => LocalReason::BodyTooLarge,
            MessageError::Head | MessageError::Length | MessageError::Chunk => {
                LocalReason::Malformed
            }
        };
        self.push_local(reason);
    }

    /// Responds to a request that was not read whole, and closes the connection after the response.
    fn push_local(&mut self, reason: LocalReason) {
        let response = self.proxy.local_response(reason, &[], Duration::ZERO);
        self.read_progress = ReadProgress::Closed;
        let ready = ReadyResponse {
            response,
            closes_connection: true,
            open: None,
        };
        self.responses
            .push_back(Box::pin(std::future::ready(ready)));
    }

    fn is_continue_due(&self) -> bool {
        match &self.read_progress {
            ReadProgress::Body { head, body, .. } => {
                body.is_empty()
                    && self.responses.is_empty()
                    && self.ready.is_empty()
                    && self.outgoing.is_none()
                    && head.headers.has_token("Expect", "100-continue")
            }
            _ => false,
        }
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
