//! Detection of silent connections between daemons, without I/O.

use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::link_liveness::{LinkLiveness, LivenessAction},
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);

/// Checks the connection at every step; returns the time after which it is closed, if it is.
fn time_to_close(
    liveness: &mut LinkLiveness,
    clock: &ManualClock,
    has_calls: bool,
) -> Option<Duration> {
    let begin = clock.now();
    (0..20).find_map(|_| {
        clock.advance(STEP);
        let action = liveness.check(has_calls, clock.now());
        matches!(action, LivenessAction::Close(_)).then(|| clock.now() - begin)
    })
}

/// Guards against a connection that is closed later while a request waits than while it is idle, and
/// against one that is never closed.
#[test]
fn silent_connection_is_closed_sooner_while_calls_wait() {
    let clock = ManualClock::new();
    let mut idle = LinkLiveness::new(clock.now());
    assert!(idle.record_send(false, true, clock.now()), "no ping");
    let idle_time = time_to_close(&mut idle, &clock, false).expect("the connection is closed");
    let mut busy = LinkLiveness::new(clock.now());
    assert!(!busy.record_send(false, false, clock.now()));
    let busy_time = time_to_close(&mut busy, &clock, true).expect("the connection is closed");
    assert!(busy_time < idle_time, "{busy_time:?} {idle_time:?}");
}

/// Guards against connections to healthy peers that are closed after a pause of the own process.
#[test]
fn pause_of_the_own_process_is_not_attributed_to_the_peer() {
    let clock = ManualClock::new();
    let mut liveness = LinkLiveness::new(clock.now());
    liveness.record_send(false, true, clock.now());
    clock.advance(Duration::from_secs(3));
    assert_eq!(liveness.check(false, clock.now()), LivenessAction::Wait);
}

/// Guards against a second ping while the first one has no response, which would make a silent
/// connection look new.
#[test]
fn load_messages_do_not_hide_a_missing_response() {
    let clock = ManualClock::new();
    let mut liveness = LinkLiveness::new(clock.now());
    assert!(liveness.record_send(false, true, clock.now()));
    clock.advance(STEP * 4);
    assert!(!liveness.record_send(false, true, clock.now()));
    let time = time_to_close(&mut liveness, &clock, false);
    assert!(time.is_some_and(|time| time <= STEP * 5), "{time:?}");
}
