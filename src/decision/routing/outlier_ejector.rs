//! Consecutive failures of an upstream and the outages that follow from them.

use crate::{common::*, decision::routing::routing_config::RoutingConfig};

/// Most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

/// Detects outages of one upstream and grants ejections within the cap of the set.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierEjector {
    failures: u32,
    outages: u32,
    out_until: Option<Instant>,
    is_ejected: bool,
}

impl OutlierEjector {
    /// Records that the upstream answered or refused, which ends an outage.
    pub fn record_contact(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; returns the end of the outage if one begins.
    ///
    /// After an outage, one further failure begins the next one. Failures of attempts that were
    /// sent before an outage and end within it do not extend it.
    pub fn record_failure(&mut self, config: &RoutingConfig, now: Instant) -> Option<Instant> {
        if self.is_out(now) {
            return None;
        }
        self.failures += 1;
        let is_outage = self.outages > 0 || self.failures >= config.eject_failures;
        if !is_outage {
            return None;
        }
        let time = config.eject_time * (1 << self.outages.min(MAX_DOUBLINGS));
        let until = now + time.min(config.max_eject_time);
        self.outages += 1;
        self.is_ejected = false;
        self.out_until = Some(until);
        Some(until)
    }

    /// Ejects the upstream for the rest of its outage.
    pub fn eject(&mut self) {
        self.is_ejected = true;
    }

    /// Returns whether the upstream is in an outage, ejected or not.
    pub fn is_out(&self, now: Instant) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Returns whether an outage has ended and no contact has followed yet.
    pub fn is_on_trial(&self, now: Instant) -> bool {
        self.outages > 0 && !self.is_out(now)
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.is_ejected && self.is_out(now)
    }

    /// Returns the consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Returns whether one more upstream of a set may be ejected.
pub fn may_eject(config: &RoutingConfig, ejected: usize, members: usize) -> bool {
    (ejected + 1) * 100 <= members * config.max_ejected_percent
}
