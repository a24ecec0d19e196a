//! Version of a catalogue value with the digest of its content.

use crate::common::*;
use serde::{
    Deserializer, Serializer,
    de::{Error, SeqAccess, Visitor},
};
use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 of a value; encoded as hex in text formats and as 32 bytes in binary ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct ContentDigest(pub [u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Computes the digest of a value.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the digest in hex.
    pub fn hex(&self) -> SmolStr {
        self.to_string().into()
    }
}

impl Display for ContentDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Error from parsing a digest.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("The digest is not a SHA-256 in hex.")]
pub struct ParseContentDigestError;

impl FromStr for ContentDigest {
    type Err = ParseContentDigestError;

    fn from_str(text: &str) -> Result<Self, ParseContentDigestError> {
        let text = text.as_bytes();
        if text.len() != 2 * DIGEST_BYTES {
            return Err(ParseContentDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(text.chunks_exact(2)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Ok(Self(digest))
    }
}

fn hex_value(digit: u8) -> Result<u8, ParseContentDigestError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        _ => Err(ParseContentDigestError),
    }
}

impl Serialize for ContentDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

struct DigestVisitor;

impl<'de> Visitor<'de> for DigestVisitor {
    type Value = ContentDigest;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a SHA-256 digest")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<ContentDigest, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<ContentDigest, A::Error> {
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = sequence
                .next_element()?
                .ok_or_else(|| A::Error::invalid_length(index, &self))?;
        }
        Ok(ContentDigest(digest))
    }
}

impl<'de> Deserialize<'de> for ContentDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(DigestVisitor)
        } else {
            deserializer.deserialize_tuple(DIGEST_BYTES, DigestVisitor)
        }
    }
}

/// Version of a value with its content digest.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash)]
pub struct VersionStamp {
    /// Version, which increases with each publication of the key.
    pub version: u64,
    /// Digest of the content.
    pub digest: ContentDigest,
}

/// Versions of one key, as daemons exchange them.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexRecord {
    /// Catalogue key.
    pub key: SmolStr,
    /// Latest version, valid or not.
    pub latest: VersionStamp,
    /// Highest version that passed validation.
    pub valid: Option<VersionStamp>,
}
