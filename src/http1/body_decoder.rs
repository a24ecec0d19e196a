//! Incremental decoder of message bodies.

use super::message_head::MessageError;
use bytes::{Buf, BytesMut};

/// Longest line with the size of a chunk or with a trailer field, in bytes.
const MAX_LINE_BYTES: usize = 8 << 10;

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// The length is given.
    Fixed(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Decodes one body from a stream of bytes.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder.
    pub fn new(length: BodyLength) -> Self {
        let state = match length {
            BodyLength::Fixed(0) => DecoderState::Done,
            BodyLength::Fixed(length) => DecoderState::Fixed(length),
            BodyLength::Chunked => DecoderState::ChunkSize,
            BodyLength::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Returns whether the end of the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Moves bytes of the body from `input` to `body`; returns whether the body is complete.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        body: &mut BytesMut,
        max_bytes: u64,
    ) -> Result<bool, MessageError> {
        while self.step(input, body)? {
            if body.len() as u64 > max_bytes {
                return Err(MessageError::BodySize);
            }
        }
        if body.len() as u64 > max_bytes {
            return Err(MessageError::BodySize);
        }
        Ok(self.is_done())
    }

    /// Consumes one part of the input; returns whether another step is possible.
    fn step(&mut self, input: &mut BytesMut, body: &mut BytesMut) -> Result<bool, MessageError> {
        match self.state {
            DecoderState::Done => return Ok(false),
            DecoderState::UntilClose => {
                body.extend_from_slice(input);
                input.clear();
                return Ok(false);
            }
            DecoderState::Fixed(left) => {
                let left = left - take(input, body, left);
                self.state = match left {
                    0 => DecoderState::Done,
                    left => DecoderState::Fixed(left),
                };
                return Ok(false);
            }
            DecoderState::ChunkData(left) => {
                let left = left - take(input, body, left);
                if left > 0 {
                    self.state = DecoderState::ChunkData(left);
                    return Ok(false);
                }
                self.state = DecoderState::ChunkEnd;
            }
            DecoderState::ChunkSize => {
                let parsed = httparse::parse_chunk_size(input).map_err(|_| MessageError::Chunk)?;
                let httparse::Status::Complete((length, size)) = parsed else {
                    return line_incomplete(input);
                };
                input.advance(length);
                self.state = match size {
                    0 => DecoderState::Trailers,
                    size => DecoderState::ChunkData(size),
                };
            }
            DecoderState::ChunkEnd => {
                if input.len() < 2 {
                    return Ok(false);
                }
                if !input.starts_with(b"\r\n") {
                    return Err(MessageError::Chunk);
                }
                input.advance(2);
                self.state = DecoderState::ChunkSize;
            }
            DecoderState::Trailers => {
                let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
                    return line_incomplete(input);
                };
                input.advance(end + 2);
                if end == 0 {
                    self.state = DecoderState::Done;
                }
            }
        }
        Ok(true)
    }
}

fn take(input: &mut BytesMut, body: &mut BytesMut, most: u64) -> u64 {
    let length = input.len().min(usize::try_from(most).unwrap_or(usize::MAX));
    body.extend_from_slice(&input[..length]);
    input.advance(length);
    length as u64
}

fn line_incomplete(input: &BytesMut) -> Result<bool, MessageError> {
    if input.len() > MAX_LINE_BYTES {
        return Err(MessageError::Chunk);
    }
    Ok(false)
}
