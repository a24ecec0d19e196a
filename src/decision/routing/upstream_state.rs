//! State of one upstream in its set.

use crate::{
    common::*,
    decision::routing::{
        latency_average::LatencyAverage,
        load_hint::LoadHint,
        outlier_ejector::OutlierEjector,
        routing_config::RoutingConfig,
        upstream_set::{AttemptResult, InstanceInfo},
        warm_up_ramp::WarmUpRamp,
    },
};

/// Maximum number of doublings of the cost because of consecutive failures.
const MAX_FAILURE_DOUBLINGS: u32 = 6;

/// State of one upstream as recorded by this daemon.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) info: InstanceInfo,
    pub(super) in_flight: u32,
    pub(super) is_leaving: bool,
    pub(super) ramp: WarmUpRamp,
    pub(super) ejector: OutlierEjector,
    pub(super) hint: Option<LoadHint>,
    latency: LatencyAverage,
    consecutive_refusals: u32,
    backoff_until: Option<Instant>,
}

impl UpstreamState {
    pub(super) fn new(info: InstanceInfo, ramp: WarmUpRamp) -> Self {
        Self {
            is_leaving: info.leaving,
            info,
            in_flight: 0,
            ramp,
            ejector: OutlierEjector::default(),
            hint: None,
            latency: LatencyAverage::default(),
            consecutive_refusals: 0,
            backoff_until: None,
        }
    }

    pub(super) fn latency(&self, now: Instant) -> Option<f64> {
        self.latency.seconds(now)
    }

    /// Returns false during the backoff that follows several consecutive refusals. After an outage,
    /// the upstream counts as admitting for one call at a time until it responds, so that a
    /// continued outage causes a single failure instead of many.
    pub(super) fn is_admitting(&self, now: Instant) -> bool {
        let is_backing_off = self.backoff_until.is_some_and(|until| now < until);
        !is_backing_off && !self.has_probe_in_flight(now)
    }

    pub(super) fn is_live(&self, now: Instant) -> bool {
        !self.is_leaving && !self.ejector.is_in_outage(now) && !self.has_probe_in_flight(now)
    }

    fn has_probe_in_flight(&self, now: Instant) -> bool {
        self.ejector.is_half_open(now) && self.in_flight > 0
    }

    /// Records a result; returns true if an outage starts. The latency of refusals is not recorded,
    /// since a fast refusal would make an overloaded upstream seem to be fast.
    pub(super) fn record(
        &mut self,
        result: AttemptResult,
        latency: Duration,
        config: &RoutingConfig,
        now: Instant,
    ) -> bool {
        match result {
            AttemptResult::Completed => {
                self.latency.record(latency, now);
                self.clear_refusals();
                self.ejector.record_response();
            }
            AttemptResult::Refused => {
                // A single refusal does not count, since the upstream may refuse only requests of
                // low priority.
                self.consecutive_refusals += 1;
                if self.consecutive_refusals >= config.backoff_refusals {
                    self.backoff_until = Some(now + config.refusal_backoff);
                }
                self.ejector.record_response();
            }
            AttemptResult::Abandoned => {}
            AttemptResult::Failed => {
                if let Some(until) = self.ejector.record_failure(config, now) {
                    // After an outage, the server has probably restarted and needs a warm-up.
                    self.ramp = WarmUpRamp::starting_at(until);
                    return true;
                }
            }
        }
        false
    }

    /// Returns the cost of one more call. The weight of the warm-up ramp applies to the calls in
    /// flight, but not to the new call: candidates are already sampled by weight, and a new
    /// instance must get its share of the calls even if the set is idle.
    pub(super) fn cost(&self, mean_latency: f64, config: &RoutingConfig, now: Instant) -> f64 {
        let weight = self.ramp.weight(config, now);
        let latency = self.latency(now).unwrap_or(mean_latency);
        let hint = self.hint.map_or(1.0, |hint| hint.factor(now));
        let doublings = self.ejector.failures().min(MAX_FAILURE_DOUBLINGS);
        let penalty = f64::from(1 << doublings);
        (f64::from(self.in_flight) / weight + 1.0) * latency * hint * penalty
    }

    /// Drops measurements, hints, failures and refusals, for example after a pause of this daemon.
    pub(super) fn reset_measurements(&mut self) {
        self.latency.reset();
        self.ejector = OutlierEjector::default();
        self.hint = None;
        self.clear_refusals();
    }

    fn clear_refusals(&mut self) {
        self.consecutive_refusals = 0;
        self.backoff_until = None;
    }
}
