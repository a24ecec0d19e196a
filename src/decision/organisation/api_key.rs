//! Key with which a caller proves its organisation.

use crate::common::*;
use std::borrow::Borrow;

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Key of an organisation. It is a secret, so `Debug` does not show it and it has no `Display`.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(SmolStr);

impl ApiKey {
    /// Creates a key; returns `None` if it is empty, too long, or has bytes that no header value with
    /// a single key can have.
    pub fn new(text: &str) -> Option<Self> {
        let is_valid = !text.is_empty()
            && text.len() <= MAX_KEY_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| Self(text.into()))
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}
