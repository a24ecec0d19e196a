//! Incremental decoder for message bodies.

use super::message_head::MessageError;
use bytes::{Buf, BytesMut};

/// Longest chunk size line in bytes.
const MAX_LINE_BYTES: usize = 8 << 10;

/// Largest trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// The body has a known length in bytes.
    Fixed(u64),
    /// The body is sent with the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Trailer section with the number of bytes read so far.
    Trailers(usize),
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

    /// Returns whether the body is complete when the connection is closed.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Decodes `input` and appends the content to `body`; returns whether the body is complete.
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

    /// Decodes the next element of the input; returns whether another one may follow in the input.
    fn step(&mut self, input: &mut BytesMut, body: &mut BytesMut) -> Result<bool, MessageError> {
        match self.state {
            DecoderState::Done => return Ok(false),
            DecoderState::UntilClose => {
                body.extend_from_slice(input);
                input.clear();
                return Ok(false);
            }
            DecoderState::Fixed(remaining) => {
                let remaining = remaining - move_bytes(input, body, remaining);
                self.state = match remaining {
                    0 => DecoderState::Done,
                    remaining => DecoderState::Fixed(remaining),
                };
                return Ok(false);
            }
            DecoderState::ChunkData(remaining) => {
                let remaining = remaining - move_bytes(input, body, remaining);
                if remaining > 0 {
                    self.state = DecoderState::ChunkData(remaining);
                    return Ok(false);
                }
                self.state = DecoderState::ChunkEnd;
            }
            DecoderState::ChunkSize => {
                let parsed = httparse::parse_chunk_size(input).map_err(|_| MessageError::Chunk)?;
                let httparse::Status::Complete((length, size)) = parsed else {
                    return check_incomplete_line(input);
                };
                input.advance(length);
                self.state = match size {
                    0 => DecoderState::Trailers(0),
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
            DecoderState::Trailers(read) => {
                let end = input.windows(2).position(|pair| pair == b"\r\n");
                let total = read + end.map_or(input.len(), |end| end + 2);
                if total > MAX_TRAILER_BYTES {
                    return Err(MessageError::Chunk);
                }
                let Some(end) = end else {
                    return Ok(false);
                };
                input.advance(end + 2);
                self.state = match end {
                    0 => DecoderState::Done,
                    _ => DecoderState::Trailers(total),
                };
            }
        }
        Ok(true)
    }
}

/// Moves at most `max_bytes` bytes from `input` to `body` and returns how many were moved.
fn move_bytes(input: &mut BytesMut, body: &mut BytesMut, max_bytes: u64) -> u64 {
    let length = input
        .len()
        .min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
    body.extend_from_slice(&input[..length]);
    input.advance(length);
    length as u64
}

fn check_incomplete_line(input: &BytesMut) -> Result<bool, MessageError> {
    if input.len() > MAX_LINE_BYTES {
        return Err(MessageError::Chunk);
    }
    Ok(false)
}
