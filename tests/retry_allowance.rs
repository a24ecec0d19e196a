//! Allowance of extra attempts over whole call trees.

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

/// Call tree in which each level has the table of its own daemon.
struct CallTree {
    tables: Vec<CallLedgers>,
    next_call: u64,
    extra: u32,
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
            .with(REQUEST, call, change)
            .expect("an open call")
    }

    /// Runs a call with parallel calls below it and returns the figure in its response.
    fn run(&mut self, u: &mut Unstructured, depth: u8, allowance: u16) -> Result<u16> {
        let call = self.open(depth, allowance);
        let mut open: Vec<(AllowanceSlice, u16)> = Vec::new();
        let mut reported = None;
        while depth < MAX_DEPTH && !u.is_empty() && u.ratio(3, 4)? {
            match u.int_in_range(0..=4_u8)? {
                // A new call, or a further attempt at one, whose response is still on its way.
                0 | 1 => {
                    if u.arbitrary()? {
                        if !self.ledger(depth, call, AttemptLedger::take_extra) {
                            continue;
                        }
                        self.extra += 1;
                    }
                    let slice = self.ledger(depth, call, AttemptLedger::reserve_slice);
                    let unused = self.run(u, depth + 1, slice.size())?;
                    open.push((slice, unused));
                }
                2 if !open.is_empty() => {
                    let (slice, unused) = open.swap_remove(u.choose_index(open.len())?);
                    let figure = match u.int_in_range(0..=3_u8)? {
                        0 => 0,
                        // A faulty figure beyond the slice.
                        1 => slice.size().saturating_add(u.int_in_range(1..=u16::MAX)?),
                        _ => unused,
                    };
                    self.ledger(depth, call, |ledger| ledger.return_unused(slice, figure));
                }
                // The response is lost.
                3 if !open.is_empty() => drop(open.pop()),
                // The head of the response is sent while calls may still run.
                4 if reported.is_none() => {
                    reported = Some(self.ledger(depth, call, AttemptLedger::close));
                }
                _ => {}
            }
        }
        let rest = self.ledger(depth, call, AttemptLedger::close);
        Ok(reported.unwrap_or(rest))
    }
}

/// Guards against more extra attempts than the entry granted, at any depth, with parallel calls, lost
/// and reordered responses, calls after the response and figures beyond the slice.
#[test]
fn extra_attempts_stay_within_the_allowance() {
    support::check(4_096, |u| {
        let allowance = u.int_in_range(0..=8_u16)?;
        let mut tree = CallTree {
            tables: (0..=MAX_DEPTH).map(|_| CallLedgers::new()).collect(),
            next_call: 0,
            extra: 0,
            now: Instant::now(),
        };
        let unused = tree.run(u, 0, allowance)?;
        assert!(
            tree.extra + u32::from(unused) <= u32::from(allowance),
            "{} extra",
            tree.extra
        );
        Ok(())
    });
}

/// Guards against a call after the response that starts over with a new allowance, and against ended
/// calls that stay in the table after their deadline.
#[test]
fn ended_call_stays_closed_until_its_deadline() {
    let mut tree = CallTree {
        tables: vec![CallLedgers::new()],
        next_call: 0,
        extra: 0,
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
