//! Phase of an incarnation.

use crate::common::*;

/// Phase of one incarnation of an instance. Later phases compare as greater, and the phase in a
/// table only increases.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, Hash, Ord, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum MemberPhase {
    /// The instance accepts calls.
    Live,
    /// The instance has announced that it leaves.
    Leaving,
    /// The incarnation has ended.
    Gone,
}
