//! Digest of a profile.

use crate::common::*;
use serde::{Deserializer, Serializer, de};
use sha2::{Digest, Sha256};

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 of the canonical form of a profile.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub struct ProfileDigest(pub [u8; DIGEST_BYTES]);

/// Error from parsing a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Error)]
#[error("A digest has 64 lower-case hex digits.")]
pub struct ParseDigestError;

impl ProfileDigest {
    /// Computes the digest of a canonical form.
    pub fn of(canonical: &str) -> Self {
        Self(Sha256::digest(canonical.as_bytes()).into())
    }
}

impl Display for ProfileDigest {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ProfileDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(is_hex) {
            return Err(ParseDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16)
                .map_err(|_| ParseDigestError)?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for ProfileDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ProfileDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(DigestVisitor)
    }
}

struct DigestVisitor;

impl de::Visitor<'_> for DigestVisitor {
    type Value = ProfileDigest;

    fn expecting(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("64 lower-case hex digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        text.parse().map_err(E::custom)
    }
}
