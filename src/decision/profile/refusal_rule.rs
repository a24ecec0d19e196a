//! Published refusal of a backend server.

use crate::common::*;

/// Status and header with which a backend server states that it did not run a request.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RefusalRule {
    /// HTTP status.
    pub status: u16,
    /// Name of the header.
    pub header: SmolStr,
    /// Value of the header.
    pub value: SmolStr,
}

impl RefusalRule {
    /// Returns whether a response head is the published refusal.
    pub fn matches(&self, status: u16, header: impl Fn(&str) -> Option<SmolStr>) -> bool {
        self.status == status && header(&self.header).as_ref() == Some(&self.value)
    }
}
