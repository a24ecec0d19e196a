//! Budget of repeated requests that all daemons share without telling each other.

use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        admission_plan::ServiceCost,
        attempt_budget::{AttemptBudget, BudgetBounds},
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

/// Guards against a fleet that repeats more than the bound while a service fails every request: each
/// of 13 daemons repeats whatever its share allows.
#[test]
fn fleet_stays_within_the_bound_when_every_request_fails() {
    let clock = ManualClock::new();
    let service = SmolStr::new("deep");
    let mut daemons: Vec<AttemptBudget> = (0..13)
        .map(|_| AttemptBudget::new(BOUNDS, clock.now()))
        .collect();
    clock.advance(Duration::from_secs(10));
    let mut repeats = Vec::new();
    // Ten requests a second at each daemon, all repeated if the budget allows.
    for step in 0..300 {
        for daemon in &mut daemons {
            daemon.on_request(&service, clock.now());
            if daemon.take_repeat(&[cost("deep", 1.0)], |_| 130.0, 13, clock.now()) {
                repeats.push(step);
            }
        }
        clock.advance(Duration::from_millis(100));
    }
    let allowed = 0.2 * 1_300.0 + 50.0;
    for begin in 0..200 {
        let window = repeats
            .iter()
            .filter(|step| (begin..begin + 100).contains(*step));
        let count = window.count();
        assert!(count as f64 <= allowed, "{count} repeats from step {begin}");
    }
    assert!(repeats.len() > 300, "the budget allows too little");
}

/// Guards against repeats of a request whose run would repeat many calls further down: all services
/// below are charged, and none if one has no room.
#[test]
fn repeat_is_charged_to_all_services_below() {
    let clock = ManualClock::new();
    let mut budget = AttemptBudget::new(BOUNDS, clock.now());
    clock.advance(Duration::from_secs(10));
    let costs = [cost("near", 1.0), cost("deep", 10.0)];
    let mut granted = 0;
    while budget.take_repeat(&costs, |_| 0.0, 1, clock.now()) {
        granted += 1;
    }
    assert_eq!(granted, 1);
    assert!(budget.take_repeat(&costs[..1], |_| 0.0, 1, clock.now()));
}

/// Guards against daemons that start anew one after the other and each spend a whole window's share.
#[test]
fn share_grows_over_the_first_window() {
    let clock = ManualClock::new();
    let mut budget = AttemptBudget::new(BOUNDS, clock.now());
    let mut take = |now| budget.take_repeat(&[cost("deep", 1.0)], |_| 0.0, 1, now);
    assert!(!take(clock.now()));
    clock.advance(Duration::from_secs(10));
    assert!(take(clock.now()));
}
