//! Marks of a request that are not part of its context.

use crate::common::*;
use gotham::state::StateData;

/// Marks of the request in the gotham state.
#[derive(Clone, Debug, Default, StateData)]
pub struct RequestMarks {
    /// Text of the ticket.
    pub ticket: Option<SmolStr>,
    /// Whether the request asks for the response to an earlier attempt.
    pub is_resume: bool,
}

impl RequestMarks {
    /// Returns whether an earlier attempt may have run, so that only a record can tell "not run".
    pub fn is_repeat(&self) -> bool {
        self.is_resume || self.ticket.is_some()
    }
}
