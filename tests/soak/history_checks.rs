//! Tests that the history reports each kind of violation. Otherwise a round without violations
//! would show nothing.

use crate::{
    announcements::{CRASH_PATH, LimitSpan},
    history::{Arrival, FaultSpan, History, ObservedResult, SentRequest},
};
use std::time::{Duration, Instant};

const HEAD: &str = "POST /once/x HTTP/1.1\r\nCaller-Service: sa\r\n\r\nbody";

fn sent(is_at_most_once: bool) -> SentRequest {
    SentRequest {
        caller_service: "sa".to_owned(),
        machine: 0,
        method_and_path: "POST /once/x".to_owned(),
        body: "body".to_owned(),
        is_at_most_once,
        allowed_services: vec!["sb".to_owned()],
        is_call_of_retry: false,
        sent_at: Instant::now(),
    }
}

fn run(instance: &str, service: &str) -> Arrival {
    Arrival {
        instance: instance.to_owned(),
        service: service.to_owned(),
        arrived_at: Instant::now(),
        is_run: true,
        response: Some(("200".to_owned(), "g".to_owned(), "b".to_owned())),
    }
}

fn response(status: &str, signature: Option<&str>, body: &str) -> ObservedResult {
    ObservedResult::Response {
        status: status.to_owned(),
        signature: signature.map(str::to_owned),
        attempt_id: Some("t".to_owned()),
        body: body.to_owned(),
    }
}

/// Records one request and returns the violations that the history reports.
fn violations(
    sent: Option<SentRequest>,
    arrivals: &[(&str, Arrival)],
    result: ObservedResult,
) -> String {
    let history = History::default();
    if let Some(sent) = sent {
        history.record_sent("t", sent);
    }
    for (head, arrival) in arrivals {
        history.record_arrival("t", head, arrival.clone());
    }
    history.record_result("t", result);
    history.violations(true).join("; ")
}

#[test]
fn correct_request_has_no_violation() {
    let arrivals = [(HEAD, run("i", "sb"))];
    let result = response("200", Some("g"), "b");
    assert_eq!(violations(Some(sent(true)), &arrivals, result), "");
}

#[test]
fn second_run_of_an_at_most_once_request_is_reported() {
    let arrivals = [(HEAD, run("i", "sb")), (HEAD, run("j", "sb"))];
    let result = response("200", Some("g"), "b");
    assert!(violations(Some(sent(true)), &arrivals, result).contains("TWICE"));
}

#[test]
fn refusal_after_a_run_is_reported() {
    let arrivals = [(HEAD, run("i", "sb"))];
    let result = response("503", None, "");
    assert!(violations(Some(sent(true)), &arrivals, result).contains("REFUSED"));
}

#[test]
fn responses_that_no_backend_server_sent_are_reported() {
    let arrivals = [(HEAD, run("i", "sb"))];
    for result in [
        response("200", None, "b"),
        response("200", Some("g"), "other"),
        response("500", Some("g"), "b"),
    ] {
        assert!(violations(Some(sent(true)), &arrivals, result).contains("MIXED"));
    }
}

#[test]
fn changed_or_unknown_requests_are_reported() {
    let result = || response("200", Some("g"), "b");
    let changed = HEAD.replace("body", "bode");
    let found = violations(Some(sent(true)), &[(&changed, run("i", "sb"))], result());
    assert!(found.contains("UNASKED"), "{found}");
    let found = violations(None, &[(HEAD, run("i", "sb"))], result());
    assert!(found.contains("UNASKED"), "{found}");
    let found = violations(Some(sent(true)), &[(HEAD, run("i", "sc"))], result());
    assert!(found.contains("ROUTE"), "{found}");
}

#[test]
fn lost_connections_are_reported_unless_the_process_was_killed() {
    let arrivals = [(HEAD, run("i", "sb"))];
    let result = || ObservedResult::Closed(Instant::now());
    assert!(violations(Some(sent(true)), &arrivals, result()).contains("LOST"));
    let history = History::default();
    history.record_sent("t", sent(true));
    history.record_arrival("t", HEAD, run("i", "sb"));
    history.record_result("t", result());
    history.record_fault_span(FaultSpan {
        machine: Some(0),
        is_kill: true,
        begin: Instant::now(),
        end: Instant::now(),
    });
    assert!(history.violations(true).is_empty());
}

#[test]
fn too_many_retries_are_reported() {
    let history = History::default();
    for number in 0..30 {
        let attempt_id = format!("t{number}");
        history.record_sent(&attempt_id, sent(false));
        history.record_arrival(&attempt_id, HEAD, run("i", "sb"));
        history.record_arrival(&attempt_id, HEAD, run("j", "sb"));
    }
    let found = history.violations(false).join("; ");
    assert!(found.contains("BUDGET"), "{found}");
}

#[test]
fn run_at_a_drained_instance_is_reported() {
    let history = History::default();
    history.record_sent("t", sent(false));
    history.record_draining("i");
    let mut late = run("i", "sb");
    late.arrived_at += Duration::from_secs(4);
    history.record_arrival("t", HEAD, late);
    history.record_result("t", response("200", Some("g"), "b"));
    let found = history.violations(true).join("; ");
    assert!(found.contains("DRAIN"), "{found}");
}

#[test]
fn run_by_an_old_configuration_is_reported() {
    let history = History::default();
    history.record_config(0);
    history.record_config(1);
    let late = Instant::now() + Duration::from_secs(3);
    for (attempt_id, service) in [("t", "sb"), ("u", "sa")] {
        let request = SentRequest {
            sent_at: late,
            allowed_services: vec!["sa".to_owned(), "sb".to_owned()],
            ..sent(false)
        };
        history.record_sent(attempt_id, request);
        let mut arrival = run("i", service);
        arrival.arrived_at = late;
        history.record_arrival(attempt_id, HEAD, arrival);
    }
    let found = history.violations(true).join("; ");
    assert!(found.contains("CONFIG: u was run by sa"), "{found}");
    assert!(!found.contains("CONFIG: t"), "{found}");
}

/// Returns the violations of announcements when requests of machine 0 reach `i` at these times, in
/// milliseconds.
fn announcement_violations(
    history: &History,
    path: &str,
    times_ms: impl Iterator<Item = u64>,
) -> String {
    let begin = Instant::now();
    for time_ms in times_ms {
        let attempt_id = format!("t{time_ms}");
        let mut request = sent(false);
        request.method_and_path = format!("GET {path}");
        request.sent_at = begin + Duration::from_millis(time_ms);
        let mut arrival = run("i", "sb");
        arrival.arrived_at = request.sent_at;
        history.record_sent(&attempt_id, request);
        history.record_arrival(&attempt_id, HEAD, arrival);
    }
    history.announcement_violations().join("; ")
}

#[test]
fn requests_beyond_a_limit_are_reported_after_the_settling_time() {
    let limited = |rate| {
        let history = History::default();
        let begin = Instant::now();
        history.record_limit(LimitSpan {
            instance: "i".to_owned(),
            rate,
            begin,
            end: begin + Duration::from_secs(9),
        });
        let settled = announcement_violations(&history, "/safe/x", (0..2_900).step_by(10));
        assert_eq!(settled, "");
        announcement_violations(&history, "/safe/x", (4_000..8_000).step_by(100))
    };
    assert!(
        limited(5.0).contains("LIMIT: 40 requests"),
        "{}",
        limited(5.0)
    );
    assert_eq!(limited(6.0), "");
}

#[test]
fn requests_to_a_leaving_server_are_reported() {
    let history = History::default();
    history.record_leaving("i");
    let early = announcement_violations(&history, "/safe/x", [0, 1_900].into_iter());
    assert_eq!(early, "");
    let late = announcement_violations(&history, "/safe/x", [2_500].into_iter());
    assert!(late.contains("LEAVING: 1 requests"), "{late}");
}

#[test]
fn runs_of_a_known_culprit_are_reported_unless_its_daemon_had_a_fault() {
    let times = || [0, 10, 20, 1_000, 4_000, 5_000, 6_000, 7_000].into_iter();
    let history = History::default();
    let found = announcement_violations(&history, CRASH_PATH, times());
    assert!(found.contains("CRASH: 4 runs"), "{found}");
    let history = History::default();
    let begin = Instant::now();
    history.record_fault_span(FaultSpan {
        machine: Some(0),
        is_kill: true,
        begin: begin + Duration::from_millis(4_500),
        end: begin + Duration::from_millis(4_600),
    });
    assert_eq!(announcement_violations(&history, CRASH_PATH, times()), "");
}

#[test]
fn run_at_an_instance_that_was_known_to_leave_is_reported_whatever_the_store_does() {
    let history = History::default();
    history.record_sent("t", sent(false));
    history.record_draining("i");
    let begin = Instant::now() + Duration::from_secs(4);
    let mut late = run("i", "sb");
    late.arrived_at = begin + Duration::from_secs(1);
    history.record_arrival("t", HEAD, late);
    history.record_result("t", response("200", Some("g"), "b"));
    let mut span = FaultSpan {
        machine: None,
        is_kill: false,
        begin,
        end: begin + Duration::from_secs(2),
    };
    history.record_fault_span(span);
    let found = history.violations(true).join("; ");
    assert!(found.contains("whose departure was known"), "{found}");
    span.machine = Some(0);
    history.record_fault_span(span);
    assert!(history.violations(true).is_empty());
}
