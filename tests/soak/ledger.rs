//! What callers and backend servers saw, and the promises that must hold on it.

use parking_lot::Mutex;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Statuses that promise that a request was not run and never will be.
const REFUSALS: [&str; 4] = ["408", "421", "429", "503"];

/// Time after the last byte of a request in which a closing connection may cross it.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Time after the confirmation of a leaving backend server in which it may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time without disturbance before rules with a time bound hold.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Window of the budget of repeats.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Repeats for each request that the budget allows.
pub const BUDGET_RATIO: f64 = 0.2;

/// Repeats in a window that the budget allows besides.
pub const BUDGET_SLACK: f64 = 20.0;

/// Backend servers that one request may be run on.
pub const MAX_ATTEMPTS: usize = 2;

/// Request as its sender made it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Service on the machine where the request began.
    pub origin: String,
    /// Number of the machine where the request began.
    pub machine: usize,
    /// Method and path.
    pub line: String,
    /// Body.
    pub body: String,
    /// Whether the request may run at most once.
    pub is_once: bool,
    /// Services that some configuration allows to run it.
    pub services: Vec<String>,
    /// Whether the run that made this call was itself a repeat.
    pub is_call_of_repeat: bool,
    /// When its last byte was sent.
    pub sent: Instant,
}

/// How a request ended for its sender.
#[derive(Clone, Debug)]
pub enum SeenEnd {
    /// A complete answer.
    Answer {
        status: String,
        signature: Option<String>,
        attempt: Option<String>,
        body: String,
    },
    /// The connection ended without a complete answer.
    Closed(Instant),
    /// No answer came within the sender's time and 10 s.
    Silent(Instant),
    /// The sender left.
    Left,
}

/// Request that reached a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub instance: String,
    pub service: String,
    pub at: Instant,
    /// Whether the backend server ran it.
    pub is_run: bool,
    /// Status, signature and body of the answer, if it was made well.
    pub answer: Option<(String, String, String)>,
}

#[derive(Debug, Default)]
struct RequestRecord {
    sent: Option<SentRequest>,
    arrivals: Vec<Arrival>,
    end: Option<SeenEnd>,
}

/// Span in which a daemon could not keep its promises, or a disturbance was at work.
#[derive(Clone, Copy, Debug)]
pub struct TroubleSpan {
    /// Machine, or none for all.
    pub machine: Option<usize>,
    /// Whether the process was killed, so that its connections end.
    pub is_kill: bool,
    pub begin: Instant,
    pub end: Instant,
}

/// What callers and backend servers saw.
#[derive(Default)]
pub struct Ledger {
    requests: Mutex<HashMap<String, RequestRecord>>,
    spans: Mutex<Vec<TroubleSpan>>,
    draining: Mutex<Vec<(String, Instant)>>,
    faults: Mutex<Vec<String>>,
}

impl Ledger {
    /// Records a request before its last byte is sent.
    pub fn on_sent(&self, attempt: &str, sent: SentRequest) {
        let mut requests = self.requests.lock();
        requests.entry(attempt.to_owned()).or_default().sent = Some(sent);
    }

    /// Records how a request ended for its sender.
    pub fn on_end(&self, attempt: &str, end: SeenEnd) {
        let mut requests = self.requests.lock();
        requests.entry(attempt.to_owned()).or_default().end = Some(end);
    }

    /// Records a request at a backend server; returns how many came before it.
    pub fn on_arrival(&self, attempt: &str, head: &str, arrival: Arrival) -> usize {
        let mut requests = self.requests.lock();
        let record = requests.entry(attempt.to_owned()).or_default();
        let number = record.arrivals.len();
        if arrival.is_run {
            let problem = match &record.sent {
                None => Some("no caller sent it".to_owned()),
                Some(sent) => sent.difference(head, &arrival.service),
            };
            if let Some(problem) = problem {
                self.fail(format!(
                    "UNASKED {attempt} at {}: {problem}",
                    arrival.instance
                ));
            }
        }
        record.arrivals.push(arrival);
        number
    }

    /// Records the answer that a backend server made for an arrival.
    pub fn on_answer(&self, attempt: &str, number: usize, answer: (String, String, String)) {
        let mut requests = self.requests.lock();
        let record = requests.get_mut(attempt);
        if let Some(arrival) = record.and_then(|record| record.arrivals.get_mut(number)) {
            arrival.answer = Some(answer);
        }
    }

    /// Records a span of disturbance.
    pub fn on_trouble(&self, span: TroubleSpan) {
        self.spans.lock().push(span);
    }

    /// Records that the store has confirmed that an instance leaves.
    pub fn on_draining(&self, instance: &str) {
        let mut draining = self.draining.lock();
        draining.push((instance.to_owned(), Instant::now()));
    }

    /// Records a broken promise that was seen at once.
    pub fn fail(&self, fault: String) {
        self.faults.lock().push(fault);
    }

    /// Returns the numbers of requests, of successes and of runs.
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

    /// Returns all broken promises. `is_timed` also checks those that hold within a time bound.
    pub fn broken_promises(&self, is_timed: bool) -> Vec<String> {
        let mut faults = self.faults.lock().clone();
        let requests = self.requests.lock();
        let spans = self.spans.lock();
        for (attempt, record) in requests.iter() {
            let problems = record.problems(&spans);
            faults.extend(
                problems
                    .iter()
                    .map(|problem| format!("{attempt}: {problem}")),
            );
        }
        faults.extend(budget_faults(&requests));
        if is_timed {
            faults.extend(drain_faults(&requests, &self.draining.lock(), &spans));
        }
        faults.sort();
        faults
    }
}

impl SentRequest {
    fn difference(&self, head: &str, service: &str) -> Option<String> {
        let (lines, body) = head.split_once("\r\n\r\n")?;
        if !lines.starts_with(&format!("{} HTTP/1.1\r\n", self.line)) {
            return Some("another method or path".to_owned());
        }
        if body != self.body {
            return Some("another body".to_owned());
        }
        let caller = crate::http_text::field(lines, "caller-service");
        if caller.as_deref() != Some(self.origin.as_str()) {
            return Some(format!("caller's service {caller:?}"));
        }
        if !self.services.iter().any(|allowed| allowed == service) {
            return Some(format!("ROUTE: service {service} is not allowed"));
        }
        None
    }
}

impl RequestRecord {
    fn is_success(&self) -> bool {
        matches!(&self.end, Some(SeenEnd::Answer { status, .. }) if status.starts_with('2'))
    }

    fn problems(&self, spans: &[TroubleSpan]) -> Vec<String> {
        let mut problems = Vec::new();
        let Some(sent) = &self.sent else {
            return problems;
        };
        let runs = self.arrivals.iter().filter(|arrival| arrival.is_run);
        let runs = runs.count();
        if sent.is_once && runs > 1 {
            problems.push(format!("TWICE: {runs} runs"));
        }
        if runs > MAX_ATTEMPTS {
            problems.push(format!("BUDGET: {runs} runs of one request"));
        }
        let hit = |is_kill_only: bool, end: Instant| {
            spans.iter().any(|span| {
                (span.is_kill || !is_kill_only)
                    && span.machine.is_none_or(|machine| machine == sent.machine)
                    && span.begin <= end + CROSSING_TIME
                    && span.end + CROSSING_TIME >= sent.sent
            })
        };
        match &self.end {
            Some(SeenEnd::Answer {
                status,
                signature,
                attempt,
                body,
            }) => {
                if attempt.is_none() {
                    problems.push(format!("MIXED: {status} without its attempt"));
                }
                if sent.is_once && runs > 0 && REFUSALS.contains(&status.as_str()) {
                    problems.push(format!("REFUSED: {status} after {runs} runs"));
                }
                let is_made = signature.as_ref().is_some_and(|signature| {
                    let answers = self.arrivals.iter().filter_map(|run| run.answer.as_ref());
                    let made = (status, signature, body);
                    answers.into_iter().any(|(s, g, b)| (s, g, b) == made)
                });
                if (status.starts_with('2') || signature.is_some()) && !is_made {
                    problems.push(format!("MIXED: {status} that no backend server made"));
                }
            }
            Some(SeenEnd::Closed(at)) => {
                let is_late = *at > sent.sent + CROSSING_TIME;
                if (!self.arrivals.is_empty() || is_late) && !hit(true, *at) {
                    problems.push(format!(
                        "LOST: connection closed after {:?} with {runs} runs",
                        *at - sent.sent
                    ));
                }
            }
            Some(SeenEnd::Silent(at)) if !hit(false, *at) => {
                problems.push("LOST: no answer at all".to_owned());
            }
            _ => {}
        }
        problems
    }
}

/// Checks the repeats at each service in each window that begins with an arrival.
fn budget_faults(requests: &HashMap<String, RequestRecord>) -> Vec<String> {
    let mut sent = HashMap::<&str, Vec<Instant>>::new();
    let mut repeats = HashMap::<&str, Vec<Instant>>::new();
    for record in requests.values() {
        let Some(request) = &record.sent else {
            continue;
        };
        for service in &request.services {
            sent.entry(service).or_default().push(request.sent);
        }
        for (number, arrival) in record.arrivals.iter().enumerate() {
            if number > 0 || request.is_call_of_repeat {
                repeats
                    .entry(&arrival.service)
                    .or_default()
                    .push(arrival.at);
            }
        }
    }
    let mut faults = Vec::new();
    for (service, mut times) in repeats {
        times.sort();
        let none = Vec::new();
        let sent = sent.get(service).unwrap_or(&none);
        let count = |times: &[Instant], begin: Instant| {
            let inside = times
                .iter()
                .filter(|at| **at >= begin && **at < begin + BUDGET_WINDOW);
            inside.count() as f64
        };
        for begin in &times {
            let arrived = count(&times, *begin);
            let asked = [0, 5, 10].map(|back| {
                let begin = begin
                    .checked_sub(Duration::from_secs(back))
                    .unwrap_or(*begin);
                count(sent, begin)
            });
            let asked = asked.into_iter().fold(0.0, f64::max);
            if arrived > asked * BUDGET_RATIO + BUDGET_SLACK {
                faults.push(format!(
                    "BUDGET: {arrived} repeats for {asked} requests at {service}"
                ));
                break;
            }
        }
    }
    faults
}

/// Checks that leaving instances get no requests, where nothing else was disturbed.
fn drain_faults(
    requests: &HashMap<String, RequestRecord>,
    draining: &[(String, Instant)],
    spans: &[TroubleSpan],
) -> Vec<String> {
    let mut faults = Vec::new();
    for (instance, confirmed) in draining {
        let arrivals = requests.values().flat_map(|record| &record.arrivals);
        let late = arrivals.filter(|arrival| {
            arrival.instance == *instance && arrival.is_run && arrival.at > *confirmed + DRAIN_TIME
        });
        let late = late.filter(|arrival| {
            let since = confirmed.checked_sub(STABLE_TIME).unwrap_or(*confirmed);
            !spans
                .iter()
                .any(|span| span.begin <= arrival.at && span.end >= since)
        });
        let late = late.count();
        if late > 0 {
            faults.push(format!("DRAIN: {late} runs at {instance} after it left"));
        }
    }
    faults
}
