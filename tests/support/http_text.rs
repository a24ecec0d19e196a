//! HTTP/1.1 messages with `content-length`, as text.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Reads a message and returns its head and body as one text.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let byte = stream.read_u8().await.ok()?;
        bytes.push(byte);
        if bytes.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(bytes).ok()?;
    let length = field(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Returns the value of a header field.
pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
