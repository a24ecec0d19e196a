//! Runs that other daemons request.

use crate::fixed_seeds;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::run_table::{BlockCause, ResumedRun, RunId, RunTable, RunTerms, StartVerdict},
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the senders wait.
const DEADLINE: Duration = Duration::from_secs(5);

fn id(number: u64) -> RunId {
    RunId { sender: 1, number }
}

fn terms(is_at_most_once: bool, deadline: Instant) -> RunTerms {
    RunTerms {
        is_at_most_once,
        deadline,
    }
}

/// Starts a run that may run more than once, and lets it begin.
fn begin(runs: &mut RunTable<u8>, number: u64, deadline: Instant) {
    let verdict = runs.start(id(number), terms(false, deadline));
    assert_eq!(verdict, StartVerdict::Started);
    assert!(runs.begin(id(number)));
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
    let verdict = runs.start(id(1), terms(true, now + DEADLINE));
    assert_eq!(verdict, StartVerdict::Known);
    assert!(!runs.begin(id(1)));
}

/// Guards against the loss of a result when the connection of its sender breaks.
#[test]
fn result_is_kept_for_a_sender_that_reconnects() {
    let now = ManualClock::new().now();
    let mut runs = RunTable::new();
    begin(&mut runs, 1, now + DEADLINE);
    runs.orphan(1, now);
    assert_eq!(runs.resume(id(1), now), ResumedRun::Running);
    runs.finish(id(1), 7, 100);
    assert_eq!(runs.resume(id(1), now), ResumedRun::Finished(7));
    let verdict = runs.start(id(1), terms(false, now + DEADLINE));
    assert_eq!(verdict, StartVerdict::Known);
}

/// Guards against runs that continue for a daemon that has stopped.
#[test]
fn orphaned_run_ends_after_the_timeout() {
    let clock = ManualClock::new();
    let mut runs = RunTable::<u8>::new();
    begin(&mut runs, 1, clock.now() + DEADLINE);
    begin(&mut runs, 2, clock.now() + DEADLINE);
    runs.orphan(1, clock.now());
    runs.resume(id(2), clock.now());
    clock.advance(ORPHAN_TIMEOUT);
    assert_eq!(runs.expire(ORPHAN_TIMEOUT, clock.now()), [id(1)]);
}

/// Guards against an at-most-once run that is broken off at the backend server, since its sender was
/// out of touch for a while: nobody may repeat it, and its result could not be delivered.
#[test]
fn orphaned_at_most_once_run_is_completed_once_it_has_begun() {
    let clock = ManualClock::new();
    let mut runs = RunTable::<u8>::new();
    let terms = terms(true, clock.now() + DEADLINE);
    for number in [1, 2] {
        assert_eq!(runs.start(id(number), terms), StartVerdict::Started);
    }
    assert!(runs.begin(id(1)));
    runs.orphan(1, clock.now());
    clock.advance(ORPHAN_TIMEOUT);
    assert_eq!(runs.expire(ORPHAN_TIMEOUT, clock.now()), [id(2)]);
    runs.finish(id(1), 7, 100);
    assert_eq!(runs.resume(id(1), clock.now()), ResumedRun::Finished(7));
}

/// Guards against results of at-most-once runs that are dropped because of large results of others.
#[test]
fn large_results_are_dropped_before_those_of_at_most_once_runs() {
    let now = ManualClock::new().now();
    let mut runs = RunTable::<u8>::new();
    let once = runs.start(id(1), terms(true, now + DEADLINE));
    assert_eq!(once, StartVerdict::Started);
    assert!(runs.begin(id(1)));
    runs.finish(id(1), 1, 6 << 20);
    for number in 2..=4 {
        begin(&mut runs, number, now + DEADLINE);
        runs.finish(id(number), 2, 3 << 20);
    }
    assert_eq!(runs.resume(id(1), now), ResumedRun::Finished(1));
    assert_eq!(runs.resume(id(4), now), ResumedRun::Unknown);
}

/// Guards against a message that arrives after its run was forgotten, and that starts it again.
#[test]
fn message_of_a_forgotten_run_does_not_start_it() {
    let clock = ManualClock::new();
    let mut runs = RunTable::<u8>::new();
    begin(&mut runs, 5, clock.now());
    runs.finish(id(5), 1, 1);
    clock.advance(Duration::from_secs(60));
    assert_eq!(runs.expire(ORPHAN_TIMEOUT, clock.now()), []);
    let late = terms(true, clock.now() + DEADLINE);
    for number in [4, 5] {
        assert_eq!(runs.start(id(number), late), StartVerdict::Forgotten);
        assert_eq!(runs.resume(id(number), clock.now()), ResumedRun::Unknown);
    }
    assert_eq!(runs.start(id(6), late), StartVerdict::Started);
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
            match random.choose_index(7)? {
                0 => {
                    let deadline =
                        clock.now() + Duration::from_millis(random.int_in_range(0..=6_000)?);
                    runs.start(id(number), terms(random.arbitrary()?, deadline));
                }
                1 => {
                    let bytes = random.int_in_range(0..=6_usize << 20)?;
                    runs.finish(id(number), 1, bytes);
                }
                2 => runs.orphan(1, clock.now()),
                3 => {
                    for orphaned in runs.expire(ORPHAN_TIMEOUT, clock.now()) {
                        runs.stop(orphaned, BlockCause::Orphaned, clock.now());
                    }
                }
                4 => {
                    let resumed = runs.resume(id(number), clock.now());
                    let is_blocked = matches!(resumed, ResumedRun::Blocked(_));
                    assert!(!is_blocked || !began.contains(&number), "run {number}");
                }
                5 => {
                    if runs.begin(id(number)) {
                        began.insert(number);
                    }
                }
                _ => clock.advance(Duration::from_millis(random.int_in_range(0..=6_000)?)),
            }
        }
        Ok(())
    });
}

/// Guards against a second start of a run under any order of messages, cancellations and results, and
/// against one that begins after it was reported as blocked.
#[test]
fn run_starts_at_most_once() {
    fixed_seeds::check(|random| {
        let clock = ManualClock::new();
        let mut runs = RunTable::<u8>::new();
        let mut started = BTreeSet::new();
        let mut blocked = BTreeSet::new();
        for _ in 0..40 {
            let number = u64::from(random.int_in_range(1..=3_u8)?);
            match random.choose_index(6)? {
                0 => {
                    let terms = terms(random.arbitrary()?, clock.now() + DEADLINE);
                    if runs.start(id(number), terms) == StartVerdict::Started {
                        assert!(started.insert(number), "started twice");
                        assert!(!blocked.contains(&number), "started after it was blocked");
                    }
                }
                1 => {
                    runs.stop(id(number), BlockCause::Cancelled, clock.now());
                    blocked.insert(number);
                }
                2 => runs.finish(id(number), 1, 1),
                3 => {
                    if let ResumedRun::Blocked(_) = runs.resume(id(number), clock.now()) {
                        blocked.insert(number);
                    }
                }
                4 => {
                    let begins = runs.begin(id(number));
                    assert!(
                        !begins || !blocked.contains(&number),
                        "begins though blocked"
                    );
                }
                _ => clock.advance(Duration::from_millis(50)),
            }
        }
        Ok(())
    });
}

/// Guards against a run that is reported as not begun because its sender was dropped from the bounded
/// list of senders whose runs were removed.
#[test]
fn run_of_a_dropped_sender_is_unknown() {
    const SENDERS: u64 = 16_400;
    let clock = ManualClock::new();
    let mut runs = RunTable::<u8>::new();
    let run = |sender| RunId { sender, number: 1 };
    for sender in 0..SENDERS {
        runs.start(run(sender), terms(true, clock.now()));
        assert!(runs.begin(run(sender)));
        runs.finish(run(sender), 1, 1);
    }
    clock.advance(DEADLINE);
    runs.expire(ORPHAN_TIMEOUT, clock.now());
    for sender in [0, SENDERS - 1] {
        assert_eq!(runs.resume(run(sender), clock.now()), ResumedRun::Unknown);
    }
}
