//! The load is too high from the start, while the estimated costs of the requests still rise, since
//! few of their runs have ended.

use crate::ms;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::capacity_control::{CapacityControl, ServiceMeasurement},
};

/// Slots of the deep service.
const SLOTS: f64 = 600.0;

/// Root requests per second whose calls use the deep service.
const REQUESTS_PER_S: f64 = 1_000.0;

/// Returns the state of the deep service, whose slots are in use.
fn measure(request_cost: f64, unserved_share: f64) -> ServiceMeasurement {
    ServiceMeasurement {
        slots: SLOTS,
        requests: SLOTS * 1.05,
        admitted_rate: 5_000.0,
        unserved_rate: 5_000.0 * unserved_share,
        admitted_slots: REQUESTS_PER_S * request_cost,
        request_cost,
        ..ServiceMeasurement::default()
    }
}

/// Guards against a load that is lowered twice: once by calls without a slot, while the estimated
/// costs are too low, and again when the estimate rises. Six of seven requests were refused for
/// three seconds (laurentide-quebec-large, trouble-3).
#[test]
fn correction_follows_the_estimated_cost() {
    let clock = ManualClock::new();
    let service = "deep".into();
    let mut control = CapacityControl::default();
    let early = measure(0.1, 0.2);
    control.update(&service, &early, false, clock.now());
    let requests_before = control.allowed_slots(&service, &early) / early.request_cost;
    for request_cost in [0.2, 0.3, 0.4] {
        clock.advance(ms(400));
        let later = measure(request_cost, 0.0);
        control.update(&service, &later, true, clock.now());
        let requests = control.allowed_slots(&service, &later) / request_cost;
        assert!(
            requests >= requests_before * 0.99,
            "{requests} of {requests_before} requests/s at a cost of {request_cost} slot seconds"
        );
    }
}

/// Guards against a correction that disappears step by step, because each variation of the estimated
/// cost raises it.
#[test]
fn varying_cost_does_not_raise_the_correction() {
    let clock = ManualClock::new();
    let service = "deep".into();
    let mut control = CapacityControl::default();
    let overloaded = measure(0.4, 0.2);
    control.update(&service, &overloaded, false, clock.now());
    let slots_before = control.allowed_slots(&service, &overloaded);
    for step in 0..50 {
        clock.advance(ms(400));
        let varied = measure(if step % 2 == 0 { 0.38 } else { 0.4 }, 0.0);
        control.update(&service, &varied, true, clock.now());
    }
    let slots = control.allowed_slots(&service, &overloaded);
    assert!(slots <= slots_before * 1.01, "{slots} and {slots_before}");
}
