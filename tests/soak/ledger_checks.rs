//! The ledger reports each broken promise, so that a quiet day means something.

use crate::ledger::{Arrival, Ledger, SeenEnd, SentRequest, TroubleSpan};
use std::time::{Duration, Instant};

const HEAD: &str = "POST /once/x HTTP/1.1\r\nCaller-Service: sa\r\n\r\nbody";

fn sent(is_once: bool) -> SentRequest {
    SentRequest {
        origin: "sa".to_owned(),
        machine: 0,
        line: "POST /once/x".to_owned(),
        body: "body".to_owned(),
        is_once,
        services: vec!["sb".to_owned()],
        is_call_of_repeat: false,
        sent: Instant::now(),
    }
}

fn run(instance: &str, service: &str) -> Arrival {
    Arrival {
        instance: instance.to_owned(),
        service: service.to_owned(),
        at: Instant::now(),
        is_run: true,
        answer: Some(("200".to_owned(), "g".to_owned(), "b".to_owned())),
    }
}

fn answer(status: &str, signature: Option<&str>, body: &str) -> SeenEnd {
    SeenEnd::Answer {
        status: status.to_owned(),
        signature: signature.map(str::to_owned),
        attempt: Some("t".to_owned()),
        body: body.to_owned(),
    }
}

/// Plays one request and returns what the ledger says of it.
fn faults(sent: Option<SentRequest>, arrivals: &[(&str, Arrival)], end: SeenEnd) -> String {
    let ledger = Ledger::default();
    if let Some(sent) = sent {
        ledger.on_sent("t", sent);
    }
    for (head, arrival) in arrivals {
        ledger.on_arrival("t", head, arrival.clone());
    }
    ledger.on_end("t", end);
    ledger.broken_promises(true).join("; ")
}

#[test]
fn sound_request_breaks_nothing() {
    let arrivals = [(HEAD, run("i", "sb"))];
    let end = answer("200", Some("g"), "b");
    assert_eq!(faults(Some(sent(true)), &arrivals, end), "");
}

#[test]
fn second_run_of_a_request_that_may_run_once_is_reported() {
    let arrivals = [(HEAD, run("i", "sb")), (HEAD, run("j", "sb"))];
    let end = answer("200", Some("g"), "b");
    assert!(faults(Some(sent(true)), &arrivals, end).contains("TWICE"));
}

#[test]
fn refusal_after_a_run_is_reported() {
    let arrivals = [(HEAD, run("i", "sb"))];
    let end = answer("503", None, "");
    assert!(faults(Some(sent(true)), &arrivals, end).contains("REFUSED"));
}

#[test]
fn answers_that_no_backend_server_made_are_reported() {
    let arrivals = [(HEAD, run("i", "sb"))];
    for end in [
        answer("200", None, "b"),
        answer("200", Some("g"), "other"),
        answer("500", Some("g"), "b"),
    ] {
        assert!(faults(Some(sent(true)), &arrivals, end).contains("MIXED"));
    }
}

#[test]
fn changed_or_unknown_requests_are_reported() {
    let end = || answer("200", Some("g"), "b");
    let changed = HEAD.replace("body", "bode");
    let found = faults(Some(sent(true)), &[(&changed, run("i", "sb"))], end());
    assert!(found.contains("UNASKED"), "{found}");
    let found = faults(None, &[(HEAD, run("i", "sb"))], end());
    assert!(found.contains("UNASKED"), "{found}");
    let found = faults(Some(sent(true)), &[(HEAD, run("i", "sc"))], end());
    assert!(found.contains("ROUTE"), "{found}");
}

#[test]
fn lost_connections_are_reported_unless_the_process_was_killed() {
    let arrivals = [(HEAD, run("i", "sb"))];
    let end = || SeenEnd::Closed(Instant::now());
    assert!(faults(Some(sent(true)), &arrivals, end()).contains("LOST"));
    let ledger = Ledger::default();
    ledger.on_sent("t", sent(true));
    ledger.on_arrival("t", HEAD, run("i", "sb"));
    ledger.on_end("t", end());
    ledger.on_trouble(TroubleSpan {
        machine: Some(0),
        is_kill: true,
        begin: Instant::now(),
        end: Instant::now(),
    });
    assert!(ledger.broken_promises(true).is_empty());
}

#[test]
fn too_many_repeats_are_reported() {
    let ledger = Ledger::default();
    for number in 0..30 {
        let attempt = format!("t{number}");
        ledger.on_sent(&attempt, sent(false));
        ledger.on_arrival(&attempt, HEAD, run("i", "sb"));
        ledger.on_arrival(&attempt, HEAD, run("j", "sb"));
    }
    let found = ledger.broken_promises(false).join("; ");
    assert!(found.contains("BUDGET"), "{found}");
}

#[test]
fn work_for_an_instance_that_left_is_reported() {
    let ledger = Ledger::default();
    ledger.on_sent("t", sent(false));
    ledger.on_draining("i");
    let mut late = run("i", "sb");
    late.at += Duration::from_secs(4);
    ledger.on_arrival("t", HEAD, late);
    ledger.on_end("t", answer("200", Some("g"), "b"));
    let found = ledger.broken_promises(true).join("; ");
    assert!(found.contains("DRAIN"), "{found}");
}
