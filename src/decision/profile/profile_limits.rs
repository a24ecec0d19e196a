//! Order of shedding, ticket limits and upstream limits of a profile.

use crate::common::*;

/// Which requests of one class are shed first. Classes are always shed from the highest level,
/// which is the least important, to the lowest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ShedOrder {
    /// New root requests before nested calls of requests that have already started; within each
    /// group, marked retries first.
    #[default]
    NewRootsFirst,
    /// Marked retries before all others; within each group, new root requests first.
    RetriesFirst,
}

/// Order of shedding.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct SheddingRules {
    /// Order within one class.
    pub within_class: ShedOrder,
}

/// Limits on tickets.
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

/// Limits that callers of the service apply to its instances as upstreams.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamLimits {
    /// Warm-up of a new instance, in which its share of requests rises from 10% to 100%, in
    /// milliseconds.
    pub ramp_time_ms: u32,
    /// Maximum time without a received byte before a connection counts as stalled, in milliseconds.
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
