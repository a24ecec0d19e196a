//! Parameters of the load balancing over upstreams.

use crate::{common::*, decision::profile::profile_limits::UpstreamLimits};

/// Parameters of warm-up, ejection, refusal backoff and spill to other data centres.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Time until a new instance has its full weight.
    pub ramp_time: Duration,
    /// Weight of a new instance at the start of its warm-up, above 0 and at most 1.
    pub ramp_start: f64,
    /// Number of consecutive failures that count as an outage of an upstream.
    pub eject_failures: u32,
    /// Ejection time of the first outage; it doubles with each consecutive outage.
    pub eject_time: Duration,
    /// Longest ejection time.
    pub max_eject_time: Duration,
    /// Largest part of the upstreams of a set that may be ejected, in percent.
    pub max_ejected_percent: usize,
    /// Number of consecutive refusals after which an upstream counts as not admitting.
    pub backoff_refusals: u32,
    /// Time after the last of these refusals during which the upstream counts as not admitting.
    pub refusal_backoff: Duration,
    /// Largest part of the calls that may spill to other data centres, in percent.
    pub max_spill_percent: u64,
}

impl RoutingConfig {
    /// Creates the parameters of a service from its profile.
    pub fn for_profile(limits: &UpstreamLimits) -> Self {
        Self {
            ramp_time: Duration::from_millis(limits.ramp_time_ms.into()),
            ..Self::default()
        }
    }
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            ramp_time: Duration::from_secs(10),
            ramp_start: 0.1,
            eject_failures: 5,
            eject_time: Duration::from_secs(1),
            max_eject_time: Duration::from_secs(30),
            max_ejected_percent: 30,
            backoff_refusals: 5,
            refusal_backoff: Duration::from_millis(100),
            max_spill_percent: 20,
        }
    }
}
