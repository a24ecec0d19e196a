//! Thresholds, retry budgets and refusals as a daemon applies them.

use skylarkstream::{
    controller::{retry_budgets::RetryBudgets, threshold_controller::ThresholdController},
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

fn with_received_thresholds(calls: &[&str], now: Instant) -> ThresholdController {
    let calls: Vec<_> = calls.iter().map(|name| (*name).into()).collect();
    let thresholds = ThresholdController::new(&calls);
    for _ in 0..200 {
        thresholds.apply_header("stand-status=2.7.0,bad,crew-roster=x, gates=7.65535.1", now);
    }
    thresholds
}

/// Guards against a threshold that is received in a response but missing in the daemon's own
/// responses, and against malformed entries that keep valid ones from being applied.
#[test]
fn received_thresholds_are_passed_on() {
    let now = Instant::now();
    let thresholds = with_received_thresholds(&["stand-status"], now);
    assert!(!thresholds.admits(REFUSED, now));
    assert_eq!(
        thresholds.header("tug-dispatch", RequestPriority::LOWEST, now),
        "tug-dispatch=7.65535.1,stand-status=2.7.0,gates=7.65535.1"
    );
}

/// Guards against an overloaded service that causes the shedding of requests that do not call it.
#[test]
fn threshold_of_one_of_two_called_services_sheds_only_its_calls() {
    let now = Instant::now();
    let thresholds = with_received_thresholds(&["stand-status", "documents"], now);
    assert!(thresholds.admits(REFUSED, now));
    assert!(thresholds.admits_call("documents", REFUSED, now));
    assert!(!thresholds.admits_call("stand-status", REFUSED, now));
}

/// Guards against a retry budget that grows with first attempts at another service.
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

/// Guards against refused callers that all get the same `Retry-After`, so that they return at once.
#[test]
fn refusal_carries_a_spread_retry_after() {
    let refusal = RequestError::Shed(ShedReason::Threshold);
    let later = RequestPriority {
        rank: 49_152,
        ..REFUSED
    };
    let limits = RetryLimits {
        retry_after_ms: 4_000,
        retry_after_window_ms: 4_000,
        ..RetryLimits::default()
    };
    let spread = RetryAfter::for_profile(&limits);
    let times = [REFUSED, later].map(|priority| refusal.to_response_for(priority, &spread));
    let seconds = times.map(|response| response.headers()["retry-after"].clone());
    assert_eq!(seconds, ["4", "7"]);
}
