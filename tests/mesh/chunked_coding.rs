//! Bodies with the chunked transfer coding, in requests and responses.

use crate::{end_to_end::Fleet, fixed_seeds};
use arbtest::arbitrary::{Result, Unstructured};
use bytes::BytesMut;
use skylarkstream::http1::{
    body_decoder::{BodyDecoder, BodyLength},
    message_head::MessageError,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MAX_BODY_BYTES: u64 = 1 << 20;

/// What a decoder made of the bytes that it got.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    /// The body is complete; with its content and the bytes that follow it.
    Complete(Vec<u8>, Vec<u8>),
    Incomplete,
    Invalid(MessageError),
}

/// Decodes a body that arrives in pieces.
fn decode<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Outcome {
    let mut decoder = BodyDecoder::new(BodyLength::Chunked);
    let (mut input, mut body) = (BytesMut::new(), BytesMut::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        if let Err(error) = decoder.decode(&mut input, &mut body, MAX_BODY_BYTES) {
            return Outcome::Invalid(error);
        }
    }
    if decoder.is_done() {
        Outcome::Complete(body.to_vec(), input.to_vec())
    } else {
        Outcome::Incomplete
    }
}

/// Bytes at the place of a chunk size line that are none, and ends of bodies that are none.
const INVALID_ENDS: [&str; 24] = [
    "\r\n\r\n",
    " \r\n\r\n",
    "\t\r\n\r\n",
    ";\r\n\r\n",
    ";x=1\r\n\r\n",
    " 0\r\n\r\n",
    "+0\r\n\r\n",
    "-0\r\n\r\n",
    "0x0\r\n\r\n",
    "g\r\n\r\n",
    "0 \r\n\r\n",
    "0 0\r\n\r\n",
    "0;\r\n\r\n",
    "0;x=\r\n\r\n",
    "0;x=\"y\r\n\r\n",
    "0;x\rGET\r\n\r\n",
    "0;x\nGET\r\n\r\n",
    "\n\r\n",
    "10000000000000000\r\n",
    "0\r\nno field\r\n\r\n",
    "0\r\n: 1\r\n\r\n",
    "0\r\nA : 1\r\n\r\n",
    "0\r\n A: 1\r\n\r\n",
    "0\r\nA: 1\n\r\n\r\n",
];

/// Guards against bytes that are taken for the end of a body although they are none: the part of the
/// body before them looked complete.
#[test]
fn bytes_that_are_no_chunk_do_not_end_a_body() {
    for end in INVALID_ENDS {
        for before in ["", "3\r\nabc\r\n"] {
            let text = format!("{before}{end}");
            let expected = Outcome::Invalid(MessageError::Chunk);
            assert_eq!(decode([text.as_bytes()]), expected, "{text:?}");
        }
    }
    let long_line = format!("0;x={}\r\n\r\n", "y".repeat(8 << 10));
    let long_trailer = format!("0\r\nA: {}\r\n\r\n", "y".repeat(8 << 10));
    for text in [long_line, long_trailer] {
        let expected = Outcome::Invalid(MessageError::Chunk);
        assert_eq!(decode([text.as_bytes()]), expected);
        assert_eq!(decode(text.as_bytes().chunks(1)), expected);
    }
}

/// Guards against valid bodies that are refused.
#[test]
fn valid_chunks_are_accepted() {
    for text in [
        "3\r\nabc\r\n0\r\n\r\nNEXT",
        "3\r\nabc\r\n000\r\n\r\nNEXT",
        "00000000000000000000003\r\nabc\r\n0\r\n\r\nNEXT",
        "3;x\r\nabc\r\n0;y=z\r\n\r\nNEXT",
        "3 ; x = \"a;\\\"b\\\\ \" ;z\r\nabc\r\n0\r\n\r\nNEXT",
        "3\r\nabc\r\n0\r\nA: 1\r\nB:\r\nC: \u{e9}\t;\r\n\r\nNEXT",
    ] {
        let expected = Outcome::Complete(b"abc".to_vec(), b"NEXT".to_vec());
        assert_eq!(decode([text.as_bytes()]), expected, "{text:?}");
    }
    let text = format!("1A\r\n{0}\r\n1a\r\n{0}\r\n0\r\n\r\n", "x".repeat(26));
    let expected = Outcome::Complete(vec![b'x'; 52], Vec::new());
    assert_eq!(decode([text.as_bytes()]), expected);
}

/// Returns a valid body and its content.
fn arbitrary_body(random: &mut Unstructured<'_>) -> Result<(Vec<u8>, Vec<u8>)> {
    let (mut text, mut content) = (Vec::new(), Vec::new());
    let extensions = ["", ";x", " ; x=\"\t\"", ";x=y;z=\"\\\"\""];
    for _ in 0..random.int_in_range(0..=4)? {
        let bytes: Vec<u8> = (0..random.int_in_range(1..=40)?)
            .map(|_| random.choose(b"\r\n0;a").copied())
            .collect::<Result<_>>()?;
        let zeros = "0".repeat(random.int_in_range(0..=3)?);
        let size = match random.arbitrary()? {
            true => format!("{zeros}{:x}", bytes.len()),
            false => format!("{zeros}{:X}", bytes.len()),
        };
        let extension = random.choose(&extensions)?;
        text.extend_from_slice(format!("{size}{extension}\r\n").as_bytes());
        text.extend_from_slice(&bytes);
        text.extend_from_slice(b"\r\n");
        content.extend_from_slice(&bytes);
    }
    let trailers = *random.choose(&["", "A: 1\r\n", "A:\r\nB-C: \u{e9} ;\r\n"])?;
    text.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
    Ok((text, content))
}

/// Splits bytes into pieces.
fn arbitrary_pieces<'a>(
    mut rest: &'a [u8],
    random: &mut Unstructured<'_>,
) -> Result<Vec<&'a [u8]>> {
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let (piece, left) = rest.split_at(random.int_in_range(1..=rest.len())?);
        pieces.push(piece);
        rest = left;
    }
    Ok(pieces)
}

/// Guards against a body whose end depends on how its bytes are split into reads, and against a
/// truncated one that looks complete.
#[test]
fn only_the_whole_body_is_complete_however_it_arrives() {
    fixed_seeds::check(|random| {
        let (text, content) = arbitrary_body(random)?;
        for end in 0..text.len() {
            assert_eq!(decode([&text[..end]]), Outcome::Incomplete);
        }
        let mut message = text.clone();
        message.extend_from_slice(b"NEXT");
        let pieces = arbitrary_pieces(&message, random)?;
        assert_eq!(decode(pieces), Outcome::Complete(content, b"NEXT".to_vec()));
        // What a garbled body is taken for does not depend on the reads either.
        let at = random.choose_index(text.len())?;
        message[at] = *random.choose(b"\r\n 0;:ax\0")?;
        let pieces = arbitrary_pieces(&message, random)?;
        assert_eq!(decode(pieces), decode([message.as_slice()]));
        Ok(())
    });
}

/// Guards against request smuggling: a body that ends in no chunk is taken for a whole one, and what
/// follows it for another request.
#[tokio::test]
async fn request_whose_body_ends_in_no_chunk_reaches_no_server() {
    let fleet = Fleet::start().await;
    for end in INVALID_ENDS {
        let text = format!(
            "POST /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nDeadline-Ms: 5000\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n{end}\
             GET /safe/y HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nDeadline-Ms: 5000\r\n\r\n"
        );
        let mut stream = TcpStream::connect(fleet.outbound[0])
            .await
            .expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("a write");
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("an end");
        assert!(response.starts_with("HTTP/1.1 400 "), "{end:?}: {response}");
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            1,
            "{end:?}: {response}"
        );
    }
    assert!(fleet.runs().is_empty());
}
