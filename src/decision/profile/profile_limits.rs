//! Groups of bounds in a profile.

use crate::common::*;

/// Which requests of one class are shed first. Classes are always shed from the highest level to
/// the lowest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ShedOrder {
    /// New root requests before work already started, then marked retries.
    #[default]
    NewRootsFirst,
    /// Marked retries before new root requests.
    RetriesFirst,
}

/// Order of shedding.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct SheddingRules {
    /// Order within one class.
    pub within_class: ShedOrder,
}

/// Bounds on tickets.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct TicketLimits {
    /// Time from the issue of a ticket to its expiry, in seconds.
    pub lifetime_s: u32,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self { lifetime_s: 120 }
    }
}

/// Bounds on the use of upstreams by callers of the service.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamLimits {
    /// Time in which a new instance goes from 10% to 100% of its share, in milliseconds.
    pub ramp_time_ms: u32,
    /// Longest time without a byte before a connection is checked, in milliseconds.
    pub progress_time_ms: u32,
}

impl Default for UpstreamLimits {
    fn default() -> Self {
        Self {
            ramp_time_ms: 30_000,
            progress_time_ms: 1_000,
        }
    }
}
