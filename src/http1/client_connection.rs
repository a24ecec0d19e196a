//! Client connection without pipelining.

use super::{
    body_decoder::{BodyDecoder, BodyLength},
    byte_budget::{ByteBudget, ReservedBytes},
    message_head::{MessageError, ResponseHead},
    response_rules::{ResponseEnd, StatusClass},
};
use crate::common::*;
use bytes::{Bytes, BytesMut};
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Largest head of a response in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Most informational responses and responses to other requests that precede a response. A server
/// in trouble may send them without end.
const MAX_SKIPPED_RESPONSES: usize = 16;

/// Size of one read in bytes.
const READ_BYTES: usize = 8 << 10;

/// No valid response was read.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// Reading from or writing to the connection failed.
    #[error("The connection broke: {0}.")]
    Connection(#[from] io::Error),
    /// The server closed the connection before the response was complete.
    #[error("The server closed the connection before the response was complete.")]
    Closed,
    /// Too many informational responses or responses to other requests came before the response.
    #[error("The server sent too many other responses.")]
    SkippedResponses,
    /// The server sent an invalid response.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Bounds on the body of a response.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    max_bytes: u64,
    budget: Option<Arc<ByteBudget>>,
}

impl BodyLimits {
    /// Allows bodies of up to `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            budget: None,
        }
    }

    /// Bounds the body also by a budget that is shared with other exchanges.
    pub fn with_budget(self, budget: Arc<ByteBudget>) -> Self {
        Self {
            budget: Some(budget),
            ..self
        }
    }
}

/// Complete response of a server.
#[derive(Debug)]
pub struct ServerResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Whole body.
    pub body: Bytes,
    /// What shows that the response has ended.
    pub end: ResponseEnd,
    /// Whether the connection can carry another request.
    pub is_reusable: bool,
    /// Whether the request was the first one on its connection.
    pub is_first: bool,
}

/// Client connection that sends one request at a time.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether a response to another request was received, after which the connection is not
    /// reused.
    skipped_response: bool,
    /// Whether a request was sent before.
    is_used: bool,
}

impl ClientConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            skipped_response: false,
            is_used: false,
        })
    }

    /// Returns whether the connection is open and no unexpected data was received on it.
    pub fn is_idle(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether a request was sent on the connection.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Sends a request and reads its response. Responses for which `matches_request` returns false
    /// belong to other requests and are skipped. The response may arrive before the request is
    /// fully written. `is_head` is true if the method is `HEAD`.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        is_head: bool,
        limits: &BodyLimits,
        matches_request: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ServerResponse, ExchangeError> {
        let Self {
            stream,
            buffer,
            skipped_response,
            is_used,
        } = self;
        let is_first = !std::mem::replace(is_used, true);
        let (mut reader, mut writer) = stream.split();
        let writing = async { writer.write_all(request).await };
        let mut incoming = IncomingResponse {
            reader: &mut reader,
            buffer,
            skipped_response,
            is_first,
        };
        let reading = incoming.read(is_head, limits, matches_request);
        tokio::pin!(writing, reading);
        let (written, response) = tokio::select! {
            biased;
            written = &mut writing => (Some(written), reading.await),
            response = &mut reading => (None, response),
        };
        match (written, response) {
            (Some(Ok(())), response) => response,
            (Some(Err(error)), Err(_)) => Err(error.into()),
            (None, Err(error)) => Err(error),
            // A server that rejects a request early may close the connection, so that the write fails
            // although there is a response.
            (written, Ok(response)) => {
                if !response.end.is_complete(false) {
                    match written {
                        Some(written) => written?,
                        None => writing.await?,
                    }
                }
                Ok(ServerResponse {
                    is_reusable: false,
                    ..response
                })
            }
        }
    }
}

struct IncomingResponse<'a, R> {
    reader: &'a mut R,
    buffer: &'a mut BytesMut,
    skipped_response: &'a mut bool,
    is_first: bool,
}

impl<R: AsyncReadExt + Unpin> IncomingResponse<'_, R> {
    async fn read(
        &mut self,
        is_head: bool,
        limits: &BodyLimits,
        matches_request: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ServerResponse, ExchangeError> {
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = self.read_head().await?;
            if head.class == StatusClass::Interim {
                continue;
            }
            let length = head.body_length(is_head)?;
            let body = self.read_body(length, limits).await?;
            if !matches_request(&head) {
                if length == BodyLength::UntilClose {
                    return Err(ExchangeError::Closed);
                }
                *self.skipped_response = true;
                continue;
            }
            let end = match length {
                BodyLength::UntilClose => ResponseEnd::Connection,
                BodyLength::Fixed(_) | BodyLength::Chunked => ResponseEnd::Framing,
            };
            let is_reusable = head.keeps_connection()
                && end == ResponseEnd::Framing
                && self.buffer.is_empty()
                && !*self.skipped_response;
            return Ok(ServerResponse {
                head,
                body,
                end,
                is_reusable,
                is_first: self.is_first,
            });
        }
        Err(ExchangeError::SkippedResponses)
    }

    async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            if !self.buffer.is_empty()
                && let Some(head) = ResponseHead::parse(self.buffer, MAX_HEAD_BYTES)?
            {
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(ExchangeError::Closed);
            }
        }
    }

    async fn read_body(
        &mut self,
        length: BodyLength,
        limits: &BodyLimits,
    ) -> Result<Bytes, ExchangeError> {
        let mut decoder = BodyDecoder::new(length);
        let mut body = BytesMut::new();
        let mut reserved = limits.budget.clone().map(ReservedBytes::new);
        while !decoder.decode(self.buffer, &mut body, limits.max_bytes)? {
            let length = body.len() as u64;
            if reserved
                .as_mut()
                .is_some_and(|bytes| !bytes.extend_to(length))
            {
                return Err(MessageError::BodySize.into());
            }
            if self.fill().await? == 0 {
                if decoder.ends_with_connection() {
                    break;
                }
                return Err(ExchangeError::Closed);
            }
        }
        Ok(body.freeze())
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.reader.read_buf(self.buffer).await
    }
}
