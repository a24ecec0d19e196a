//! Thresholds and budgets as the daemon keeps them.

use skylarkstream::{
    controller::{overload_controller::OverloadController, retry_budgets::RetryBudgets},
    decision::{
        admission::admission_gate::ShedReason, profile::service_profile::RetryLimits,
        request_priority::RequestPriority, retry::retry_after::RetryAfter,
    },
    filter::request_error::RequestError,
};
use std::time::Instant;

const REFUSED: RequestPriority = RequestPriority {
    class: 5,
    rank: 9,
    retry: false,
};

fn learned(calls: &[&str], now: Instant) -> OverloadController {
    let calls: Vec<_> = calls.iter().map(|name| (*name).into()).collect();
    let overload = OverloadController::new(&calls);
    for _ in 0..200 {
        overload.apply_header("stand-status=2.7.0,bad,crew-roster=x, gates=7.65535.1", now);
    }
    overload
}

/// Guards against a threshold that is lost between the response of one hop and that of the next,
/// and against bad entries that hide good ones.
#[test]
fn thresholds_travel_on() {
    let now = Instant::now();
    let overload = learned(&["stand-status"], now);
    assert!(!overload.admits(REFUSED, now));
    assert_eq!(
        overload.header("tug-dispatch", RequestPriority::LOWEST, now),
        "tug-dispatch=7.65535.1,stand-status=2.7.0,gates=7.65535.1"
    );
}

/// Guards against an overloaded service that sheds requests which never call it.
#[test]
fn threshold_of_one_of_two_called_services_sheds_only_its_calls() {
    let now = Instant::now();
    let overload = learned(&["stand-status", "documents"], now);
    assert!(overload.admits(REFUSED, now));
    assert!(overload.admits_call("documents", REFUSED, now));
    assert!(!overload.admits_call("stand-status", REFUSED, now));
}

/// Guards against a budget that the first attempts at another service fill up.
#[test]
fn budgets_are_kept_for_each_service() {
    let now = Instant::now();
    let budgets = RetryBudgets::new(&["stand-status".into(), "documents".into()]);
    let limits = RetryLimits::default();
    for _ in 0..10 {
        budgets.record_first("stand-status", &limits, now);
    }
    assert!(!budgets.take_extra("documents", now));
    assert!(budgets.take_extra("stand-status", now));
    assert!(!budgets.take_extra("stand-status", now));
}

/// Guards against refused callers that are all told the same time to come back.
#[test]
fn refusal_carries_the_spread_time() {
    let refusal = RequestError::Shed(ShedReason::Threshold);
    let late = RequestPriority {
        rank: 49_152,
        ..REFUSED
    };
    let limits = RetryLimits {
        retry_after_ms: 4_000,
        retry_after_window_ms: 4_000,
        ..RetryLimits::default()
    };
    let spread = RetryAfter::for_profile(&limits);
    let times = [REFUSED, late].map(|priority| refusal.to_response_for(priority, &spread));
    let seconds = times.map(|response| response.headers()["retry-after"].clone());
    assert_eq!(seconds, ["4", "7"]);
}
