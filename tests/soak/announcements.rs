//! What backend servers announce in their responses, requests that crash them, and the checks of how
//! daemons follow.
//!
//! - `LIMIT`: a backend server got more requests than the limit that it named.
//! - `LEAVING`: a backend server got requests after it had announced that it leaves.
//! - `CRASH`: a request reached backend servers too often after three had ended while they ran it.
//!
//! Each concerns only requests from daemons without a fault of their own shortly before.

use crate::history::{Arrival, FaultSpan, SentRequest};
use std::time::{Duration, Instant};

/// Path of the request that crashes each backend server which begins to run it.
pub const CRASH_PATH: &str = "/safe/crash";

/// Time after which daemons must follow an announcement, and that must pass after a fault of a daemon.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Time after the announcement that a backend server leaves within which it may get requests.
const LEAVING_TIME: Duration = Duration::from_secs(2);

/// Window in which requests are compared with a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Part of a limit that a backend server may get, and number that it may get besides.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Crashes after which a request is known, and most requests that still reach backend servers.
const KNOWN_CRASHES: usize = 3;
const RUNS_AFTER_CRASHES: usize = 3;

/// Limit that a backend server named for a time.
#[derive(Clone, Debug)]
pub struct LimitSpan {
    pub instance: String,
    pub rate: f64,
    pub begin: Instant,
    pub end: Instant,
}

/// Announcements of all backend servers in a round.
#[derive(Debug, Default)]
pub struct AnnouncementLog {
    pub limits: Vec<LimitSpan>,
    /// Instances that leave, each with the time at which a first response said so.
    pub leaving: Vec<(String, Instant)>,
}

impl AnnouncementLog {
    /// Returns the violations by the requests that reached backend servers.
    pub fn violations(
        &self,
        arrivals: &[(&SentRequest, &Arrival)],
        fault_spans: &[FaultSpan],
    ) -> Vec<String> {
        let arrivals: Vec<_> = arrivals
            .iter()
            .filter(|(sent, arrival)| !is_excused(sent, arrival, fault_spans))
            .copied()
            .collect();
        let limits = self.limits.iter();
        let mut violations: Vec<String> = limits
            .filter_map(|span| span.violation(&arrivals))
            .collect();
        for (instance, announced) in &self.leaving {
            let late = arrivals.iter().filter(|(sent, arrival)| {
                arrival.instance == *instance && sent.sent_at > *announced + LEAVING_TIME
            });
            // A daemon that was restarted since then need not know the announcement.
            let late = late.filter(|(sent, _)| {
                let mut spans = fault_spans.iter();
                !spans.any(|span| span.machine == Some(sent.machine) && span.end >= *announced)
            });
            let machines: Vec<usize> = late.map(|(sent, _)| sent.machine).collect();
            if !machines.is_empty() {
                violations.push(format!(
                    "LEAVING: {} requests at {instance} from machines {machines:?}",
                    machines.len()
                ));
            }
        }
        violations.extend(crash_violation(&arrivals));
        violations
    }
}

impl LimitSpan {
    fn violation(&self, arrivals: &[(&SentRequest, &Arrival)]) -> Option<String> {
        let settled = self.begin + SETTLING_TIME;
        let times: Vec<Instant> = arrivals
            .iter()
            .filter(|(_, arrival)| arrival.instance == self.instance)
            .map(|(_, arrival)| arrival.arrived_at)
            .filter(|at| (settled..self.end).contains(at))
            .collect();
        let counts = times.iter().map(|begin| {
            let window = *begin..*begin + LIMIT_WINDOW;
            times.iter().filter(|at| window.contains(*at)).count()
        });
        let most = counts.max()?;
        let allowed = LIMIT_FACTOR * self.rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        (most as f64 > allowed).then(|| {
            format!(
                "LIMIT: {most} requests in {LIMIT_WINDOW:?} at {}, {allowed} allowed",
                self.instance
            )
        })
    }
}

/// Returns whether a fault of the daemon at which a request entered excuses that it was sent.
fn is_excused(sent: &SentRequest, arrival: &Arrival, fault_spans: &[FaultSpan]) -> bool {
    let own_spans = fault_spans
        .iter()
        .filter(|span| span.machine == Some(sent.machine));
    let mut recent = own_spans.filter(|span| {
        span.begin <= arrival.arrived_at && span.end + SETTLING_TIME >= arrival.arrived_at
    });
    recent.next().is_some()
}

fn crash_violation(arrivals: &[(&SentRequest, &Arrival)]) -> Option<String> {
    let culprit = arrivals
        .iter()
        .filter(|(sent, _)| sent.method_and_path.ends_with(CRASH_PATH));
    let mut runs: Vec<(Instant, Instant)> = culprit
        .filter(|(_, arrival)| arrival.is_run)
        .map(|(sent, arrival)| (arrival.arrived_at, sent.sent_at))
        .collect();
    runs.sort();
    let (third, _) = runs.get(KNOWN_CRASHES - 1)?;
    let late = runs
        .iter()
        .filter(|(_, sent_at)| *sent_at > *third + SETTLING_TIME);
    let late = late.count();
    (late > RUNS_AFTER_CRASHES).then(|| format!("CRASH: {late} runs of a known culprit"))
}
