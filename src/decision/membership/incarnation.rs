//! Identity of a daemon process.

use crate::common::*;

/// Random number that a daemon generates at its start, so that a restart is detected; formatted as
/// 16 hex digits.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct Incarnation(pub u64);

/// Error from parsing an incarnation.
#[derive(Debug, Error)]
#[error("The incarnation must have 16 hex digits.")]
pub struct ParseIncarnationError;

impl Display for Incarnation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseIncarnationError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIncarnationError)
    }
}
