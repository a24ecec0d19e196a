//! State of one upstream in its set.

use crate::{
    common::*,
    decision::routing::{
        cold_ramp::ColdRamp,
        latency_average::LatencyAverage,
        load_hint::LoadHint,
        outlier_ejector::OutlierEjector,
        routing_config::RoutingConfig,
        upstream_set::{AttemptResult, InstanceInfo},
    },
};

/// Most doublings of the cost by consecutive failures.
const MAX_FAILURE_DOUBLINGS: u32 = 6;

/// Upstream as one daemon sees it.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) info: InstanceInfo,
    pub(super) in_flight: u32,
    pub(super) is_leaving: bool,
    pub(super) ramp: ColdRamp,
    pub(super) ejector: OutlierEjector,
    pub(super) hint: Option<LoadHint>,
    latency: LatencyAverage,
    refusing_until: Option<Instant>,
}

impl UpstreamState {
    pub(super) fn new(info: InstanceInfo, ramp: ColdRamp) -> Self {
        Self {
            is_leaving: info.leaving,
            info,
            in_flight: 0,
            ramp,
            ejector: OutlierEjector::default(),
            hint: None,
            latency: LatencyAverage::default(),
            refusing_until: None,
        }
    }

    pub(super) fn latency(&self, now: Instant) -> Option<f64> {
        self.latency.seconds(now)
    }

    /// Returns whether the upstream has not refused recently. After an outage it admits a single
    /// call until it answers, so that a repeated outage costs one failure and not many.
    pub(super) fn is_admitting(&self, now: Instant) -> bool {
        let is_refusing = self.refusing_until.is_some_and(|until| now < until);
        !is_refusing && !self.is_trial_taken(now)
    }

    pub(super) fn is_live(&self, now: Instant) -> bool {
        !self.is_leaving && !self.ejector.is_out(now) && !self.is_trial_taken(now)
    }

    fn is_trial_taken(&self, now: Instant) -> bool {
        self.ejector.is_on_trial(now) && self.in_flight > 0
    }

    /// Records a result; returns whether an outage begins. Only answered attempts count as a
    /// latency, since a fast refusal would make an overloaded upstream look attractive.
    pub(super) fn record(
        &mut self,
        result: AttemptResult,
        latency: Duration,
        config: &RoutingConfig,
        now: Instant,
    ) -> bool {
        match result {
            AttemptResult::Answered => {
                self.latency.record(latency, now);
                self.refusing_until = None;
                self.ejector.record_contact();
            }
            AttemptResult::Refused => {
                self.refusing_until = Some(now + config.refusal_hold);
                self.ejector.record_contact();
            }
            AttemptResult::Abandoned => {}
            AttemptResult::Failed => {
                if let Some(until) = self.ejector.record_failure(config, now) {
                    // An upstream that returns after an outage has probably restarted cold.
                    self.ramp = ColdRamp::starting(until);
                    return true;
                }
            }
        }
        false
    }

    /// Returns the cost of one more call. The call itself is counted without the ramp weight: a
    /// new instance is already sampled by its weight, and it must get its share on an idle set.
    pub(super) fn cost(&self, usual_latency: f64, config: &RoutingConfig, now: Instant) -> f64 {
        let weight = self.ramp.weight(config, now);
        let latency = self.latency(now).unwrap_or(usual_latency);
        let hint = self.hint.map_or(1.0, |hint| hint.factor(now));
        let doublings = self.ejector.failures().min(MAX_FAILURE_DOUBLINGS);
        let penalty = f64::from(1 << doublings);
        (f64::from(self.in_flight) / weight + 1.0) * latency * hint * penalty
    }

    /// Drops what a pause of the own daemon has made stale.
    pub(super) fn forget_measurements(&mut self) {
        self.latency.clear();
        self.ejector = OutlierEjector::default();
        self.hint = None;
        self.refusing_until = None;
    }
}
