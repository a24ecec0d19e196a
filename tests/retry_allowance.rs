//! Allowance of extra attempts in whole call trees.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use skylarkstream::{
    controller::call_ledgers::CallLedgers,
    decision::{
        request_context::{CallId, RequestContext, RequestId},
        request_priority::RequestPriority,
        retry::attempt_ledger::{AllowanceSlice, AttemptLedger},
    },
};
use std::time::{Duration, Instant};

const MAX_DEPTH: u8 = 5;
const REQUEST: RequestId = RequestId(1);

/// Call tree with one daemon, and so one table of ledgers, at each depth.
struct CallTree {
    tables: Vec<CallLedgers>,
    next_call: u64,
    extra_attempts: u32,
    now: Instant,
}

impl CallTree {
    fn open(&mut self, depth: u8, allowance: u16) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let context = RequestContext {
            request: REQUEST,
            call,
            parent: None,
            attempt: None,
            priority: RequestPriority::LOWEST,
            deadline: self.now + Duration::from_secs(1),
            entered: self.now,
            allowance,
            depth,
            is_entry: depth == 0,
            caller_service: "bookings".into(),
        };
        assert!(self.tables[depth as usize].open(&context, self.now));
        call
    }

    fn ledger<T>(
        &self,
        depth: u8,
        call: CallId,
        change: impl FnOnce(&mut AttemptLedger) -> T,
    ) -> T {
        self.tables[depth as usize]
            .with_ledger(REQUEST, call, change)
            .expect("The call has a ledger.")
    }

    /// Runs a call with parallel nested calls and returns the number of unused extra attempts that
    /// its response reports.
    fn run(&mut self, u: &mut Unstructured, depth: u8, allowance: u16) -> Result<u16> {
        let call = self.open(depth, allowance);
        let mut in_flight: Vec<(AllowanceSlice, u16)> = Vec::new();
        let mut reported = None;
        while depth < MAX_DEPTH && !u.is_empty() && u.ratio(3, 4)? {
            match u.int_in_range(0..=4_u8)? {
                // A new call or an extra attempt. Its response is still in flight.
                0 | 1 => {
                    if u.arbitrary()? {
                        if !self.ledger(depth, call, AttemptLedger::take_extra) {
                            continue;
                        }
                        self.extra_attempts += 1;
                    }
                    let slice = self.ledger(depth, call, AttemptLedger::reserve_slice);
                    let unused = self.run(u, depth + 1, slice.size())?;
                    in_flight.push((slice, unused));
                }
                2 if !in_flight.is_empty() => {
                    let (slice, unused) = in_flight.swap_remove(u.choose_index(in_flight.len())?);
                    let returned = match u.int_in_range(0..=3_u8)? {
                        0 => 0,
                        // A faulty peer reports more than the slice.
                        1 => slice.size().saturating_add(u.int_in_range(1..=u16::MAX)?),
                        _ => unused,
                    };
                    self.ledger(depth, call, |ledger| ledger.return_unused(slice, returned));
                }
                // The response gets lost.
                3 if !in_flight.is_empty() => drop(in_flight.pop()),
                // The head of the response is sent while nested calls may still run.
                4 if reported.is_none() => {
                    reported = Some(self.ledger(depth, call, AttemptLedger::close));
                }
                _ => {}
            }
        }
        let remaining = self.ledger(depth, call, AttemptLedger::close);
        Ok(reported.unwrap_or(remaining))
    }
}

/// Guards against more extra attempts in a call tree than the entry granted, with parallel calls,
/// lost and reordered responses, calls after the response of their parent, and peers that report
/// more unused attempts than they received.
#[test]
fn extra_attempts_stay_within_the_allowance() {
    support::check(4_096, |u| {
        let allowance = u.int_in_range(0..=8_u16)?;
        let mut tree = CallTree {
            tables: (0..=MAX_DEPTH).map(|_| CallLedgers::new()).collect(),
            next_call: 0,
            extra_attempts: 0,
            now: Instant::now(),
        };
        let unused = tree.run(u, 0, allowance)?;
        assert!(
            tree.extra_attempts + u32::from(unused) <= u32::from(allowance),
            "{} extra attempts",
            tree.extra_attempts
        );
        Ok(())
    });
}

/// Guards against a nested call that gets a new allowance after the response of its parent was
/// sent, and against ledgers that stay in the table after the deadline of their call.
#[test]
fn ledger_stays_closed_until_the_deadline_of_its_call() {
    let mut tree = CallTree {
        tables: vec![CallLedgers::new()],
        next_call: 0,
        extra_attempts: 0,
        now: Instant::now(),
    };
    let call = tree.open(0, 3);
    tree.ledger(0, call, AttemptLedger::close);
    assert!(tree.tables[0].find(REQUEST, Some(call)).is_some());
    assert!(!tree.ledger(0, call, AttemptLedger::take_extra));
    for _ in 0..200 {
        let call = tree.open(0, 3);
        tree.ledger(0, call, AttemptLedger::close);
    }
    tree.now += Duration::from_secs(2);
    for _ in 0..200 {
        tree.open(0, 3);
    }
    assert!(
        tree.tables[0]
            .find(REQUEST, Some(call))
            .is_none_or(|found| found.call != call)
    );
}
