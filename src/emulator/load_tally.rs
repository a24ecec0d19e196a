//! Results of an emulation by route and time.

use crate::common::*;
use std::fmt::{self, Display, Formatter};

/// Length of the steps in which requests are counted.
pub const STEP: Duration = Duration::from_secs(2);

/// End of an emulated request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The response arrived within the latency target.
    Served,
    /// The response arrived later.
    Late,
    /// The admission plan refused the request.
    Shed,
    /// No slot was free in time.
    Busy,
    /// A call of the run failed.
    Failed,
}

/// Requests of one route that ended in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepCounts {
    /// Requests with a response within the latency target.
    pub served: u32,
    /// Requests with a later response.
    pub late: u32,
    /// Requests that the admission plan refused.
    pub shed: u32,
    /// Requests for which no slot was free in time.
    pub busy: u32,
    /// Requests whose run failed at a call.
    pub failed: u32,
}

impl StepCounts {
    /// Returns the number of all requests.
    pub fn total(&self) -> u32 {
        self.served + self.late + self.shed + self.busy + self.failed
    }

    /// Returns the share of the requests that were served within the latency target.
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.total().max(1))
    }

    fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.late += other.late;
        self.shed += other.shed;
        self.busy += other.busy;
        self.failed += other.failed;
    }
}

/// Counts of all ended requests by route and step.
#[derive(Clone, Debug, Default)]
pub struct LoadTally {
    steps: IndexMap<(&'static str, u32), StepCounts>,
}

impl LoadTally {
    /// Counts a request that ended at a time since the start.
    pub fn record(&mut self, route: &'static str, end: RequestEnd, at: Duration) {
        let step = (at.as_millis() / STEP.as_millis()) as u32;
        let counts = self.steps.entry((route, step)).or_default();
        match end {
            RequestEnd::Served => counts.served += 1,
            RequestEnd::Late => counts.late += 1,
            RequestEnd::Shed => counts.shed += 1,
            RequestEnd::Busy => counts.busy += 1,
            RequestEnd::Failed => counts.failed += 1,
        }
    }

    /// Returns the counts of a route in the steps that start within a range, in seconds.
    pub fn between(&self, route: &str, start_s: u32, end_s: u32) -> StepCounts {
        let mut sum = StepCounts::default();
        let step_s = STEP.as_secs() as u32;
        for ((name, step), counts) in &self.steps {
            if *name == route && (start_s..end_s).contains(&(step * step_s)) {
                sum.add(counts);
            }
        }
        sum
    }
}

impl Display for LoadTally {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut steps: Vec<_> = self.steps.iter().collect();
        steps.sort_by_key(|((route, step), _)| (*route, *step));
        for ((route, step), counts) in steps {
            let second = u64::from(*step) * STEP.as_secs();
            writeln!(
                formatter,
                "{route} {second}: served {} late {} shed {} busy {} failed {}",
                counts.served, counts.late, counts.shed, counts.busy, counts.failed
            )?;
        }
        Ok(())
    }
}
