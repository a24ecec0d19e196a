//! Checks that backend servers get no requests after their departure.

use crate::history::{FAULT_FREE_TIME, FaultSpan, RequestRecord};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time within which a backend server may still get requests after the store has confirmed that it
/// is draining.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Checks that draining instances get no requests after [`DRAIN_PROPAGATION_TIME`]. Requests are
/// excluded if a fault was active between [`FAULT_FREE_TIME`] before the drain and their arrival.
pub fn drain_violations(
    requests: &HashMap<String, RequestRecord>,
    draining: &[(String, Instant)],
    fault_spans: &[FaultSpan],
) -> Vec<String> {
    let mut violations = Vec::new();
    for (instance, confirmed) in draining {
        let arrivals = requests.values().flat_map(|record| &record.arrivals);
        let late_runs = arrivals.filter(|arrival| {
            arrival.instance == *instance
                && arrival.is_run
                && arrival.arrived_at > *confirmed + DRAIN_PROPAGATION_TIME
        });
        let late_runs = late_runs.filter(|arrival| {
            let fault_free_since = confirmed.checked_sub(FAULT_FREE_TIME).unwrap_or(*confirmed);
            !fault_spans
                .iter()
                .any(|span| span.begin <= arrival.arrived_at && span.end >= fault_free_since)
        });
        let late_runs = late_runs.count();
        if late_runs > 0 {
            violations.push(format!(
                "DRAIN: {late_runs} runs at {instance} after its drain"
            ));
        }
    }
    violations
}

/// Checks that instances get no requests again whose departure all daemons knew, also if the store
/// came back from a copy without it. Only a daemon that was restarted since may have to learn it again.
pub fn return_violations(
    requests: &HashMap<String, RequestRecord>,
    draining: &[(String, Instant)],
    fault_spans: &[FaultSpan],
) -> Vec<String> {
    let mut violations = Vec::new();
    for (instance, confirmed) in draining {
        let known = *confirmed + DRAIN_PROPAGATION_TIME;
        let calm_since = confirmed.checked_sub(FAULT_FREE_TIME).unwrap_or(*confirmed);
        let mut spans = fault_spans.iter();
        if spans.any(|span| span.begin <= known && span.end >= calm_since) {
            continue;
        }
        let runs = requests.values().filter(|record| {
            let machine = record.sent.as_ref().map(|sent| sent.machine);
            let mut spans = fault_spans.iter();
            let is_restarted = spans.any(|span| span.machine == machine && span.end >= *confirmed);
            let mut arrivals = record.arrivals.iter();
            !is_restarted
                && arrivals.any(|arrival| {
                    arrival.instance == *instance && arrival.is_run && arrival.arrived_at > known
                })
        });
        let runs = runs.count();
        if runs > 0 {
            violations.push(format!(
                "DRAIN: {runs} runs at {instance}, whose departure was known"
            ));
        }
    }
    violations
}
