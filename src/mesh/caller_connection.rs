//! Connections of clients and of the own backend server.

use crate::{
    common::*,
    http1::{
        body_decoder::BodyDecoder,
        message_head::{MessageError, RequestHead},
    },
    mesh::{
        entry::RequestEntry,
        entry_answer::{CallerRequest, EntryAnswer, OwnAnswer},
        fleet_state::OpenRequest,
    },
};
use bytes::BytesMut;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesOrdered};
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    time::{sleep_until, timeout},
};

/// Pause after a failed accept, such as one without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Requests of one connection that are worked on at once.
const MAX_PIPELINED: usize = 64;

/// Bytes that are read at a time.
const READ_BYTES: usize = 8 << 10;

/// Longest time for a caller to take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which a caller can read the last answer before the connection is dropped. Closing a
/// connection with unread bytes would reset it and could destroy the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Serves callers until the task is dropped.
pub async fn serve(listener: TcpListener, entry: Arc<RequestEntry>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = CallerConnection::new(Arc::clone(&entry));
                tokio::spawn(connection.serve(stream));
            }
            Err(error) => {
                log::warn!("listener: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Part of a request that has been read.
enum ReadProgress {
    /// The head is not complete; `since` is the time of its first byte.
    Head { since: Option<Instant> },
    /// The body is not complete.
    Body {
        head: Box<RequestHead>,
        decoder: BodyDecoder,
        body: BytesMut,
    },
    /// No further request is read.
    Closed,
}

type AnswerFuture = BoxFuture<'static, (EntryAnswer, bool)>;

/// Connection of one caller. Requests are worked on side by side and answered in order.
struct CallerConnection {
    entry: Arc<RequestEntry>,
    input: BytesMut,
    progress: ReadProgress,
    answers: FuturesOrdered<AnswerFuture>,
    idle_since: Instant,
}

impl CallerConnection {
    fn new(entry: Arc<RequestEntry>) -> Self {
        Self {
            idle_since: entry.state().clock.now(),
            entry,
            input: BytesMut::new(),
            progress: ReadProgress::Head { since: None },
            answers: FuturesOrdered::new(),
        }
    }

    async fn serve(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = stream.split();
        let is_finished = match self.exchange(&mut reader, &mut writer).await {
            Ok(is_finished) => is_finished,
            Err(error) => {
                log::debug!("listener: A connection ended early: {error}.");
                false
            }
        };
        // Ends the requests of a caller that left.
        drop(self);
        if is_finished && writer.shutdown().await.is_ok() {
            let mut rest = BytesMut::with_capacity(READ_BYTES);
            let draining = async {
                while let Ok(1..) = reader.read_buf(&mut rest).await {
                    rest.clear();
                }
            };
            let _ = timeout(LINGER_TIME, draining).await;
        }
    }

    /// Serves requests; returns true if the daemon ends the connection after an answer.
    async fn exchange(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
    ) -> io::Result<bool> {
        loop {
            let limit = self.time_limit();
            let is_reading = self.answers.len() < MAX_PIPELINED;
            tokio::select! {
                Some((answer, closes)) = self.answers.next(), if !self.answers.is_empty() => {
                    if self.write(writer, &answer, closes).await? {
                        return Ok(true);
                    }
                }
                read = read_some(reader, &mut self.input), if is_reading => {
                    if read? == 0 {
                        return Ok(false);
                    }
                    self.take_requests(writer).await?;
                }
                () = sleep_until(limit.into()), if self.answers.is_empty() => {
                    if matches!(self.progress, ReadProgress::Head { since: None }) {
                        return Ok(true);
                    }
                    let answer = self.entry.own_answer(OwnAnswer::SlowCaller, &[], Duration::ZERO);
                    self.write(writer, &answer, true).await?;
                    return Ok(true);
                }
            }
        }
    }

    /// Returns when an idle connection or an incomplete request ends.
    fn time_limit(&self) -> Instant {
        let limits = self.entry.state().routes().map(|routes| routes.limits());
        let limits = limits.unwrap_or_default();
        match &self.progress {
            ReadProgress::Head { since: Some(since) } => *since + limits.header_timeout,
            _ => self.idle_since + limits.idle_timeout,
        }
    }

    /// Writes an answer; returns whether the connection ends with it.
    async fn write(
        &mut self,
        writer: &mut WriteHalf<'_>,
        answer: &EntryAnswer,
        closes: bool,
    ) -> io::Result<bool> {
        let is_last = self.answers.is_empty() && self.input.is_empty();
        let is_leaving = self.entry.state().is_leaving() && is_last;
        let closes = closes || answer.closes || is_leaving;
        let message = answer.encode(closes);
        timeout(WRITE_TIMEOUT, writer.write_all(&message))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.idle_since = self.entry.state().clock.now();
        Ok(closes)
    }

    /// Starts all requests that are complete.
    async fn take_requests(&mut self, writer: &mut WriteHalf<'_>) -> io::Result<()> {
        self.idle_since = self.entry.state().clock.now();
        while self.answers.len() < MAX_PIPELINED {
            match self.take_request() {
                Ok(Some(request)) => self.start(request),
                Ok(None) => {
                    if self.is_continue_due() {
                        writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    break;
                }
                Err(error) => {
                    self.refuse(error);
                    break;
                }
            }
        }
        Ok(())
    }

    fn take_request(&mut self) -> Result<Option<CallerRequest>, MessageError> {
        let limits = self.entry.state().routes().map(|routes| routes.limits());
        let limits = limits.unwrap_or_default();
        if let ReadProgress::Head { since } = &mut self.progress {
            let Some(head) = RequestHead::take(&mut self.input, limits.header_bytes)? else {
                *since = match *since {
                    _ if self.input.is_empty() => None,
                    None => Some(self.entry.state().clock.now()),
                    since => since,
                };
                return Ok(None);
            };
            self.progress = ReadProgress::Body {
                decoder: BodyDecoder::new(head.body_length()?),
                head: Box::new(head),
                body: BytesMut::new(),
            };
        }
        if let ReadProgress::Body { decoder, body, .. } = &mut self.progress {
            let is_done = decoder.decode(&mut self.input, body, limits.body_bytes)?;
            if !is_done {
                return Ok(None);
            }
        }
        let next = ReadProgress::Head { since: None };
        match std::mem::replace(&mut self.progress, next) {
            ReadProgress::Body { head, body, .. } => Ok(Some(CallerRequest {
                head: *head,
                body: body.freeze(),
                received: self.entry.state().clock.now(),
            })),
            progress => {
                self.progress = progress;
                self.input.clear();
                Ok(None)
            }
        }
    }

    fn start(&mut self, request: CallerRequest) {
        let entry = Arc::clone(&self.entry);
        let closes = !request.head.keeps_connection();
        if closes {
            self.progress = ReadProgress::Closed;
        }
        let open: OpenRequest = entry.state().open_request();
        self.answers.push_back(Box::pin(async move {
            let answer = entry.serve(request).await;
            drop(open);
            (answer, closes)
        }));
    }

    fn refuse(&mut self, error: MessageError) {
        log::info!("listener: A request is refused. {error}");
        let reason = match error {
            MessageError::HeadSize => OwnAnswer::HeadTooLarge,
            MessageError::BodySize => OwnAnswer::BodyTooLarge,
            MessageError::Head | MessageError::Length | MessageError::Chunk => OwnAnswer::Malformed,
        };
        let answer = self.entry.own_answer(reason, &[], Duration::ZERO);
        self.progress = ReadProgress::Closed;
        self.answers
            .push_back(Box::pin(async move { (answer, true) }));
    }

    fn is_continue_due(&self) -> bool {
        match &self.progress {
            ReadProgress::Body { head, body, .. } => {
                body.is_empty()
                    && self.answers.is_empty()
                    && head.headers.has_word("Expect", "100-continue")
            }
            _ => false,
        }
    }
}

async fn read_some(reader: &mut ReadHalf<'_>, input: &mut BytesMut) -> io::Result<usize> {
    input.reserve(READ_BYTES);
    reader.read_buf(input).await
}
