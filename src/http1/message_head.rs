//! Heads of requests and responses.

use super::{body_decoder::BodyLength, header_list::HeaderList, response_rules::StatusClass};
use crate::common::*;
use bytes::{Bytes, BytesMut};

/// Most header fields in a message.
const MAX_FIELDS: usize = 128;

/// A message is invalid or exceeds a limit.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum MessageError {
    /// The head could not be parsed.
    #[error("Cannot parse the head of the message.")]
    Head,
    /// The status has no class in HTTP, or no request asks for it.
    #[error("The status {0} is invalid.")]
    Status(u16),
    /// The head is larger than allowed.
    #[error("The head of the message is too large.")]
    HeadSize,
    /// The length of the body is invalid or stated more than once.
    #[error("The length of the body is invalid or ambiguous.")]
    Length,
    /// The body is larger than allowed.
    #[error("The body is too large.")]
    BodySize,
    /// A chunk of the body could not be parsed.
    #[error("Cannot parse a chunk of the body.")]
    Chunk,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: SmolStr,
    /// Request target as sent.
    pub target: SmolStr,
    /// Whether the version of the message is HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Class of the status.
    pub class: StatusClass,
    /// Whether the version of the message is HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Parses and removes a request head at the start of the buffer; returns `None` while it is
    /// incomplete.
    pub fn parse(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, MessageError> {
        skip_empty_lines(buffer);
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let parsed = request.parse(buffer).map_err(|_| MessageError::Head)?;
        let httparse::Status::Complete(length) = parsed else {
            return check_incomplete(buffer, max_bytes);
        };
        if length > max_bytes {
            return Err(MessageError::HeadSize);
        }
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(MessageError::Head);
        };
        let (method, target) = (SmolStr::new(method), SmolStr::new(target));
        let is_http11 = request.version == Some(1);
        let ranges = field_ranges(buffer, request.headers);
        let headers = take_fields(buffer, length, &ranges);
        Ok(Some(Self {
            method,
            target,
            is_http11,
            headers,
        }))
    }

    /// Returns how the body is framed.
    pub fn body_length(&self) -> Result<BodyLength, MessageError> {
        if is_chunked(self.is_http11, &self.headers)? {
            return Ok(BodyLength::Chunked);
        }
        let length = content_length(&self.headers)?;
        Ok(BodyLength::Fixed(length.unwrap_or(0)))
    }

    /// Returns whether the connection stays open after the response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.is_http11, &self.headers)
    }
}

impl ResponseHead {
    /// Parses and removes a response head at the start of the buffer; returns `None` while it is
    /// incomplete.
    pub fn parse(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, MessageError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response.parse(buffer).map_err(|_| MessageError::Head)?;
        let httparse::Status::Complete(length) = parsed else {
            return check_incomplete(buffer, max_bytes);
        };
        if length > max_bytes {
            return Err(MessageError::HeadSize);
        }
        let status = response.code.ok_or(MessageError::Head)?;
        let class = StatusClass::new(status)?;
        let is_http11 = response.version == Some(1);
        let ranges = field_ranges(buffer, response.headers);
        let headers = take_fields(buffer, length, &ranges);
        Ok(Some(Self {
            status,
            class,
            is_http11,
            headers,
        }))
    }

    /// Returns how the body is framed. `is_head` is true if the method of the request was `HEAD`.
    pub fn body_length(&self, is_head: bool) -> Result<BodyLength, MessageError> {
        let is_interim = self.class == StatusClass::Interim;
        if is_head || is_interim || matches!(self.status, 204 | 304) {
            return Ok(BodyLength::Fixed(0));
        }
        if is_chunked(self.is_http11, &self.headers)? {
            return Ok(BodyLength::Chunked);
        }
        let length = content_length(&self.headers)?;
        Ok(length.map_or(BodyLength::UntilClose, BodyLength::Fixed))
    }

    /// Returns whether the server keeps the connection open.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.is_http11, &self.headers)
    }
}

/// Offset and length of the name, then offset and length of the value.
type FieldRange = (usize, usize, usize, usize);

fn field_ranges(buffer: &[u8], fields: &[httparse::Header]) -> Vec<FieldRange> {
    let base = buffer.as_ptr() as usize;
    let offset = |bytes: &[u8]| bytes.as_ptr() as usize - base;
    fields
        .iter()
        .map(|field| {
            let (name, value) = (field.name.as_bytes(), field.value);
            // `httparse` returns empty values that do not point into the buffer.
            let start = if value.is_empty() { 0 } else { offset(value) };
            (offset(name), name.len(), start, value.len())
        })
        .collect()
}

fn take_fields(buffer: &mut BytesMut, length: usize, ranges: &[FieldRange]) -> HeaderList {
    let head: Bytes = buffer.split_to(length).freeze();
    let fields = ranges
        .iter()
        .map(|(name, name_length, value, value_length)| {
            (
                head.slice(*name..*name + *name_length),
                head.slice(*value..*value + *value_length),
            )
        })
        .collect();
    HeaderList::new(fields)
}

fn check_incomplete<T>(buffer: &BytesMut, max_bytes: usize) -> Result<Option<T>, MessageError> {
    if buffer.len() > max_bytes {
        return Err(MessageError::HeadSize);
    }
    Ok(None)
}

fn skip_empty_lines(buffer: &mut BytesMut) {
    let empty = buffer
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .count();
    let _ = buffer.split_to(empty);
}

fn is_chunked(is_http11: bool, headers: &HeaderList) -> Result<bool, MessageError> {
    let mut encodings = headers.all("Transfer-Encoding");
    let Some(encoding) = encodings.next() else {
        return Ok(false);
    };
    let has_chunked_coding = encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    // Programs of HTTP/1.0 do not know the coding, so that they see the end of the body elsewhere.
    let is_unambiguous =
        is_http11 && encodings.next().is_none() && headers.get("Content-Length").is_none();
    if has_chunked_coding && is_unambiguous {
        Ok(true)
    } else {
        Err(MessageError::Length)
    }
}

fn content_length(headers: &HeaderList) -> Result<Option<u64>, MessageError> {
    let mut lengths = headers.all("Content-Length");
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    let is_number = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
    if lengths.next().is_some() || !is_number {
        return Err(MessageError::Length);
    }
    let text = std::str::from_utf8(length).map_err(|_| MessageError::Length)?;
    text.parse().map(Some).map_err(|_| MessageError::Length)
}

fn keeps_connection(is_http11: bool, headers: &HeaderList) -> bool {
    if headers.has_token("Connection", "close") {
        return false;
    }
    is_http11 || headers.has_token("Connection", "keep-alive")
}
