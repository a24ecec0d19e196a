//! Phase of a daemon that is visible to its peers and operators.

use crate::common::*;

/// Phase of the lifecycle; later phases compare as greater.
#[derive(Clone, Copy, Debug, Serialize, Eq, PartialEq, Ord, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum LifecyclePhase {
    /// The daemon has no complete configuration yet.
    Starting,
    /// The daemon accepts new requests.
    Serving,
    /// The daemon refuses new requests and completes the accepted ones.
    Draining,
    /// The daemon has stopped.
    Stopped,
}

/// Cause of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainCause {
    /// The process received SIGTERM or SIGINT, or the code that embeds the daemon stops it.
    Signal,
    /// An operator requested it.
    Operator,
    /// The backend server of the daemon announced that it drains.
    BackendServer,
}

impl Display for DrainCause {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Signal => "a signal",
            Self::Operator => "an operator request",
            Self::BackendServer => "a drain announcement from the backend server",
        })
    }
}
