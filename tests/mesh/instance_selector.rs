//! Instance selection under load and faults.

use crate::fleet_view::{entry, position};
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        fleet_view::{BackendEntry, FleetView, ServingState, VersionedEntry},
        instance_selector::{InstanceResult, InstanceSelector, LoadReport, SelectionRequest},
    },
};
use smol_str::SmolStr;
use std::{collections::BTreeMap, net::IpAddr, time::Duration};

const SERVICE: &str = "s";
const ROUTE: &str = "r";
const LATENCY_TARGET: Duration = Duration::from_millis(500);

struct Scenario {
    clock: ManualClock,
    view: FleetView,
    selector: InstanceSelector,
}

impl Scenario {
    /// Creates `count` instances with addresses 10.0.0.1, 10.0.0.2 and so on.
    fn new(count: usize) -> Self {
        let clock = ManualClock::new();
        let mut view = FleetView::new();
        for number in 1..=count {
            let address = format!("10.0.0.{number}:80");
            let versioned_entry = VersionedEntry {
                id: format!("i-{number}").into(),
                position: position(number as u64),
                value: Some(entry(SERVICE, &address, ServingState::Ready)),
            };
            view.apply(&versioned_entry, clock.now());
        }
        let mut selector = InstanceSelector::new("dc-1".into(), 7);
        selector.update(&view, clock.now());
        Self {
            clock,
            view,
            selector,
        }
    }

    /// Sends requests at intervals of 10 ms, finishes each with the result that `attempt` returns,
    /// and counts them by instance.
    fn run(
        &mut self,
        count: usize,
        needs_slot: bool,
        attempt: impl Fn(&str) -> (InstanceResult, LoadReport, Duration),
    ) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let route = SmolStr::new(ROUTE);
        for _ in 0..count {
            let now = self.clock.now();
            let request = SelectionRequest {
                service: SERVICE,
                route: ROUTE,
                latency_target: LATENCY_TARGET,
                needs_slot,
            };
            let Some(selected) = self.selector.select(request, &[], now) else {
                continue;
            };
            *counts.entry(selected.id.to_string()).or_default() += 1;
            let (result, report, time) = attempt(&selected.id);
            let time = (result == InstanceResult::Responded).then_some((&route, time));
            self.selector.record_report(selected.key, report, time, now);
            self.selector.record_result(selected.key, result, now);
            self.clock.advance(Duration::from_millis(10));
        }
        counts
    }
}

fn ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn low_load() -> LoadReport {
    LoadReport {
        in_flight: 1,
        queued: 0,
        queued_calls: 0,
        limit: 9,
    }
}

fn share(counts: &BTreeMap<String, usize>, id: &str) -> f64 {
    let total: usize = counts.values().sum();
    counts.get(id).copied().unwrap_or(0) as f64 / total as f64
}

/// Guards against an instance that fails immediately, appears fast because of that, and attracts
/// the load of the whole service.
#[test]
fn fast_failing_instance_attracts_no_load() {
    let mut scenario = Scenario::new(3);
    let counts = scenario.run(1_000, false, |id| {
        let result = if id == "i-1" {
            InstanceResult::Failed
        } else {
            InstanceResult::Responded
        };
        (result, low_load(), Duration::from_millis(50))
    });
    assert!(share(&counts, "i-1") < 0.1, "{counts:?}");
}

/// Guards against a selection that ignores the measured service times.
#[test]
fn faster_instance_gets_more_requests() {
    let mut scenario = Scenario::new(2);
    let counts = scenario.run(1_000, false, |id| {
        let time = if id == "i-1" { 20 } else { 60 };
        (
            InstanceResult::Responded,
            low_load(),
            Duration::from_millis(time),
        )
    });
    assert!(share(&counts, "i-1") > 0.6, "{counts:?}");
}

/// Guards against root requests that are refused at the fastest instance, whose slots are taken by
/// nested calls, while a slower instance has free slots.
#[test]
fn root_requests_go_to_free_slots_first() {
    let mut scenario = Scenario::new(2);
    let attempt = |id: &str| {
        let (in_flight, time) = if id == "i-1" { (9, 20) } else { (1, 60) };
        let report = LoadReport {
            in_flight,
            ..low_load()
        };
        (
            InstanceResult::Responded,
            report,
            Duration::from_millis(time),
        )
    };
    scenario.run(50, false, attempt);
    let counts = scenario.run(200, true, attempt);
    assert!(share(&counts, "i-2") > 0.9, "{counts:?}");
}

/// Guards against requests that wait for a connection to instances behind a network partition.
#[test]
fn unreachable_and_leaving_instances_get_no_requests() {
    let mut scenario = Scenario::new(3);
    let now = scenario.clock.now();
    scenario.selector.set_reachable(ip(1), false);
    scenario.selector.set_leaving(ip(2), true, now);
    let attempt = |_: &str| {
        (
            InstanceResult::Responded,
            low_load(),
            Duration::from_millis(50),
        )
    };
    let counts = scenario.run(50, false, attempt);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["i-3"]);
    scenario.selector.set_reachable(ip(3), false);
    assert!(!scenario.selector.can_reach(SERVICE, now));
    scenario.selector.set_reachable(ip(1), true);
    assert!(scenario.selector.can_reach(SERVICE, now));
}

/// Guards against requests to a daemon that stops sending messages without an error on any
/// connection.
#[test]
fn instance_with_missing_load_messages_is_tried_last() {
    let mut scenario = Scenario::new(2);
    let interval = Duration::from_millis(400);
    scenario.selector.set_load_interval(interval);
    scenario.selector.set_last_seen(ip(1), scenario.clock.now());
    scenario.clock.advance(4 * interval);
    scenario.selector.set_last_seen(ip(2), scenario.clock.now());
    let attempt = |_: &str| {
        (
            InstanceResult::Responded,
            low_load(),
            Duration::from_millis(50),
        )
    };
    let counts = scenario.run(20, false, attempt);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["i-2"]);
}

/// Guards against a daemon that stays ready although it reaches no peers, and against one that is
/// not ready in a data centre that is cut off and has to keep serving.
#[test]
fn only_a_daemon_that_reaches_almost_no_peers_is_isolated() {
    let mut scenario = Scenario::new(9);
    for number in 1..=6 {
        scenario.selector.set_reachable(ip(number), false);
    }
    assert!(!scenario.selector.is_isolated());
    for number in 7..=8 {
        scenario.selector.set_reachable(ip(number), false);
    }
    assert!(scenario.selector.is_isolated());
}

/// Guards against a server that restarts under its old id and stays ejected for its earlier
/// failures.
#[test]
fn restart_under_the_same_id_resets_failures() {
    let mut scenario = Scenario::new(2);
    let failing = |id: &str| {
        let result = if id == "i-1" {
            InstanceResult::Failed
        } else {
            InstanceResult::Responded
        };
        (result, low_load(), Duration::from_millis(50))
    };
    scenario.run(100, false, failing);
    let mut restarted = entry(SERVICE, "10.0.0.1:80", ServingState::Ready);
    restarted.started_ms = Some(2);
    let versioned_entry = VersionedEntry {
        id: "i-1".into(),
        position: position(9),
        value: Some(restarted),
    };
    let now = scenario.clock.now();
    scenario.view.apply(&versioned_entry, now);
    scenario.selector.update(&scenario.view, now);
    let attempt = |_: &str| {
        (
            InstanceResult::Responded,
            low_load(),
            Duration::from_millis(50),
        )
    };
    let counts = scenario.run(50, false, attempt);
    assert!(share(&counts, "i-1") > 0.3, "{counts:?}");
}

/// Guards against traffic between data centres that gains callers little, and against callers that
/// wait for a local instance that is much slower or nearly full.
#[test]
fn local_instance_is_selected_while_it_is_fast_and_has_free_slots() {
    for (local_ms, in_flight, is_local) in [(80, 1, true), (150, 1, false), (80, 8, false)] {
        let mut scenario = Scenario::new(2);
        let remote = VersionedEntry {
            id: "i-2".into(),
            position: position(3),
            value: Some(BackendEntry {
                data_centre: "dc-2".into(),
                ..entry(SERVICE, "10.0.0.2:80", ServingState::Ready)
            }),
        };
        scenario.view.apply(&remote, scenario.clock.now());
        scenario
            .selector
            .update(&scenario.view, scenario.clock.now());
        let counts = scenario.run(200, true, |id| {
            let (time, in_flight) = if id == "i-1" {
                (local_ms, in_flight)
            } else {
                (50, 1)
            };
            let load = LoadReport {
                in_flight,
                ..low_load()
            };
            let time = Duration::from_millis(time);
            (InstanceResult::Responded, load, time)
        });
        let share = share(&counts, "i-1");
        assert_eq!(share > 0.5, is_local, "{local_ms} ms, {in_flight}: {share}");
    }
}

/// Guards against two attempts of a request at one backend server, because two entries have its
/// address: the entry of a server that crashed stays until it expires.
#[test]
fn server_with_two_entries_is_selected_once() {
    let mut scenario = Scenario::new(2);
    let now = scenario.clock.now();
    // The last one is the entry of an earlier start, which a restored store shows again.
    for (id, revision, started_ms) in [("i-3", 8, 1), ("i-4", 9, 0)] {
        let mut restarted = entry(SERVICE, "10.0.0.1:80", ServingState::Ready);
        restarted.started_ms = Some(started_ms);
        let versioned_entry = VersionedEntry {
            id: id.into(),
            position: position(revision),
            value: Some(restarted),
        };
        scenario.view.apply(&versioned_entry, now);
    }
    scenario.selector.update(&scenario.view, now);
    let counts = scenario.run(50, false, |_| {
        let time = Duration::from_millis(50);
        (InstanceResult::Responded, low_load(), time)
    });
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["i-2", "i-3"]);
    let tried = ["10.0.0.1:80", "10.0.0.2:80"].map(|text| text.parse().expect("an address"));
    let request = SelectionRequest {
        service: SERVICE,
        route: ROUTE,
        latency_target: LATENCY_TARGET,
        needs_slot: false,
    };
    let selected = scenario.selector.select(request, &tried[..1], now);
    assert_eq!(selected.map(|selected| selected.id), Some("i-2".into()));
    assert_eq!(scenario.selector.select(request, &tried, now), None);
}
