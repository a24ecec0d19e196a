//! Retry budget that all daemons share without communication.

use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        admission_plan::ServiceCost,
        fleet_retry_budget::{BudgetBounds, FleetRetryBudget},
    },
};
use smol_str::SmolStr;
use std::time::Duration;

const BOUNDS: BudgetBounds = BudgetBounds {
    ratio: 0.2,
    slack: 50.0,
    window_s: 10.0,
};

fn cost(service: &str, runs: f64) -> ServiceCost {
    ServiceCost {
        service: service.into(),
        runs,
        slot_seconds: 0.0,
    }
}

/// Guards against a fleet that exceeds the retry limit while a service fails every request: each of
/// 13 daemons retries as much as its share allows.
#[test]
fn fleet_stays_within_the_limit_when_every_request_fails() {
    let clock = ManualClock::new();
    let service = SmolStr::new("deep");
    let mut daemons: Vec<FleetRetryBudget> = (0..13)
        .map(|_| FleetRetryBudget::new(BOUNDS, clock.now()))
        .collect();
    clock.advance(Duration::from_secs(10));
    let mut retries = Vec::new();
    // Ten requests per second at each daemon, all retried if the budget allows.
    for step in 0..300 {
        for daemon in &mut daemons {
            daemon.record_request(&service, clock.now());
            if daemon.take_retry(&[cost("deep", 1.0)], |_| 130.0, 13, clock.now()) {
                retries.push(step);
            }
        }
        clock.advance(Duration::from_millis(100));
    }
    let allowed = 0.2 * 1_300.0 + 50.0;
    for begin in 0..200 {
        let window = retries
            .iter()
            .filter(|step| (begin..begin + 100).contains(*step));
        let count = window.count();
        assert!(count as f64 <= allowed, "{count} retries from step {begin}");
    }
    assert!(retries.len() > 300, "the budget allows too little");
}

/// Guards against a retry whose run would repeat many nested calls: the budgets of all services in
/// the call graph are charged, or none if one of them is used up.
#[test]
fn retry_is_charged_to_all_services_of_its_call_graph() {
    let clock = ManualClock::new();
    let mut budget = FleetRetryBudget::new(BOUNDS, clock.now());
    clock.advance(Duration::from_secs(10));
    let costs = [cost("near", 1.0), cost("deep", 10.0)];
    let mut granted = 0;
    while budget.take_retry(&costs, |_| 0.0, 1, clock.now()) {
        granted += 1;
    }
    assert_eq!(granted, 1);
    assert!(budget.take_retry(&costs[..1], |_| 0.0, 1, clock.now()));
}

/// Guards against daemons that restart one after the other and each spend the share of a whole
/// window.
#[test]
fn share_grows_over_the_first_window() {
    let clock = ManualClock::new();
    let mut budget = FleetRetryBudget::new(BOUNDS, clock.now());
    let mut take = |now| budget.take_retry(&[cost("deep", 1.0)], |_| 0.0, 1, now);
    assert!(!take(clock.now()));
    clock.advance(Duration::from_secs(10));
    assert!(take(clock.now()));
}

/// Guards against settings whose window cannot be added to the clock: each request would panic.
#[test]
fn unusable_window_does_not_stop_requests() {
    for window_s in [-1.0, 0.0, 1e19, f64::INFINITY, f64::NAN] {
        let clock = ManualClock::new();
        let bounds = BudgetBounds {
            window_s,
            ..BudgetBounds::default()
        };
        let mut budget = FleetRetryBudget::new(bounds, clock.now());
        budget.record_request(&"s".into(), clock.now());
        clock.advance(Duration::from_secs(1));
        budget.record_request(&"s".into(), clock.now());
    }
}
