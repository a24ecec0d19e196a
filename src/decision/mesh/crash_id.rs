//! Identifier of a crash of a backend server.

use crate::common::*;

/// Random number that identifies one crash of one backend server in the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash)]
pub struct CrashId(pub u64);

impl Display for CrashId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
