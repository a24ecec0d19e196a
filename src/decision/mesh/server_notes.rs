//! What a backend server says of itself in its responses, as daemons pass it on.

use crate::{common::*, decision::mesh::crash_id::CrashId};

/// What a backend server says of itself. Daemons of earlier builds ignore these bytes, which are
/// appended to messages that they know.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct ServerNotes {
    /// Instance id of the backend server; empty if it is not known.
    pub instance: SmolStr,
    /// Limit that the server names, in requests per second.
    pub named_rate: Option<f64>,
    /// Whether the server has announced that it leaves.
    pub is_leaving: bool,
    /// Crash of the server that ended the run, in the reply to it.
    pub crash: Option<CrashId>,
}

impl ServerNotes {
    /// Returns whether the server says nothing that its peers have to know.
    pub fn is_empty(&self) -> bool {
        self.named_rate.is_none() && !self.is_leaving && self.crash.is_none()
    }
}
