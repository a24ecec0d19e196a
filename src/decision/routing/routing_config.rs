//! Parameters of the choice of upstreams.

use crate::{common::*, decision::profile::profile_limits::UpstreamLimits};

/// Parameters of the cold-start ramp, of ejection and of spill.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Time in which a new instance reaches its full share.
    pub ramp_time: Duration,
    /// Share of a new instance at the start of the ramp, over 0 and at most 1.
    pub ramp_start: f64,
    /// Consecutive failures that count as an outage of an upstream.
    pub eject_failures: u32,
    /// First ejection time; doubles with each further outage.
    pub eject_time: Duration,
    /// Longest ejection time.
    pub max_eject_time: Duration,
    /// Largest ejected part of a set, in percent.
    pub max_ejected_percent: usize,
    /// Refusals without an answer in between after which an upstream counts as not admitting.
    pub hold_refusals: u32,
    /// Time for which an upstream counts as not admitting after the last of these refusals.
    pub refusal_hold: Duration,
    /// Largest part of the calls that spills to other data centres, in percent.
    pub max_spill_percent: u64,
}

impl RoutingConfig {
    /// Returns the parameters of a service with the times of its profile.
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
            hold_refusals: 5,
            refusal_hold: Duration::from_millis(100),
            max_spill_percent: 20,
        }
    }
}
