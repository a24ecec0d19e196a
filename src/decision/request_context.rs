//! Context that is passed on with all calls of one root request.

use crate::{common::*, decision::request_priority::RequestPriority};

/// Identifies a root request; equal to the W3C trace id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct RequestId(pub u128);

/// Identifies one call at one hop; equal to the W3C span id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct CallId(pub u64);

/// Identifies one attempt at sending a call.
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

/// Error from parsing an attempt id.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("The attempt id must have 16 hex digits.")]
pub struct ParseAttemptIdError;

impl FromStr for AttemptId {
    type Err = ParseAttemptIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 16 {
            return Err(ParseAttemptIdError);
        }
        let id = u64::from_str_radix(text, 16).map_err(|_| ParseAttemptIdError)?;
        Ok(Self(id))
    }
}

/// Context of one call at the daemon that received it.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Root request that the call belongs to.
    pub request: RequestId,
    /// Id of this call.
    pub call: CallId,
    /// Call at the previous hop, if any.
    pub parent: Option<CallId>,
    /// Attempt id chosen by the sending daemon, if any.
    pub attempt: Option<AttemptId>,
    /// Priority assigned at the entry.
    pub priority: RequestPriority,
    /// Instant after which the caller no longer needs the response.
    pub deadline: Instant,
    /// Arrival of the root request at its entry, converted to this daemon's clock.
    pub entered: Instant,
    /// Extra attempts that this call and all its nested calls may make in total.
    pub allowance: u16,
    /// Number of hops from the entry.
    pub depth: u8,
    /// Whether this daemon is the entry of the root request.
    pub is_entry: bool,
    /// Service that sent the call; empty if this daemon is the entry.
    pub caller_service: SmolStr,
}
