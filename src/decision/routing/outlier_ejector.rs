//! Outlier detection: derives outages of an upstream from consecutive failures.

use crate::{common::*, decision::routing::routing_config::RoutingConfig};

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

/// Detects outages of one upstream. The upstream is ejected for the length of an outage if the
/// limit on ejected upstreams of its set allows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierEjector {
    failures: u32,
    outages: u32,
    outage_end: Option<Instant>,
    is_ejected: bool,
}

impl OutlierEjector {
    /// Records that the upstream responded, which ends an outage; a refusal is a response too.
    pub fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; returns the end of the outage if one starts.
    ///
    /// After an outage, a single further failure starts the next one. Failures during an outage,
    /// which come from attempts sent before it, do not extend it.
    pub fn record_failure(&mut self, config: &RoutingConfig, now: Instant) -> Option<Instant> {
        if self.is_in_outage(now) {
            return None;
        }
        self.failures += 1;
        let starts_outage = self.outages > 0 || self.failures >= config.eject_failures;
        if !starts_outage {
            return None;
        }
        let eject_time = config.eject_time * (1 << self.outages.min(MAX_DOUBLINGS));
        let until = now + eject_time.min(config.max_eject_time);
        self.outages += 1;
        self.is_ejected = false;
        self.outage_end = Some(until);
        Some(until)
    }

    /// Ejects the upstream for the rest of its outage.
    pub fn eject(&mut self) {
        self.is_ejected = true;
    }

    /// Returns true during an outage, whether the upstream is ejected or not.
    pub fn is_in_outage(&self, now: Instant) -> bool {
        self.outage_end.is_some_and(|until| now < until)
    }

    /// Returns whether an outage has ended, but the upstream has not responded since; this
    /// corresponds to the half-open state of a circuit breaker.
    pub fn is_half_open(&self, now: Instant) -> bool {
        self.outages > 0 && !self.is_in_outage(now)
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.is_ejected && self.is_in_outage(now)
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Returns whether one more upstream of a set may be ejected.
pub fn may_eject(config: &RoutingConfig, ejected: usize, members: usize) -> bool {
    (ejected + 1) * 100 <= members * config.max_ejected_percent
}
