//! Heads of requests as they are forwarded to backend servers.

use crate::http1::{header_list::put_field, message_head::RequestHead};
use bytes::{BufMut, Bytes, BytesMut};

/// Size for which memory is reserved, in bytes. Most heads are smaller.
const USUAL_BYTES: usize = 512;

/// Returns the request line and the end-to-end header fields of a request, without those that are in
/// `dropped`, followed by the fields in `added`.
pub fn encode<'a>(
    head: &RequestHead,
    dropped: &[&str],
    added: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Bytes {
    let is_dropped = |name: &[u8]| {
        let mut names = dropped.iter();
        names.any(|dropped| name.eq_ignore_ascii_case(dropped.as_bytes()))
    };
    let mut lines = BytesMut::with_capacity(USUAL_BYTES);
    lines.put_slice(head.method.as_bytes());
    lines.put_u8(b' ');
    lines.put_slice(head.target.as_bytes());
    lines.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.headers.end_to_end(is_dropped) {
        put_field(&mut lines, name, value);
    }
    for (name, value) in added {
        put_field(&mut lines, name.as_bytes(), value.as_bytes());
    }
    lines.freeze()
}
