//! What callers and backend servers observed, and the checks of the guarantees.
//!
//! Each violation names the guarantee that was violated:
//!
//! - `TWICE`: an at-most-once request was run more than once.
//! - `REFUSED`: an at-most-once request was run although the status of its response rules that out.
//! - `MIXED`: a response belongs to another request or comes from no backend server.
//! - `UNASKED`: a backend server ran a request that no caller sent in this form.
//! - `ROUTE`: no configuration allows the service that ran a request. Follows `UNASKED`.
//! - `BUDGET`: a request was run too often, or a service got too many retries.
//! - `LOST`: a request got no response, and no fault accounts for it.
//! - `CONFIG`: a request was run as only an older configuration allows.
//! - `DRAIN`: a backend server got requests to run too long after its drain began.
//! - `RECOVER`: a daemon does not serve requests after its start or after the last fault.
//! - `END`: a daemon exited unexpectedly, with an error or not in time.
//! - `HARNESS`: the test itself failed.

use crate::{
    announcements::{AnnouncementLog, LimitSpan},
    departures,
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Statuses which guarantee that a request was not run and never will be.
const NOT_RUN_STATUSES: [&str; 4] = ["408", "421", "429", "503"];

/// Time after the last byte of a request within which the daemon may close the connection without
/// having received the request.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(200);

/// Time within which a configuration must be in force everywhere after the store has confirmed it.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);

/// Time without a fault that must precede a drain, or a request that is checked for its
/// configuration.
pub const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Window of the retry budget.
pub const RETRY_BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Retries that the budget allows for each request.
pub const RETRY_BUDGET_RATIO: f64 = 0.2;

/// Retries in a window that the budget allows in addition.
pub const RETRY_BUDGET_SLACK: f64 = 20.0;

/// Most runs of one request, as `max-attempts` of the routes states.
pub const MAX_ATTEMPTS: usize = 2;

/// Request as its sender made it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Service of the sender.
    pub caller_service: String,
    /// Machine of the sender.
    pub machine: usize,
    pub method_and_path: String,
    pub body: String,
    /// Whether the request may run at most once.
    pub is_at_most_once: bool,
    /// Services that may run it in some configuration.
    pub allowed_services: Vec<String>,
    /// Whether this is a nested call of a run that was itself a retry.
    pub is_call_of_retry: bool,
    /// When its last byte was sent.
    pub sent_at: Instant,
}

/// Result of a request as its sender observed it.
#[derive(Clone, Debug)]
pub enum ObservedResult {
    /// A complete response.
    Response {
        status: String,
        signature: Option<String>,
        attempt_id: Option<String>,
        body: String,
    },
    /// The connection was closed before a complete response.
    Closed(Instant),
    /// No response within the deadline and `RESPONSE_MARGIN`.
    TimedOut(Instant),
    /// The sender stopped waiting, or the response is not checked.
    Abandoned,
}

/// Request that reached a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub instance: String,
    pub service: String,
    pub arrived_at: Instant,
    /// Whether the backend server ran it.
    pub is_run: bool,
    /// Status, signature and body of the response, if it was sent correctly.
    pub response: Option<(String, String, String)>,
}

#[derive(Debug, Default)]
pub struct RequestRecord {
    pub sent: Option<SentRequest>,
    pub arrivals: Vec<Arrival>,
    result: Option<ObservedResult>,
}

/// Time during which a fault was active.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// Machine whose requests the fault affects, or `None` if it affects all.
    pub machine: Option<usize>,
    /// Whether the process was killed, which closes its connections.
    pub is_kill: bool,
    pub begin: Instant,
    pub end: Instant,
}

/// What callers and backend servers observed.
#[derive(Default)]
pub struct History {
    requests: Mutex<HashMap<String, RequestRecord>>,
    fault_spans: Mutex<Vec<FaultSpan>>,
    /// Draining instances, each with the time at which the store confirmed its drain.
    draining: Mutex<Vec<(String, Instant)>>,
    /// Configuration versions, each with the time at which the store confirmed it.
    configs: Mutex<Vec<(usize, Instant)>>,
    /// What backend servers announced in their responses.
    announcements: Mutex<AnnouncementLog>,
    /// Violations that were detected during the round.
    recorded_violations: Mutex<Vec<String>>,
}

impl History {
    /// Records a request before its last byte is sent.
    pub fn record_sent(&self, attempt_id: &str, sent: SentRequest) {
        let mut requests = self.requests.lock();
        requests.entry(attempt_id.to_owned()).or_default().sent = Some(sent);
    }

    /// Records the result of a request.
    pub fn record_result(&self, attempt_id: &str, result: ObservedResult) {
        let mut requests = self.requests.lock();
        requests.entry(attempt_id.to_owned()).or_default().result = Some(result);
    }

    /// Records that a request reached a backend server; returns how often it had done so before.
    pub fn record_arrival(&self, attempt_id: &str, head: &str, arrival: Arrival) -> usize {
        let mut requests = self.requests.lock();
        let record = requests.entry(attempt_id.to_owned()).or_default();
        let index = record.arrivals.len();
        if arrival.is_run {
            let reason = match &record.sent {
                None => Some("no caller sent it".to_owned()),
                Some(sent) => sent.mismatch(head, &arrival.service),
            };
            if let Some(reason) = reason {
                self.record_violation(format!(
                    "UNASKED {attempt_id} at {}: {reason}",
                    arrival.instance
                ));
            }
        }
        record.arrivals.push(arrival);
        index
    }

    /// Records the response that a backend server sends for an arrival.
    pub fn record_response(
        &self,
        attempt_id: &str,
        index: usize,
        response: (String, String, String),
    ) {
        let mut requests = self.requests.lock();
        let record = requests.get_mut(attempt_id);
        if let Some(arrival) = record.and_then(|record| record.arrivals.get_mut(index)) {
            arrival.response = Some(response);
        }
    }

    /// Records the time span of a fault.
    pub fn record_fault_span(&self, span: FaultSpan) {
        self.fault_spans.lock().push(span);
    }

    /// Records that the store has confirmed that an instance is draining.
    pub fn record_draining(&self, instance: &str) {
        let mut draining = self.draining.lock();
        draining.push((instance.to_owned(), Instant::now()));
    }

    /// Records that an instance named a limit for a time.
    pub fn record_limit(&self, span: LimitSpan) {
        self.announcements.lock().limits.push(span);
    }

    /// Records that an instance has announced in a response that it leaves.
    pub fn record_leaving(&self, instance: &str) {
        let mut announcements = self.announcements.lock();
        let leaving = &mut announcements.leaving;
        if !leaving.iter().any(|(known, _)| known == instance) {
            leaving.push((instance.to_owned(), Instant::now()));
        }
    }

    /// Returns the violations of what backend servers announced, for rounds in which only daemons
    /// have faults.
    pub fn announcement_violations(&self) -> Vec<String> {
        let requests = self.requests.lock();
        let records = requests.values();
        let arrivals: Vec<(&SentRequest, &Arrival)> = records
            .filter_map(|record| Some((record.sent.as_ref()?, &record.arrivals)))
            .flat_map(|(sent, arrivals)| arrivals.iter().map(move |arrival| (sent, arrival)))
            .collect();
        let announcements = self.announcements.lock();
        announcements.violations(&arrivals, &self.fault_spans.lock())
    }

    /// Records that the store is about to confirm a configuration.
    pub fn record_config(&self, version: usize) {
        self.configs.lock().push((version, Instant::now()));
    }

    /// Records a violation that was detected during the round.
    pub fn record_violation(&self, violation: String) {
        self.recorded_violations.lock().push(violation);
    }

    /// Returns the number of requests, of successful ones and of runs.
    pub fn counts(&self) -> (usize, usize, usize) {
        let requests = self.requests.lock();
        let successes = requests.values().filter(|record| record.is_success());
        let runs = requests.values().flat_map(|record| &record.arrivals);
        (
            requests.len(),
            successes.count(),
            runs.filter(|arrival| arrival.is_run).count(),
        )
    }

    /// Returns all violations. `checks_time_bounds` adds those of guarantees with a time bound.
    pub fn violations(&self, checks_time_bounds: bool) -> Vec<String> {
        let mut violations = self.recorded_violations.lock().clone();
        let requests = self.requests.lock();
        let fault_spans = self.fault_spans.lock();
        for (attempt_id, record) in requests.iter() {
            let found = record.violations(&fault_spans);
            violations.extend(
                found
                    .iter()
                    .map(|violation| format!("{attempt_id}: {violation}")),
            );
        }
        violations.extend(retry_budget_violations(&requests));
        if checks_time_bounds {
            violations.extend(config_violations(
                &requests,
                &self.configs.lock(),
                &fault_spans,
            ));
            let draining = self.draining.lock();
            violations.extend(departures::drain_violations(
                &requests,
                &draining,
                &fault_spans,
            ));
            violations.extend(departures::return_violations(
                &requests,
                &draining,
                &fault_spans,
            ));
        }
        violations.sort();
        violations
    }
}

impl SentRequest {
    fn mismatch(&self, head: &str, service: &str) -> Option<String> {
        let (lines, body) = head.split_once("\r\n\r\n")?;
        if !lines.starts_with(&format!("{} HTTP/1.1\r\n", self.method_and_path)) {
            return Some("method or path differs".to_owned());
        }
        if body != self.body {
            return Some("body differs".to_owned());
        }
        let caller = crate::http_text::field(lines, "caller-service");
        if caller.as_deref() != Some(self.caller_service.as_str()) {
            return Some(format!("Caller-Service is {caller:?}"));
        }
        if !self
            .allowed_services
            .iter()
            .any(|allowed| allowed == service)
        {
            return Some(format!("ROUTE: no configuration allows service {service}"));
        }
        None
    }
}

impl RequestRecord {
    fn is_success(&self) -> bool {
        matches!(
            &self.result,
            Some(ObservedResult::Response { status, .. }) if status.starts_with('2')
        )
    }

    fn violations(&self, fault_spans: &[FaultSpan]) -> Vec<String> {
        let mut violations = Vec::new();
        let Some(sent) = &self.sent else {
            return violations;
        };
        let runs = self.arrivals.iter().filter(|arrival| arrival.is_run);
        let runs = runs.count();
        if sent.is_at_most_once && runs > 1 {
            violations.push(format!("TWICE: {runs} runs of an at-most-once request"));
        }
        if runs > MAX_ATTEMPTS {
            violations.push(format!("BUDGET: {runs} runs of one request"));
        }
        let overlaps_fault = |only_kills: bool, end: Instant| {
            fault_spans.iter().any(|span| {
                (span.is_kill || !only_kills)
                    && span.machine.is_none_or(|machine| machine == sent.machine)
                    && span.begin <= end + CLOSE_RACE_TIME
                    && span.end + CLOSE_RACE_TIME >= sent.sent_at
            })
        };
        match &self.result {
            Some(ObservedResult::Response {
                status,
                signature,
                attempt_id,
                body,
            }) => {
                if attempt_id.is_none() {
                    violations.push(format!("MIXED: {status} without Attempt-Id"));
                }
                if sent.is_at_most_once && runs > 0 && NOT_RUN_STATUSES.contains(&status.as_str()) {
                    violations.push(format!("REFUSED: {status} after {runs} runs"));
                }
                let is_from_backend = signature.as_ref().is_some_and(|signature| {
                    let responses = self
                        .arrivals
                        .iter()
                        .filter_map(|arrival| arrival.response.as_ref());
                    let observed = (status, signature, body);
                    responses
                        .into_iter()
                        .any(|(status, signature, body)| (status, signature, body) == observed)
                });
                if (status.starts_with('2') || signature.is_some()) && !is_from_backend {
                    violations.push(format!(
                        "MIXED: {status} response that no backend server sent"
                    ));
                }
            }
            Some(ObservedResult::Closed(at)) => {
                let is_late = *at > sent.sent_at + CLOSE_RACE_TIME;
                if (!self.arrivals.is_empty() || is_late) && !overlaps_fault(true, *at) {
                    violations.push(format!(
                        "LOST: connection closed after {:?} with {runs} runs",
                        *at - sent.sent_at
                    ));
                }
            }
            Some(ObservedResult::TimedOut(at)) if !overlaps_fault(false, *at) => {
                violations.push("LOST: no response".to_owned());
            }
            _ => {}
        }
        violations
    }
}

/// Checks the retries at each service in each window that begins with a retry. The requests are
/// counted in windows that begin up to 10 s earlier, since they also allow retries that come later.
fn retry_budget_violations(records: &HashMap<String, RequestRecord>) -> Vec<String> {
    let mut requests_by_service = HashMap::<&str, Vec<Instant>>::new();
    let mut retries_by_service = HashMap::<&str, Vec<Instant>>::new();
    for record in records.values() {
        let Some(request) = &record.sent else {
            continue;
        };
        for service in &request.allowed_services {
            requests_by_service
                .entry(service)
                .or_default()
                .push(request.sent_at);
        }
        for (index, arrival) in record.arrivals.iter().enumerate() {
            if index > 0 || request.is_call_of_retry {
                retries_by_service
                    .entry(&arrival.service)
                    .or_default()
                    .push(arrival.arrived_at);
            }
        }
    }
    let mut violations = Vec::new();
    for (service, mut retry_times) in retries_by_service {
        retry_times.sort();
        let none = Vec::new();
        let request_times = requests_by_service.get(service).unwrap_or(&none);
        let count = |times: &[Instant], begin: Instant| {
            let in_window = times
                .iter()
                .filter(|at| **at >= begin && **at < begin + RETRY_BUDGET_WINDOW);
            in_window.count() as f64
        };
        for begin in &retry_times {
            let retries = count(&retry_times, *begin);
            let requests = [0, 5, 10].map(|earlier_s| {
                let begin = begin
                    .checked_sub(Duration::from_secs(earlier_s))
                    .unwrap_or(*begin);
                count(request_times, begin)
            });
            let requests = requests.into_iter().fold(0.0, f64::max);
            if retries > requests * RETRY_BUDGET_RATIO + RETRY_BUDGET_SLACK {
                violations.push(format!(
                    "BUDGET: {retries} retries for {requests} requests at {service}"
                ));
                break;
            }
        }
    }
    violations
}

/// Checks that each request is run by a service that some configuration allows which may still be in
/// force. Configuration `version` assigns a route to the service at `version` modulo the number of
/// its services. Requests with a fault within [`FAULT_FREE_TIME`] before them are excluded.
fn config_violations(
    requests: &HashMap<String, RequestRecord>,
    configs: &[(usize, Instant)],
    fault_spans: &[FaultSpan],
) -> Vec<String> {
    let mut violations = Vec::new();
    for (attempt_id, record) in requests {
        let Some(sent) = &record.sent else {
            continue;
        };
        let in_time = |confirmed: Instant| confirmed + CONFIG_APPLY_TIME < sent.sent_at;
        let known = configs.iter().rfind(|(_, confirmed)| in_time(*confirmed));
        let is_excluded = fault_spans
            .iter()
            .any(|span| span.begin <= sent.sent_at && span.end + FAULT_FREE_TIME >= sent.sent_at);
        let Some((oldest, _)) = known.filter(|_| !is_excluded) else {
            continue;
        };
        let services = &sent.allowed_services;
        for arrival in record.arrivals.iter().filter(|arrival| arrival.is_run) {
            let mut versions = configs.iter().filter(|(version, confirmed)| {
                version >= oldest && *confirmed <= arrival.arrived_at
            });
            if !versions.any(|(version, _)| services[version % services.len()] == arrival.service) {
                violations.push(format!(
                    "CONFIG: {attempt_id} was run by {} although version {oldest} was confirmed",
                    arrival.service
                ));
            }
        }
    }
    violations
}
