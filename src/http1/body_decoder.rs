//! Incremental decoder for message bodies.

use super::{
    chunked_coding::{is_trailer_field, parse_chunk_size},
    message_head::MessageError,
};
use bytes::{Buf, BytesMut};

/// Longest chunk size line in bytes, with its end.
const MAX_LINE_BYTES: usize = 8 << 10;

/// Largest trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// End of each line of the chunked transfer coding. A single line feed is no line end in it.
const LINE_END: &[u8] = b"\r\n";

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
                // A sender of garbage may keep the connection open without ending the line.
                if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
                    return Err(MessageError::Chunk);
                }
                let Some(line) = take_line(input, MAX_LINE_BYTES)? else {
                    return Ok(false);
                };
                self.state = match parse_chunk_size(&line).ok_or(MessageError::Chunk)? {
                    0 => DecoderState::Trailers(0),
                    size => DecoderState::ChunkData(size),
                };
            }
            DecoderState::ChunkEnd => {
                if input.len() < LINE_END.len() {
                    return Ok(false);
                }
                if !input.starts_with(LINE_END) {
                    return Err(MessageError::Chunk);
                }
                input.advance(LINE_END.len());
                self.state = DecoderState::ChunkSize;
            }
            DecoderState::Trailers(read) => {
                let Some(line) = take_line(input, MAX_TRAILER_BYTES - read)? else {
                    return Ok(false);
                };
                self.state = if line.is_empty() {
                    DecoderState::Done
                } else if is_trailer_field(&line) {
                    DecoderState::Trailers(read + line.len() + LINE_END.len())
                } else {
                    return Err(MessageError::Chunk);
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

/// Removes the next line from `input` and returns it without its end; returns `None` while it is
/// incomplete. A line of more than `max_bytes` with its end is an error.
fn take_line(input: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, MessageError> {
    let mut windows = input.windows(LINE_END.len());
    let end = windows.position(|bytes| bytes == LINE_END);
    if end.map_or(input.len(), |end| end + LINE_END.len()) > max_bytes {
        return Err(MessageError::Chunk);
    }
    let Some(end) = end else {
        return Ok(None);
    };
    let line = input.split_to(end);
    input.advance(LINE_END.len());
    Ok(Some(line))
}
