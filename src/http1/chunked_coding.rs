//! Lines of the chunked transfer coding (RFC 9112, section 7.1).
//!
//! A proxy and a server that disagree on where a body ends take different bytes for the next message,
//! so a line that does not follow the grammar is an error.

/// Returns the size that a chunk size line states, or `None` if the line is invalid. `line` has no line
/// end.
///
/// The line is one hexadecimal digit or more, followed by extensions, which are ignored.
pub fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (digits, extensions) = line.split_at(digits.count());
    if digits.is_empty() || !are_extensions(extensions) {
        return None;
    }
    digits.iter().try_fold(0_u64, |size, digit| {
        let digit = char::from(*digit).to_digit(16)?;
        size.checked_mul(16)?.checked_add(digit.into())
    })
}

/// Returns whether a line of a trailer section is a field. `line` has no line end.
pub fn is_trailer_field(line: &[u8]) -> bool {
    let (name, value) = split_token(line);
    let Some((b':', value)) = value.split_first() else {
        return false;
    };
    !name.is_empty() && value.iter().all(|byte| is_text(*byte))
}

/// Returns whether the rest of a chunk size line consists of extensions:
/// `*( BWS ";" BWS token [ BWS "=" BWS ( token / quoted-string ) ] )`.
fn are_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        let Some((b';', extension)) = trim_blanks(rest).split_first() else {
            return false;
        };
        let (name, after_name) = split_token(trim_blanks(extension));
        if name.is_empty() {
            return false;
        }
        rest = after_name;
        if let Some((b'=', value)) = trim_blanks(after_name).split_first() {
            let Some(after_value) = skip_value(trim_blanks(value)) else {
                return false;
            };
            rest = after_value;
        }
    }
    true
}

/// Returns what follows the token or quoted string at the start of `bytes`.
fn skip_value(bytes: &[u8]) -> Option<&[u8]> {
    let Some((b'"', quoted)) = bytes.split_first() else {
        let (token, rest) = split_token(bytes);
        return (!token.is_empty()).then_some(rest);
    };
    let mut rest = quoted;
    loop {
        rest = match rest {
            [b'"', rest @ ..] => return Some(rest),
            [b'\\', byte, rest @ ..] if is_text(*byte) => rest,
            [byte, rest @ ..] if *byte != b'\\' && is_text(*byte) => rest,
            _ => return None,
        };
    }
}

/// Splits off the characters of a token at the start of `bytes`.
fn split_token(bytes: &[u8]) -> (&[u8], &[u8]) {
    let length = bytes.iter().take_while(|byte| is_token_byte(**byte));
    bytes.split_at(length.count())
}

fn trim_blanks(bytes: &[u8]) -> &[u8] {
    let blanks = bytes.iter().take_while(|byte| matches!(byte, b' ' | b'\t'));
    &bytes[blanks.count()..]
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may occur in the value of a field or in a quoted string.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}
