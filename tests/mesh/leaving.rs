//! End of a daemon.

use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::leave_wait::LeaveWait,
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);

fn wait(clock: &ManualClock) -> LeaveWait {
    let now = clock.now();
    LeaveWait::new(
        now + Duration::from_millis(2_500),
        now + Duration::from_secs(5),
        now,
    )
}

/// Guards against requests that arrived while the process did not run, and that are lost because it ends
/// before it has read them.
#[test]
fn process_that_was_paused_reads_before_it_ends() {
    let clock = ManualClock::new();
    let mut wait = wait(&clock);
    clock.advance(Duration::from_secs(3));
    assert!(!wait.is_over(true, clock.now()));
    clock.advance(STEP);
    assert!(!wait.is_over(false, clock.now()), "a request was read");
    for _ in 0..20 {
        clock.advance(STEP);
        wait.is_over(false, clock.now());
    }
    assert!(wait.is_over(true, clock.now()));
}

/// Guards against a process that ends before its clients have left, or that waits until it is killed.
#[test]
fn process_ends_when_its_clients_have_left() {
    let clock = ManualClock::new();
    let mut wait = wait(&clock);
    let begin = clock.now();
    while !wait.is_over(true, clock.now()) {
        clock.advance(STEP);
    }
    assert_eq!(clock.now() - begin, Duration::from_millis(2_500));
    clock.advance(Duration::from_secs(4));
    assert!(wait.is_over(false, clock.now()), "the time is over");
}
