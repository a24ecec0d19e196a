//! Choice of instances under load and faults.

use crate::members::entry;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        fleet_view::{EntryItem, FleetView, ServingState},
        instance_choice::{AttemptEnd, InstanceChoice, LoadReport},
    },
};
use smol_str::SmolStr;
use std::{collections::BTreeMap, net::IpAddr, time::Duration};

const SERVICE: &str = "s";
const ROUTE: &str = "r";

struct Scenario {
    clock: ManualClock,
    view: FleetView,
    choice: InstanceChoice,
}

impl Scenario {
    /// Creates `count` instances with addresses 10.0.0.1, 10.0.0.2 and so on.
    fn new(count: usize) -> Self {
        let clock = ManualClock::new();
        let mut view = FleetView::new();
        for number in 1..=count {
            let address = format!("10.0.0.{number}:80");
            let item = EntryItem {
                id: format!("i-{number}").into(),
                revision: number as u64,
                entry: Some(entry(SERVICE, &address, ServingState::Ready)),
            };
            view.apply(&item, clock.now());
        }
        let mut choice = InstanceChoice::new("dc-1".into(), 7);
        choice.update(&view, clock.now());
        Self {
            clock,
            view,
            choice,
        }
    }

    /// Sends requests 10 ms apart, ends each as `end` says, and counts them by instance.
    fn run(
        &mut self,
        count: usize,
        needs_slot: bool,
        end: impl Fn(&str) -> (AttemptEnd, LoadReport, Duration),
    ) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let route = SmolStr::new(ROUTE);
        for _ in 0..count {
            let now = self.clock.now();
            let Some(chosen) = self.choice.choose(SERVICE, ROUTE, &[], needs_slot, now) else {
                continue;
            };
            *counts.entry(chosen.id.to_string()).or_default() += 1;
            let (end, report, time) = end(&chosen.id);
            let time = (end == AttemptEnd::Answered).then_some((&route, time));
            self.choice.set_report(chosen.key, report, time, now);
            self.choice.finish(chosen.key, end, now);
            self.clock.advance(Duration::from_millis(10));
        }
        counts
    }
}

fn ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn free() -> LoadReport {
    LoadReport {
        in_flight: 1,
        queued: 0,
        limit: 9,
    }
}

fn share(counts: &BTreeMap<String, usize>, id: &str) -> f64 {
    let total: usize = counts.values().sum();
    counts.get(id).copied().unwrap_or(0) as f64 / total as f64
}

/// Guards against an instance that fails at once and looks fast for it, so that it draws the load of
/// the whole service.
#[test]
fn instance_that_fails_quickly_draws_no_load() {
    let mut scenario = Scenario::new(3);
    let counts = scenario.run(1_000, false, |id| {
        let end = if id == "i-1" {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Answered
        };
        (end, free(), Duration::from_millis(50))
    });
    assert!(share(&counts, "i-1") < 0.1, "{counts:?}");
}

/// Guards against a choice that ignores the measured speed of instances.
#[test]
fn faster_instance_gets_more() {
    let mut scenario = Scenario::new(2);
    let counts = scenario.run(1_000, false, |id| {
        let time = if id == "i-1" { 20 } else { 60 };
        (AttemptEnd::Answered, free(), Duration::from_millis(time))
    });
    assert!(share(&counts, "i-1") > 0.6, "{counts:?}");
}

/// Guards against root requests that are refused at the fastest instance, whose slots the calls of
/// admitted work hold, while a slower one has free slots.
#[test]
fn root_requests_go_to_free_slots_first() {
    let mut scenario = Scenario::new(2);
    let answer = |id: &str| {
        let (in_flight, time) = if id == "i-1" { (9, 20) } else { (1, 60) };
        let report = LoadReport {
            in_flight,
            ..free()
        };
        (AttemptEnd::Answered, report, Duration::from_millis(time))
    };
    scenario.run(50, false, answer);
    let counts = scenario.run(200, true, answer);
    assert!(share(&counts, "i-2") > 0.9, "{counts:?}");
}

/// Guards against calls that wait for a connection into a part of the fleet that is cut off.
#[test]
fn unreachable_and_leaving_instances_get_nothing() {
    let mut scenario = Scenario::new(3);
    let now = scenario.clock.now();
    scenario.choice.set_reachable(ip(1), false);
    scenario.choice.set_leaving(ip(2), true, now);
    let answer = |_: &str| (AttemptEnd::Answered, free(), Duration::from_millis(50));
    let counts = scenario.run(50, false, answer);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["i-3"]);
    scenario.choice.set_reachable(ip(3), false);
    assert!(!scenario.choice.can_reach(SERVICE, now));
    scenario.choice.set_reachable(ip(1), true);
    assert!(scenario.choice.can_reach(SERVICE, now));
}

/// Guards against load for a daemon that fell silent without an error on any connection.
#[test]
fn daemon_that_misses_load_messages_comes_last() {
    let mut scenario = Scenario::new(2);
    let interval = Duration::from_millis(400);
    scenario.choice.set_load_interval(interval);
    scenario.choice.set_heard(ip(1), scenario.clock.now());
    scenario.clock.advance(4 * interval);
    scenario.choice.set_heard(ip(2), scenario.clock.now());
    let answer = |_: &str| (AttemptEnd::Answered, free(), Duration::from_millis(50));
    let counts = scenario.run(20, false, answer);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["i-2"]);
}

/// Guards against a daemon that stays ready although it reaches nobody, and against one in a data
/// centre that is cut off and has to serve on.
#[test]
fn only_a_daemon_that_reaches_almost_nobody_is_isolated() {
    let mut scenario = Scenario::new(9);
    for number in 1..=6 {
        scenario.choice.set_reachable(ip(number), false);
    }
    assert!(!scenario.choice.is_isolated());
    for number in 7..=8 {
        scenario.choice.set_reachable(ip(number), false);
    }
    assert!(scenario.choice.is_isolated());
}

/// Guards against a server that starts anew under its old id and is judged by its earlier failures.
#[test]
fn new_start_under_the_same_id_forgets_failures() {
    let mut scenario = Scenario::new(2);
    let failing = |id: &str| {
        let end = if id == "i-1" {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Answered
        };
        (end, free(), Duration::from_millis(50))
    };
    scenario.run(100, false, failing);
    let mut renewed = entry(SERVICE, "10.0.0.1:80", ServingState::Ready);
    renewed.born_ms = Some(2);
    let item = EntryItem {
        id: "i-1".into(),
        revision: 9,
        entry: Some(renewed),
    };
    let now = scenario.clock.now();
    scenario.view.apply(&item, now);
    scenario.choice.update(&scenario.view, now);
    let answer = |_: &str| (AttemptEnd::Answered, free(), Duration::from_millis(50));
    let counts = scenario.run(50, false, answer);
    assert!(share(&counts, "i-1") > 0.3, "{counts:?}");
}
