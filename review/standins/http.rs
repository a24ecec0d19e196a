//! HTTP/1.1 messages with a length.

use std::io::{self, Read, Write};

/// Message that was read from a connection.
pub struct Message {
    /// First line and header fields.
    pub head: String,
}

impl Message {
    /// Returns the request target.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// Returns the length of the body.
    pub fn body_length(&self) -> usize {
        self.field("Content-Length")
            .and_then(|length| length.parse().ok())
            .unwrap_or_default()
    }
}

/// Reads a head byte by byte, so that nothing behind it is consumed.
pub fn read_head(stream: &mut impl Read) -> io::Result<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    Ok(Message { head })
}

/// Reads a head and its body.
pub fn read_message(stream: &mut impl Read) -> io::Result<(Message, Vec<u8>)> {
    let message = read_head(stream)?;
    let mut body = vec![0; message.body_length()];
    stream.read_exact(&mut body)?;
    Ok((message, body))
}

/// Writes a response.
pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    fields: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}
