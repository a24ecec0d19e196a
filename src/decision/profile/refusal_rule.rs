//! Published refusal of a backend server.

use crate::common::*;

/// Response by which a backend server says that it did not run a request.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RefusalRule {
    /// HTTP status, 400 to 599.
    pub status: u16,
    /// Name of a response header, in lower case.
    pub header: SmolStr,
    /// Value of the header; absent matches every value.
    #[serde(default)]
    pub value: Option<SmolStr>,
}

impl RefusalRule {
    /// Returns whether a response with `status` is this refusal. `header` looks up a response
    /// header by name.
    pub fn matches<'a>(&self, status: u16, header: impl Fn(&str) -> Option<&'a [u8]>) -> bool {
        status == self.status
            && header(&self.header).is_some_and(|found| {
                self.value
                    .as_ref()
                    .is_none_or(|value| value.as_bytes() == found)
            })
    }
}
