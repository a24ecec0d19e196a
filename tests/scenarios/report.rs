//! Figures of one scenario run.

use crate::model::{CLASSES, Control, Scenario, slow_factor};
use indexmap::IndexMap;
use std::{fmt::Write, ops::Range, time::Duration};

/// Bin of the goodput curve.
const BIN: Duration = Duration::from_millis(250);
/// Start of the measured time, after the limits have settled.
const WARM_UP: Duration = Duration::from_secs(3);

/// Request of an outside caller with all its tries.
pub struct RequestRecord {
    pub class: u8,
    pub id: u128,
    pub sent: Duration,
    pub tries: u32,
    pub answered: Option<Duration>,
    pub shed: [u32; 2],
    pub attempts: [u32; 2],
}

#[derive(Default)]
pub struct TryRecord {
    pub request: usize,
    pub work: Duration,
    pub is_answered: bool,
    pub is_closed: bool,
}

pub struct Report {
    pub requests: Vec<RequestRecord>,
    pub tries: Vec<TryRecord>,
    /// Sums and counts of the limit of each instance, by second.
    pub limits: IndexMap<(usize, u64), (u32, u32)>,
    /// Refusals by place and reason.
    pub reasons: IndexMap<(&'static str, &'static str), u32>,
    pub scenario: Scenario,
    pub control: Control,
}

impl Report {
    /// Returns the request that a try belongs to.
    pub fn request_of(&mut self, root: usize) -> &mut RequestRecord {
        &mut self.requests[self.tries[root].request]
    }

    /// Answered requests per second in a span.
    fn goodput(&self, span: &Range<Duration>) -> f64 {
        let answered = self.requests.iter().filter_map(|request| request.answered);
        let count = answered.filter(|at| span.contains(at)).count();
        count as f64 / (span.end - span.start).as_secs_f64()
    }

    /// Goodput during the faults as a share of the capacity that the deepest service has then.
    pub fn trigger_goodput(&self) -> f64 {
        let trigger = self.scenario.trigger();
        let factor = self.scenario.fault(slow_factor).map_or(1.0, |(f, _)| f);
        let settled = trigger.start + Duration::from_secs(1);
        self.goodput(&(settled..trigger.end)) * factor / self.scenario.capacity()
    }

    /// Share of the service time that went into tries without an answer.
    pub fn wasted(&self) -> f64 {
        let total: Duration = self.tries.iter().map(|record| record.work).sum();
        let wasted = self.tries.iter().filter(|record| !record.is_answered);
        wasted
            .map(|record| record.work)
            .sum::<Duration>()
            .as_secs_f64()
            / total.as_secs_f64()
    }

    /// Extra attempts of the daemons as a share of first attempts.
    pub fn extra(&self) -> f64 {
        let sum = |index: usize| self.requests.iter().map(|r| r.attempts[index]).sum::<u32>();
        f64::from(sum(1)) / f64::from(sum(0).max(1))
    }

    /// Share of the requests of a class that were answered in time, of those sent in `span`.
    pub fn answered(&self, class: u8, span: &Range<Duration>) -> f64 {
        let is_counted = |r: &&RequestRecord| r.class == class && span.contains(&r.sent);
        let sent: Vec<_> = self.requests.iter().filter(is_counted).collect();
        let answered = sent.iter().filter(|request| request.answered.is_some());
        answered.count() as f64 / sent.len().max(1) as f64
    }

    /// Span of the requests whose fate is known at the end of the run.
    pub fn span(&self) -> Range<Duration> {
        WARM_UP..self.scenario.length - Duration::from_secs(3)
    }

    /// Time from the end of the faults to the first half second with 95% of the earlier goodput
    /// that is followed by two seconds of the same; `None` when that is not reached.
    pub fn recovery(&self) -> Option<Duration> {
        let trigger = self.scenario.trigger();
        let target = 0.95 * self.goodput(&(WARM_UP..trigger.start));
        let mut from = trigger.end;
        while from + 10 * BIN <= self.scenario.length {
            let is_back = self.goodput(&(from..from + 2 * BIN)) >= target;
            if is_back && self.goodput(&(from + 2 * BIN..from + 10 * BIN)) >= target {
                return Some(from + 2 * BIN - trigger.end);
            }
            from += BIN;
        }
        None
    }

    /// Returns the mean limit of each instance in the two seconds before `end`.
    pub fn limits(&self, end: u64) -> Vec<u32> {
        let mut means: IndexMap<usize, (u32, u32)> = IndexMap::new();
        for ((instance, second), (sum, count)) in &self.limits {
            if (end - 2..end).contains(second) {
                let mean = means.entry(*instance).or_default();
                *mean = (mean.0 + sum, mean.1 + count);
            }
        }
        means.values().map(|(sum, count)| sum / count).collect()
    }

    pub fn text(&self) -> String {
        let mut text = format!("{:?} control\n", self.control);
        let recovery = self.recovery();
        let recovery = recovery.map_or("not reached".into(), |t| format!("{} ms", t.as_millis()));
        let trigger = self.scenario.trigger();
        let before = self.goodput(&(WARM_UP..trigger.start)) / self.scenario.capacity();
        let [before, during, wasted, extra] =
            [before, self.trigger_goodput(), self.wasted(), self.extra()].map(|f| 100.0 * f);
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
            let [all, trigger] = [self.span(), trigger.clone()].map(|s| self.answered(class, &s));
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
        for ((place, reason), count) in &self.reasons {
            let _ = writeln!(text, "shed {place} {reason}: {count}");
        }
        if self.control == Control::Full {
            let limits = self.limits(self.scenario.length.as_secs());
            let _ = writeln!(text, "limits at the end: {limits:?}");
        }
        text
    }
}
