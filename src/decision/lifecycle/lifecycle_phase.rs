//! Phase of a daemon as others see it.

use crate::common::*;

/// Phase of the life cycle; later phases are greater.
#[derive(Clone, Copy, Debug, Serialize, Eq, PartialEq, Ord, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum LifecyclePhase {
    /// Has no complete configuration yet.
    Starting,
    /// Accepts new work.
    Serving,
    /// Refuses new work and finishes what it accepted.
    Draining,
    /// Has ended.
    Stopped,
}

/// Why a daemon drains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainCause {
    /// The process received SIGTERM or SIGINT, or its owner stops it.
    Signal,
    /// An operator asked for it.
    Operator,
    /// The own backend server announced that it drains.
    BackendServer,
}

impl Display for DrainCause {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Signal => "a signal",
            Self::Operator => "a request of an operator",
            Self::BackendServer => "an announcement of the backend server",
        })
    }
}
