//! Location of errors in TOML text by line and key.

use crate::common::*;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Maximum length of a key or message that is quoted in an error, in characters.
const MAX_QUOTED_CHARS: usize = 400;

/// One step of a path from the root table to a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyStep {
    /// Key of a table.
    Key(SmolStr),
    /// Index into an array, from 0.
    Index(usize),
}

impl From<&str> for KeyStep {
    fn from(key: &str) -> Self {
        Self::Key(key.into())
    }
}

impl From<usize> for KeyStep {
    fn from(index: usize) -> Self {
        Self::Index(index)
    }
}

/// Builds a path of [`KeyStep`]s from key names and array indexes.
macro_rules! key_path {
    ($($step:expr),+ $(,)?) => {
        vec![$($crate::toml_location::KeyStep::from($step)),+]
    };
}
pub(crate) use key_path;

/// Location of an error in TOML text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyLocation {
    /// Line number, from 1.
    pub line: usize,
    /// Dotted key; empty if the error does not concern a key.
    pub key: String,
}

impl Display for KeyLocation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if !self.key.is_empty() {
            write!(f, ", key `{}`", self.key)?;
        }
        Ok(())
    }
}

impl KeyLocation {
    /// Locates the value at a path. If the text lacks the value, the line is that of the deepest
    /// part of the path that the text contains.
    pub fn of_path(text: &str, path: &[KeyStep]) -> Self {
        let offset = DeTable::parse(text)
            .ok()
            .map_or(0, |root| offset_of_path(root.get_ref(), path));
        Self {
            line: line_number(text.as_bytes(), offset),
            key: single_line(&dotted_key(path)),
        }
    }

    /// Locates an error reported by the TOML library.
    pub fn of_error(text: &str, error: &toml::de::Error) -> Self {
        let Some(offset) = error.span().map(|span| span.start) else {
            // The library reports no span for tables that are nested too deeply.
            return Self {
                line: 1,
                key: String::new(),
            };
        };
        let root = DeTable::parse(text).ok();
        let missing = missing_field_name(error.message());
        let path = root.and_then(|root| {
            // The span of the root table starts at its first key, which is not the missing key.
            let is_root_table = missing.is_some() && error.span() == Some(root.span());
            let path = if is_root_table {
                Some(Vec::new())
            } else {
                path_at(root.get_ref(), offset)
            };
            let missing = missing.map(KeyStep::from);
            path.map(|path| path.into_iter().chain(missing).collect::<Vec<_>>())
        });
        let key = path.map_or_else(|| key_on_line(text, offset), |path| dotted_key(&path));
        Self {
            line: line_number(text.as_bytes(), offset),
            key: single_line(&key),
        }
    }
}

/// Returns the message of a TOML error on one line, truncated if it is too long.
pub fn one_line_message(error: &toml::de::Error) -> String {
    single_line(error.message())
}

/// Returns whether a text is a valid name: 1 to 64 ASCII letters, digits, `-`, `_` or `.`, starting
/// with a letter or digit.
pub fn is_valid_name(name: &str) -> bool {
    const MAX_NAME_BYTES: usize = 64;
    name.len() <= MAX_NAME_BYTES
        && name.starts_with(|first: char| first.is_ascii_alphanumeric())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Extracts the name from a message of the form "missing field `name`".
fn missing_field_name(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.strip_suffix('`')
}

/// Replaces control characters by spaces and truncates text over [`MAX_QUOTED_CHARS`].
fn single_line(text: &str) -> String {
    let mut chars = text.chars();
    let mut quoted: String = chars
        .by_ref()
        .take(MAX_QUOTED_CHARS)
        .map(|char| if char.is_control() { ' ' } else { char })
        .collect();
    if chars.next().is_some() {
        quoted.push_str("...");
    }
    quoted
}

/// Returns the line number of a byte offset, from 1.
pub fn line_number(text: &[u8], offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text[..end].iter().filter(|byte| **byte == b'\n').count()
}

fn dotted_key(path: &[KeyStep]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            KeyStep::Key(key) if text.is_empty() => text.push_str(key),
            KeyStep::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            KeyStep::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// Returns the text before `=` on the line of an offset, for text that does not parse.
fn key_on_line(text: &str, offset: usize) -> String {
    let end = offset.min(text.len());
    let line = text
        .as_bytes()
        .split(|byte| *byte == b'\n')
        .nth(line_number(text.as_bytes(), end) - 1)
        .unwrap_or_default();
    let line = String::from_utf8_lossy(line);
    line.split_once('=')
        .map(|(key, _)| key.trim().to_owned())
        .unwrap_or_default()
}

/// Returns the byte offset of the deepest part of a path that the text contains.
fn offset_of_path(root: &DeTable, path: &[KeyStep]) -> usize {
    let mut offset = 0;
    let mut table = Some(root);
    let mut array: Option<&[Spanned<DeValue>]> = None;
    for step in path {
        let value = match step {
            KeyStep::Key(name) => table.and_then(|table| {
                let (key, value) = table
                    .iter()
                    .find(|(key, _)| key.get_ref() == name.as_str())?;
                offset = key.span().start;
                Some(value)
            }),
            KeyStep::Index(index) => array.and_then(|array| {
                let value = array.get(*index)?;
                offset = value.span().start;
                Some(value)
            }),
        };
        let Some(value) = value else {
            return offset;
        };
        table = value.get_ref().as_table();
        array = value.get_ref().as_array().map(|array| &array[..]);
    }
    offset
}

/// Returns the path of the innermost key or value whose span contains an offset.
fn path_at(table: &DeTable, offset: usize) -> Option<Vec<KeyStep>> {
    table.iter().find_map(|(key, value)| {
        let mut path = vec![KeyStep::Key(key.get_ref().as_ref().into())];
        if let Some(rest) = path_in_value(value, offset) {
            path.extend(rest);
            return Some(path);
        }
        key.span().contains(&offset).then_some(path)
    })
}

fn path_in_value(value: &Spanned<DeValue>, offset: usize) -> Option<Vec<KeyStep>> {
    let inner = match value.get_ref() {
        DeValue::Table(table) => path_at(table, offset),
        DeValue::Array(array) => array.iter().enumerate().find_map(|(index, item)| {
            let mut path = vec![KeyStep::Index(index)];
            path.extend(path_in_value(item, offset)?);
            Some(path)
        }),
        _ => None,
    };
    inner.or_else(|| value.span().contains(&offset).then(Vec::new))
}
