//! Closed-loop control of the load that the admission plan allows at each service.
//!
//! The costs of requests are estimates. The controller compares their effect with what the daemons
//! report: admitted requests that found no slot lower the allowed load to what was served, and
//! free slots raise it.

use crate::common::*;

/// Share of the slots that is allocated before any correction. The rest absorbs the variation of
/// arrivals and of run times.
const PLANNED_UTILISATION: f64 = 0.9;

/// Utilisation above which a service is overloaded, as a share of its slots. A queue of calls that
/// wait for up to about two service times keeps the slots in use.
const OVERLOAD_UTILISATION: f64 = 2.5;

/// Utilisation below which a service has spare capacity, as a share of its slots.
const SPARE_UTILISATION: f64 = 0.85;

/// Time within which waiting calls are to be served, in seconds. Calls that wait hold the slots of
/// the runs that made them, so a queue at a deep service spreads to the services above it.
const DRAIN_TIME_S: f64 = 0.75;

/// Largest share of the allowed slots that is reserved for waiting calls.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// Largest part of the admitted load by which a queue of calls lowers the allowed load at once. The
/// queue shows that the load is too high, but not by how much.
const MAX_QUEUE_DECREASE: f64 = 0.3;

/// Largest factor on the correction in one plan.
const MAX_INCREASE_FACTOR: f64 = 1.25;

/// Exponent of the ratio of usable to used slots in an increase. Below 1, since a plan shows its
/// effect only after further plans.
const INCREASE_EXPONENT: f64 = 0.4;

/// Weight of a new load report in the mean number of requests at a service. Runs take up to a
/// second, so single reports vary much more than the load.
const REPORT_WEIGHT: f64 = 0.4;

/// Utilisation below which nested calls are not unserved for lack of slots, as a share of the slots.
/// Refusing root requests would not help them.
const MIN_LOSS_UTILISATION: f64 = 0.7;

/// Share of admitted requests without a slot above which the allowed load is lowered.
const MAX_UNSERVED_SHARE: f64 = 0.02;

/// Requests per second at a service below which the share of unserved ones is not significant.
const MIN_REQUEST_RATE: f64 = 5.0;

/// Time after a decrease in which reports still show the load before it.
const SETTLING_TIME: Duration = Duration::from_millis(1_200);

/// Smallest correction.
const MIN_CORRECTION: f64 = 0.02;

/// Largest correction while requests are refused: if slots are then free, the costs are
/// overestimated.
const MAX_CORRECTION: f64 = 3.0;

/// Largest correction while no requests are refused, so that the plan does not admit too much at
/// the start of a surge.
const MAX_CORRECTION_WITHOUT_SHEDDING: f64 = 1.2;

/// State of one service, as reported by the daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceMeasurement {
    /// Sum of the concurrency limits, in slots.
    pub slots: f64,
    /// Requests in flight and queued nested calls.
    pub requests: f64,
    /// Admitted requests per second.
    pub admitted_rate: f64,
    /// Nested calls per second that were not run for lack of a slot.
    pub unserved_rate: f64,
    /// Slots in use that the admitted requests should cause by their estimated costs.
    pub admitted_slots: f64,
    /// Estimated mean cost of the root requests that use the service, in slot seconds.
    pub request_cost: f64,
    /// Slot seconds that the calls which wait at this service and at those above it still need here.
    pub backlog_s: f64,
    /// Whether runs at this service wait for calls to a saturated service. Its slots are then held by
    /// these waits, and fewer requests than that service allows would not free them.
    pub waits_below: bool,
}

/// Controls the allowed load of all services.
#[derive(Debug, Default)]
pub struct CapacityControl {
    services: IndexMap<SmolStr, ServiceControl>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceControl {
    /// Correction of the planned slots.
    factor: f64,
    mean_requests: f64,
    /// Highest estimated cost of a request since the last decrease.
    reference_cost: f64,
    settles_at: Instant,
}

impl CapacityControl {
    /// Returns the slots that a plan may allocate at a service. While calls of admitted requests wait,
    /// the slots that they need are not allocated to new requests.
    pub fn allowed_slots(&self, service: &str, measurement: &ServiceMeasurement) -> f64 {
        let slots = measurement.slots;
        let Some(state) = self.services.get(service) else {
            return slots * PLANNED_UTILISATION;
        };
        let reserved = measurement.backlog_s / DRAIN_TIME_S;
        let planned = slots * PLANNED_UTILISATION * state.factor;
        planned - reserved.min(planned * MAX_RESERVED_SHARE)
    }

    /// Updates the allowed load of a service. `is_shedding` is true if the last plan refused
    /// requests.
    pub fn update(
        &mut self,
        service: &SmolStr,
        measurement: &ServiceMeasurement,
        is_shedding: bool,
        now: Instant,
    ) {
        let entry = self.services.entry(service.clone());
        let control = entry.or_insert(ServiceControl {
            factor: 1.0,
            mean_requests: measurement.requests,
            reference_cost: measurement.request_cost,
            settles_at: now,
        });
        control.update(measurement, now);
        let max_correction = if is_shedding {
            MAX_CORRECTION
        } else {
            MAX_CORRECTION_WITHOUT_SHEDDING
        };
        control.factor = control.factor.clamp(MIN_CORRECTION, max_correction);
    }
}

impl ServiceControl {
    fn update(&mut self, measurement: &ServiceMeasurement, now: Instant) {
        let slots = measurement.slots;
        self.follow_cost(measurement.request_cost);
        self.mean_requests += (measurement.requests - self.mean_requests) * REPORT_WEIGHT;
        let excess = self.excess_share(measurement);
        if excess > MAX_UNSERVED_SHARE {
            if now >= self.settles_at {
                self.decrease(measurement, excess);
                self.settles_at = now + SETTLING_TIME;
            }
        } else if self.mean_requests < slots * SPARE_UTILISATION {
            let ratio = slots * PLANNED_UTILISATION / self.mean_requests.max(1.0);
            let step = ratio.powf(INCREASE_EXPONENT).min(MAX_INCREASE_FACTOR);
            let calibrated = measurement.admitted_slots / self.mean_requests.max(1.0);
            let raised = self.factor * step;
            self.factor = if raised > 1.0 {
                raised.min(calibrated.max(1.0))
            } else if now >= self.settles_at {
                raised.max(calibrated.min(1.0))
            } else {
                raised
            };
        }
    }

    /// Raises a correction below 1 with the estimated cost of a request. The correction was made for
    /// the lower estimate, for example before the first runs of a fleet had ended, and would otherwise
    /// lower the load a second time. An estimate that only varies does not raise it.
    fn follow_cost(&mut self, request_cost: f64) {
        if self.factor >= 1.0 {
            self.reference_cost = request_cost;
        } else if request_cost > self.reference_cost {
            if self.reference_cost > 0.0 {
                self.factor = (self.factor * request_cost / self.reference_cost).min(1.0);
            }
            self.reference_cost = request_cost;
        }
    }

    /// Returns the share of the admitted load that the service could not serve, from unserved calls
    /// and from the queue of waiting ones.
    fn excess_share(&self, measurement: &ServiceMeasurement) -> f64 {
        if measurement.waits_below {
            return 0.0;
        }
        let slots = measurement.slots;
        let is_in_use = self.mean_requests >= slots * MIN_LOSS_UTILISATION;
        let unserved = if is_in_use {
            measurement.unserved_share()
        } else {
            0.0
        };
        let queued = 1.0 - slots * OVERLOAD_UTILISATION / self.mean_requests.max(1.0);
        unserved.max(queued.min(MAX_QUEUE_DECREASE))
    }

    /// Lowers the allowed load to the part of the admitted load that was served.
    fn decrease(&mut self, measurement: &ServiceMeasurement, excess: f64) {
        let planned_slots = measurement.slots * PLANNED_UTILISATION;
        if planned_slots > 0.0 {
            let admitted = (measurement.admitted_slots / planned_slots).min(self.factor);
            self.factor = admitted * (1.0 - excess);
            self.reference_cost = measurement.request_cost;
        }
    }
}

impl ServiceMeasurement {
    /// Returns the share of the admitted requests that were not run for lack of a slot.
    fn unserved_share(&self) -> f64 {
        if self.admitted_rate < MIN_REQUEST_RATE {
            return 0.0;
        }
        (self.unserved_rate / self.admitted_rate).clamp(0.0, 1.0)
    }
}
