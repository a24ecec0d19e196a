//! Responses with which a backend server refuses a request without running it.

use crate::common::*;

/// Response that shows that the backend server did not run a request.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RefusalRule {
    /// HTTP status, 400 to 599.
    pub status: u16,
    /// Name of a response header, in lower case.
    pub header: SmolStr,
    /// Value of the header; if absent, every value matches.
    #[serde(default)]
    pub value: Option<SmolStr>,
}

impl RefusalRule {
    /// Returns whether a response with `status` is this refusal. `header` looks up a response
    /// header by name.
    pub fn matches<'a>(&self, status: u16, header: impl Fn(&str) -> Option<&'a [u8]>) -> bool {
        status == self.status
            && header(&self.header).is_some_and(|actual| {
                self.value
                    .as_ref()
                    .is_none_or(|value| value.as_bytes() == actual)
            })
    }
}
