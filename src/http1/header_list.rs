//! Header fields of one message.

use bytes::{BufMut, Bytes, BytesMut};

/// Header fields in the order of the message. Names and values are slices of the buffer that holds
/// the message head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderList {
    fields: Vec<(Bytes, Bytes)>,
}

impl HeaderList {
    /// Creates a list of names and values.
    pub fn new(fields: Vec<(Bytes, Bytes)>) -> Self {
        Self { fields }
    }

    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// Returns the first value of a field without surrounding whitespace, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Returns all values of a field.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.fields
            .iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value.as_ref())
    }

    /// Returns whether a comma-separated field contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns the fields to forward: all except hop-by-hop fields, fields that frame the body and
    /// those for which `is_dropped` returns true.
    pub fn end_to_end(
        &self,
        is_dropped: impl Fn(&[u8]) -> bool,
    ) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields
            .iter()
            .filter(move |(name, _)| {
                !is_hop_by_hop(name) && !self.is_named_by_connection(name) && !is_dropped(name)
            })
            .map(|(name, value)| (name.as_ref(), value.as_ref()))
    }

    fn is_named_by_connection(&self, name: &[u8]) -> bool {
        std::str::from_utf8(name).is_ok_and(|name| self.has_token("Connection", name))
    }
}

/// Appends a field line.
pub fn put_field(lines: &mut BytesMut, name: &[u8], value: &[u8]) {
    lines.put_slice(name);
    lines.put_slice(b": ");
    lines.put_slice(value);
    lines.put_slice(b"\r\n");
}

/// Hop-by-hop fields and fields that frame the body.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

fn is_hop_by_hop(name: &[u8]) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|field| name.eq_ignore_ascii_case(field.as_bytes()))
}
