//! Runs that other daemons request.

use crate::fixed_seeds;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::run_table::{BlockCause, ResumedRun, RunId, RunTable},
};
use std::{collections::BTreeSet, time::Duration};

const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2);

fn id(number: u64) -> RunId {
    RunId { sender: 1, number }
}

/// Guards against a request that is reported as not run and starts when its delayed message
/// arrives.
#[test]
fn unknown_run_is_blocked_when_its_sender_resumes_it() {
    let now = ManualClock::new().now();
    let mut runs = RunTable::<u8>::new();
    assert_eq!(
        runs.resume(id(1), now),
        ResumedRun::Blocked(BlockCause::Missing)
    );
    assert!(!runs.start(id(1)));
}

/// Guards against the loss of a result when the connection of its sender breaks.
#[test]
fn result_is_kept_for_a_sender_that_reconnects() {
    let now = ManualClock::new().now();
    let mut runs = RunTable::new();
    assert!(runs.start(id(1)));
    runs.orphan(1, now);
    assert_eq!(runs.resume(id(1), now), ResumedRun::Running);
    runs.finish(id(1), 7, 100, now);
    assert_eq!(runs.resume(id(1), now), ResumedRun::Finished(7));
    assert!(!runs.start(id(1)));
}

/// Guards against runs that continue for a daemon that has stopped.
#[test]
fn orphaned_run_ends_after_the_timeout() {
    let clock = ManualClock::new();
    let mut runs = RunTable::<u8>::new();
    assert!(runs.start(id(1)) && runs.start(id(2)));
    runs.orphan(1, clock.now());
    runs.resume(id(2), clock.now());
    clock.advance(ORPHAN_TIMEOUT);
    assert_eq!(runs.expire(ORPHAN_TIMEOUT, clock.now()), [id(1)]);
}

/// Guards against a run that began and is reported to its sender as one that will not start, after
/// which the sender has the request run again elsewhere: under any order of messages, lost
/// connections, long waits and large results.
#[test]
fn run_that_began_is_never_reported_as_blocked() {
    fixed_seeds::check(|random| {
        let clock = ManualClock::new();
        let mut runs = RunTable::<u8>::new();
        let mut began = BTreeSet::new();
        for _ in 0..60 {
            let number = u64::from(random.int_in_range(1..=6_u8)?);
            match random.choose_index(6)? {
                0 => {
                    if runs.start(id(number)) {
                        began.insert(number);
                    }
                }
                1 => {
                    let bytes = random.int_in_range(0..=6_usize << 20)?;
                    runs.finish(id(number), 1, bytes, clock.now());
                }
                2 => runs.orphan(1, clock.now()),
                3 => {
                    for orphaned in runs.expire(ORPHAN_TIMEOUT, clock.now()) {
                        runs.block(orphaned, BlockCause::Orphaned, clock.now());
                    }
                }
                4 => {
                    let resumed = runs.resume(id(number), clock.now());
                    let is_blocked = matches!(resumed, ResumedRun::Blocked(_));
                    assert!(!is_blocked || !began.contains(&number), "run {number}");
                }
                _ => clock.advance(Duration::from_millis(random.int_in_range(0..=6_000)?)),
            }
        }
        Ok(())
    });
}

/// Guards against a second start of a run under any order of messages, cancellations and results.
#[test]
fn run_starts_at_most_once() {
    fixed_seeds::check(|random| {
        let clock = ManualClock::new();
        let mut runs = RunTable::<u8>::new();
        let mut started = BTreeSet::new();
        let mut blocked = BTreeSet::new();
        for _ in 0..40 {
            let number = u64::from(random.int_in_range(1..=3_u8)?);
            match random.choose_index(5)? {
                0 => {
                    if runs.start(id(number)) {
                        assert!(started.insert(number), "started twice");
                        assert!(!blocked.contains(&number), "started after it was blocked");
                    }
                }
                1 => {
                    runs.block(id(number), BlockCause::Cancelled, clock.now());
                    blocked.insert(number);
                }
                2 => runs.finish(id(number), 1, 1, clock.now()),
                3 => {
                    if let ResumedRun::Blocked(_) = runs.resume(id(number), clock.now()) {
                        blocked.insert(number);
                    }
                }
                _ => clock.advance(Duration::from_millis(50)),
            }
        }
        Ok(())
    });
}
