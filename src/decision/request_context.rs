//! Context that travels with the calls of one root request.

use crate::{common::*, decision::request_priority::RequestPriority};

/// Identifies a root request; equal to the W3C trace id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct RequestId(pub u128);

/// Identifies one call on one hop; equal to the W3C span id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct CallId(pub u64);

/// Identifies one attempt at a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct AttemptId(pub u64);

impl Display for RequestId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Display for CallId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Display for AttemptId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An attempt id cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("The attempt id is not a number of 16 hex digits.")]
pub struct ParseAttemptError;

impl FromStr for AttemptId {
    type Err = ParseAttemptError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 16 {
            return Err(ParseAttemptError);
        }
        let id = u64::from_str_radix(text, 16).map_err(|_| ParseAttemptError)?;
        Ok(Self(id))
    }
}

/// Context of one call as its daemon sees it.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Root request.
    pub request: RequestId,
    /// This call.
    pub call: CallId,
    /// Call of the previous hop, if any.
    pub parent: Option<CallId>,
    /// Attempt id chosen by the sending daemon, if any.
    pub attempt: Option<AttemptId>,
    /// Priority fixed at the entry.
    pub priority: RequestPriority,
    /// Instant after which the answer is worthless.
    pub deadline: Instant,
    /// Instant at which the root request entered, by this daemon's clock.
    pub entered: Instant,
    /// Extra attempts granted to this call and all calls below it.
    pub allowance: u16,
    /// Hops from the entry.
    pub depth: u8,
    /// Whether the request came from an outside caller.
    pub is_entry: bool,
    /// Service that sent the call; empty for outside callers.
    pub caller_service: SmolStr,
}
