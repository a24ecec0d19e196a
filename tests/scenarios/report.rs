//! Results of one scenario run.

use crate::model::{CLASSES, Control, Scenario, slow_factor};
use indexmap::IndexMap;
use std::{fmt::Write, ops::Range, time::Duration};

/// Time between two points at which the recovery of goodput is checked.
const RECOVERY_STEP: Duration = Duration::from_millis(250);
/// Start of the measured time range, when the limits have converged.
const MEASUREMENT_START: Duration = Duration::from_secs(3);

/// Request of an outside caller with the results of all its tries.
pub struct RequestRecord {
    pub class: u8,
    pub id: u128,
    pub sent: Duration,
    pub tries: u32,
    /// Time of the successful response, if any.
    pub answered: Option<Duration>,
    /// Refusals by the entry daemon and by deeper daemons.
    pub shed: [u32; 2],
    /// First and extra attempts of the daemons.
    pub attempts: [u32; 2],
}

/// One try: an attempt of an outside caller at its request.
#[derive(Default)]
pub struct TryRecord {
    /// Index of the request.
    pub request: usize,
    /// Service time spent at all instances.
    pub work: Duration,
    pub is_answered: bool,
    /// Whether the caller has received a response or abandoned the try.
    pub is_finished: bool,
}

/// Results of one scenario under one kind of control.
pub struct Report {
    pub requests: Vec<RequestRecord>,
    pub tries: Vec<TryRecord>,
    /// Sum and number of samples of the concurrency limit, by instance and second.
    pub limits: IndexMap<(usize, u64), (u32, u32)>,
    /// Refusals by depth in the chain and reason.
    pub refusals: IndexMap<(&'static str, &'static str), u32>,
    pub scenario: Scenario,
    pub control: Control,
}

impl Report {
    /// Returns the request that a try belongs to.
    pub fn request_of_try(&mut self, try_index: usize) -> &mut RequestRecord {
        &mut self.requests[self.tries[try_index].request]
    }

    /// Returns the answered requests per second in a time range.
    fn goodput(&self, span: &Range<Duration>) -> f64 {
        let answered = self.requests.iter().filter_map(|request| request.answered);
        let count = answered.filter(|at| span.contains(at)).count();
        count as f64 / (span.end - span.start).as_secs_f64()
    }

    /// Returns goodput during the faults, as a share of the capacity that the deepest service has
    /// during them.
    pub fn trigger_goodput(&self) -> f64 {
        let trigger = self.scenario.trigger();
        let factor = self.scenario.fault(slow_factor).map_or(1.0, |(f, _)| f);
        let settled = trigger.start + Duration::from_secs(1);
        self.goodput(&(settled..trigger.end)) * factor / self.scenario.capacity()
    }

    /// Returns the share of service time that was spent on tries that failed.
    pub fn wasted_share(&self) -> f64 {
        let total: Duration = self.tries.iter().map(|record| record.work).sum();
        let wasted = self.tries.iter().filter(|record| !record.is_answered);
        wasted
            .map(|record| record.work)
            .sum::<Duration>()
            .as_secs_f64()
            / total.as_secs_f64()
    }

    /// Returns the extra attempts of the daemons as a share of the first attempts.
    pub fn extra_share(&self) -> f64 {
        let sum = |index: usize| self.requests.iter().map(|r| r.attempts[index]).sum::<u32>();
        f64::from(sum(1)) / f64::from(sum(0).max(1))
    }

    /// Returns the share of requests of a class sent in `span` that were answered in time.
    pub fn answered_share(&self, class: u8, span: &Range<Duration>) -> f64 {
        let is_counted = |r: &&RequestRecord| r.class == class && span.contains(&r.sent);
        let sent: Vec<_> = self.requests.iter().filter(is_counted).collect();
        let answered = sent.iter().filter(|request| request.answered.is_some());
        answered.count() as f64 / sent.len().max(1) as f64
    }

    /// Returns the time range of the requests whose result is known at the end of the run.
    pub fn measured_span(&self) -> Range<Duration> {
        MEASUREMENT_START..self.scenario.duration - Duration::from_secs(3)
    }

    /// Returns the time from the end of the faults until goodput has recovered: to the end of the
    /// first half second with 95% of the goodput before the faults that is followed by two seconds
    /// with at least as much. Returns `None` if goodput does not recover.
    pub fn recovery(&self) -> Option<Duration> {
        let trigger = self.scenario.trigger();
        let target = 0.95 * self.goodput(&(MEASUREMENT_START..trigger.start));
        let mut from = trigger.end;
        while from + 10 * RECOVERY_STEP <= self.scenario.duration {
            let has_target = self.goodput(&(from..from + 2 * RECOVERY_STEP)) >= target;
            if has_target
                && self.goodput(&(from + 2 * RECOVERY_STEP..from + 10 * RECOVERY_STEP)) >= target
            {
                return Some(from + 2 * RECOVERY_STEP - trigger.end);
            }
            from += RECOVERY_STEP;
        }
        None
    }

    /// Returns the mean concurrency limit of each instance in the two seconds before `end`.
    pub fn mean_limits(&self, end: u64) -> Vec<u32> {
        let mut means: IndexMap<usize, (u32, u32)> = IndexMap::new();
        for ((instance, second), (sum, count)) in &self.limits {
            if (end - 2..end).contains(second) {
                let mean = means.entry(*instance).or_default();
                *mean = (mean.0 + sum, mean.1 + count);
            }
        }
        means.values().map(|(sum, count)| sum / count).collect()
    }

    /// Formats the results as a table.
    pub fn to_text(&self) -> String {
        let mut text = format!("{:?} control\n", self.control);
        let recovery = self.recovery();
        let recovery = recovery.map_or("not reached".into(), |t| format!("{} ms", t.as_millis()));
        let trigger = self.scenario.trigger();
        let before = self.goodput(&(MEASUREMENT_START..trigger.start)) / self.scenario.capacity();
        let [before, during, wasted, extra] = [
            before,
            self.trigger_goodput(),
            self.wasted_share(),
            self.extra_share(),
        ]
        .map(|f| 100.0 * f);
        let _ = writeln!(
            text,
            "goodput before {before:.1}% during {during:.1}% of capacity, recovery {recovery}, \
             wasted {wasted:.1}%, extra {extra:.1}%\nclass requests answered% in-trigger% \
             shed-entry shed-deeper tries/req attempts/req"
        );
        for (class, _) in CLASSES {
            let requests: Vec<_> = self.requests.iter().filter(|r| r.class == class).collect();
            let sum = |count: fn(&RequestRecord) -> u32| -> u32 {
                requests.iter().map(|request| count(request)).sum()
            };
            let [all, trigger] =
                [self.measured_span(), trigger.clone()].map(|s| self.answered_share(class, &s));
            let tries = sum(|r| r.tries);
            let attempts = tries + sum(|r| r.attempts.iter().sum());
            let _ = writeln!(
                text,
                "{class:>5} {:>8} {:>9.2} {:>11.2} {:>10} {:>11} {:>9.2} {:>12.2}",
                requests.len(),
                100.0 * all,
                100.0 * trigger,
                sum(|r| r.shed[0]),
                sum(|r| r.shed[1]),
                f64::from(tries) / requests.len() as f64,
                f64::from(attempts) / requests.len() as f64,
            );
        }
        for ((depth, reason), count) in &self.refusals {
            let _ = writeln!(text, "shed {depth} {reason}: {count}");
        }
        if self.control == Control::Full {
            let limits = self.mean_limits(self.scenario.duration.as_secs());
            let _ = writeln!(text, "limits at the end: {limits:?}");
        }
        text
    }
}
