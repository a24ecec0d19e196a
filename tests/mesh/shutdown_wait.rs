//! Wait of a daemon for its clients and requests before it exits.

use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::shutdown_wait::ShutdownWait,
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);

fn start_wait(clock: &ManualClock) -> ShutdownWait {
    let now = clock.now();
    ShutdownWait::new(
        now + Duration::from_millis(2_500),
        now + Duration::from_secs(5),
        now,
    )
}

/// Guards against the loss of requests that arrived while the process was paused, because it exits
/// before it has read them.
#[test]
fn process_reads_requests_after_a_pause_before_it_exits() {
    let clock = ManualClock::new();
    let mut wait = start_wait(&clock);
    clock.advance(Duration::from_secs(3));
    assert!(!wait.is_done(true, clock.now()));
    clock.advance(STEP);
    assert!(!wait.is_done(false, clock.now()), "a request is open");
    for _ in 0..20 {
        clock.advance(STEP);
        wait.is_done(false, clock.now());
    }
    assert!(wait.is_done(true, clock.now()));
}

/// Guards against a process that exits before its clients have disconnected, or that waits until it
/// is killed.
#[test]
fn process_exits_when_its_clients_have_disconnected() {
    let clock = ManualClock::new();
    let mut wait = start_wait(&clock);
    let started = clock.now();
    while !wait.is_done(true, clock.now()) {
        clock.advance(STEP);
    }
    assert_eq!(clock.now() - started, Duration::from_millis(2_500));
    clock.advance(Duration::from_secs(4));
    assert!(
        wait.is_done(false, clock.now()),
        "the latest exit time has passed"
    );
}
