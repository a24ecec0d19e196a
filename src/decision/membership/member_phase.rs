//! Phase of an incarnation.

use crate::common::*;

/// Phase of one incarnation of an instance. Later phases are greater, and no table goes back.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash, Ord, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum MemberPhase {
    /// Accepts calls.
    Live,
    /// Has announced that it leaves.
    Leaving,
    /// Has ended.
    Gone,
}
