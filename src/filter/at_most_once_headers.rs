//! Headers of requests that must run at most once.

use crate::common::*;
use gotham::state::StateData;

/// Headers that refer to an earlier attempt, stored in the gotham state.
#[derive(Clone, Debug, Default, StateData)]
pub struct AtMostOnceHeaders {
    /// Ticket as received, not yet parsed.
    pub ticket: Option<SmolStr>,
    /// Whether this is a resume request, which asks for the response to an earlier attempt.
    pub is_resume: bool,
}

impl AtMostOnceHeaders {
    /// Returns whether an earlier attempt may have run. Only a record of that attempt can then show
    /// that the request was not run.
    pub fn may_have_run(&self) -> bool {
        self.is_resume || self.ticket.is_some()
    }
}
