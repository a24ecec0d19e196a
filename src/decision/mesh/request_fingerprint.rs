//! Fingerprint by which a request is recognised when its caller sends it again.

use crate::common::*;
use xxhash_rust::xxh3::Xxh3;

/// Hash of what stays the same when a caller sends a request again: method, host, target and body.
/// The attempt identifier and the daemon at which it enters differ.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from its request line, header lines and body.
    pub fn new(head: &[u8], body: &[u8]) -> Self {
        let mut lines = head.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
        let mut hasher = Xxh3::new();
        hasher.update(lines.next().unwrap_or_default());
        // The separators keep the parts apart; they occur in none of the first two.
        hasher.update(b"\n");
        hasher.update(lines.find_map(host_value).unwrap_or_default());
        hasher.update(b"\n");
        hasher.update(body);
        Self(hasher.digest())
    }
}

/// A fingerprint cannot be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("`{0}` is not a fingerprint of 16 hexadecimal digits.")]
pub struct FingerprintError(pub SmolStr);

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_complete = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let hash = is_complete.then(|| u64::from_str_radix(text, 16));
        match hash {
            Some(Ok(hash)) => Ok(Self(hash)),
            _ => Err(FingerprintError(text.into())),
        }
    }
}

impl Display for RequestFingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

fn host_value(line: &[u8]) -> Option<&[u8]> {
    let (name, value) = line.split_at_checked(b"host:".len())?;
    name.eq_ignore_ascii_case(b"host:")
        .then(|| value.trim_ascii())
}
