//! Times at which daemons send their load, in fleets of hundreds.

use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        instance_selector::LoadReport,
        load_schedule::{LoadSchedule, PLAN_INTERVAL, regular_interval},
        load_summary::LoadSummary,
    },
};
use std::{net::IpAddr, time::Duration};

const MEMBERS: usize = 194;

fn summary(in_flight: u32) -> LoadSummary {
    LoadSummary {
        daemon_id: 1,
        ip: IpAddr::from([10, 0, 0, 1]),
        service: "deep".into(),
        load: LoadReport {
            in_flight,
            queued: 0,
            queued_calls: 0,
            limit: 100,
        },
        entered_requests: Vec::new(),
        runs: Vec::new(),
        calls: Vec::new(),
    }
}

/// Returns the number of messages that a daemon sends in ten seconds.
fn messages(summary: &LoadSummary, members: usize, service_daemons: usize) -> usize {
    let clock = ManualClock::new();
    let mut schedule = LoadSchedule::default();
    let plans = Duration::from_secs(10).as_millis() / PLAN_INTERVAL.as_millis();
    let is_due = |_: &u128| {
        let is_due = schedule.is_due(summary, members, service_daemons, clock.now());
        clock.advance(PLAN_INTERVAL);
        is_due
    };
    (0..plans).filter(is_due).count()
}

/// Guards against an overload of a service with few instances that becomes known as late as that of
/// any other, and against urgent messages of a service so large that they would load all daemons.
#[test]
fn load_of_a_short_service_is_sent_at_each_plan() {
    assert_eq!(messages(&summary(90), MEMBERS, 10), 25);
    assert_eq!(messages(&summary(50), MEMBERS, 10), 5);
    let large_service = messages(&summary(90), MEMBERS, 90);
    assert!(large_service <= 6, "{large_service}");
    assert_eq!(messages(&summary(50), 13, 3), 25);
}

/// Guards against a daemon that becomes a reader of the store and that its peers do not know as one.
#[test]
fn advanced_message_is_sent_at_the_next_plan() {
    let clock = ManualClock::new();
    let mut schedule = LoadSchedule::default();
    assert!(schedule.is_due(&summary(0), MEMBERS, 10, clock.now()));
    clock.advance(PLAN_INTERVAL);
    assert!(!schedule.is_due(&summary(0), MEMBERS, 10, clock.now()));
    schedule.advance();
    assert!(schedule.is_due(&summary(0), MEMBERS, 10, clock.now()));
}

/// Guards against an interval that overflows for a view of any size.
#[test]
fn interval_is_defined_for_any_number_of_members() {
    assert_eq!(regular_interval(0), PLAN_INTERVAL);
    assert!(regular_interval(usize::MAX) > regular_interval(2_300));
}
