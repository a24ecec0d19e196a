//! Outside callers, who send requests to the chain and try again.

use super::{Call, CallResult, Chain, Event, MILLISECOND};
use crate::{
    model::{CLASSES, Control, Fault},
    report::{RequestRecord, TryRecord},
};
use rand::RngExt;
use skylarkstream::decision::{
    request_priority::RequestPriority,
    retry::{attempt_ledger::AttemptLedger, retry_after::RetryAfter},
};
use std::{rc::Rc, time::Duration};

/// Timeout of one try of an outside caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an outside caller starts no further try at a request.
const CALLER_MAX_TIME: Duration = Duration::from_secs(3);
/// Maximum tries of an outside caller at a request.
const CALLER_MAX_TRIES: u32 = 4;
/// Pause of an outside caller between tries if it does not follow `Retry-After`.
const CALLER_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Extra attempts that daemons may make for one request.
const ALLOWANCE: u16 = 3;

impl Chain {
    pub(super) fn send_new_request(&mut self) {
        let id = self.rng.random::<u128>();
        let mut point: f64 = self.rng.random();
        let class = CLASSES.iter().find(|(_, share)| {
            point -= share;
            point < 0.0
        });
        self.report.requests.push(RequestRecord {
            class: class.map_or(CLASSES[2].0, |(class, _)| *class),
            id,
            sent: self.elapsed(),
            tries: 0,
            answered: None,
            shed: [0; 2],
            attempts: [0; 2],
        });
        self.send_try(self.report.requests.len() - 1);
        let surge = self
            .scenario
            .active_fault(self.elapsed(), |fault| match fault {
                Fault::Surge(factor) => Some(factor),
                _ => None,
            });
        let rate = self.scenario.demand * self.scenario.capacity() * surge.unwrap_or(1.0);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::NewRequest);
    }

    pub(super) fn send_try(&mut self, request: usize) {
        let now = self.now();
        let entry = self.rng.random_range(0..self.scenario.services[0].1);
        let record = &mut self.report.requests[request];
        let priority = RequestPriority::for_request(record.class, record.tries > 0, record.id);
        record.tries += 1;
        self.report.tries.push(TryRecord {
            request,
            ..TryRecord::default()
        });
        let is_full = self.control == Control::Full;
        let allowance = if is_full { ALLOWANCE } else { 0 };
        let call = Call {
            try_index: self.report.tries.len() - 1,
            parent: None,
            instance: entry,
            upstream: None,
            priority,
            deadline: now + CALLER_TIMEOUT,
            entered: now,
            sent: now,
            ledger: AttemptLedger::new(allowance),
            slice: Rc::default(),
            gate_key: None,
            work_start: None,
            has_slot: false,
            child: None,
            tried: Vec::new(),
        };
        let key = self.calls.insert(call);
        self.schedule(3 * MILLISECOND, Event::Arrival(key));
        self.schedule(CALLER_TIMEOUT, Event::Timeout(key));
    }

    /// Ends a try of an outside caller and schedules the next one, if any.
    pub(super) fn finish_try(&mut self, call: &Call, result: CallResult) {
        let elapsed = self.elapsed();
        let record = &mut self.report.tries[call.try_index];
        if std::mem::replace(&mut record.is_finished, true) {
            return;
        }
        record.is_answered = result == CallResult::Ran;
        let request = record.request;
        if result == CallResult::Ran {
            let answered = &mut self.report.requests[request].answered;
            answered.get_or_insert(elapsed);
            return;
        }
        let record = &self.report.requests[request];
        // Half of the callers comply with `Retry-After`.
        let complies = self.control == Control::Full && record.id.is_multiple_of(2);
        let wait = match result {
            CallResult::NotRun(_) if complies => RetryAfter::default().for_request(call.priority),
            _ => CALLER_RETRY_PAUSE,
        };
        if record.tries < CALLER_MAX_TRIES && elapsed + wait < record.sent + CALLER_MAX_TIME {
            self.schedule(wait, Event::Try(request));
        }
    }
}
