//! Backend servers that name a limit on their requests, change it and withdraw it.

use crate::end_to_end::{Fleet, send_requests};
use bytes::BytesMut;
use skylarkstream::{
    decision::{
        clock::{Clock, ManualClock},
        mesh::{
            instance_selector::LoadReport,
            named_limit::{LimitError, LimitPacer, NamedLimit, usable_slots},
            server_notes::ServerNotes,
        },
    },
    mesh::peer_frame::{NotRunReason, PeerFrame, ReplyFrame, RunResult},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Part by which requests may exceed a named limit, and number by which they may exceed it besides.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_REQUESTS: f64 = 5.0;

/// Length of the window in which requests are compared with the limit, in seconds.
const WINDOW_S: f64 = 4.0;

fn decode(values: &[&str]) -> Result<Option<f64>, LimitError> {
    let limit = NamedLimit::decode(values.iter().map(|value| value.as_bytes()));
    limit.map(|limit| limit.map(|limit| limit.rate))
}

/// Guards against a limit that is in force although no server can have meant it.
#[test]
fn only_a_single_decimal_number_is_a_limit() {
    assert_eq!(decode(&[]), Ok(None));
    assert_eq!(decode(&["0"]), Ok(Some(0.0)));
    assert_eq!(decode(&[" 17.1 "]), Ok(Some(17.1)));
    for invalid in ["", "x", "1e9", "inf", "NaN", "+3", "1,5", "1.2.3", "--1"] {
        assert_eq!(decode(&[invalid]), Err(LimitError::Number), "{invalid}");
    }
    assert_eq!(decode(&["-1"]), Err(LimitError::Range(-1.0)));
    assert_eq!(decode(&["2000000"]), Err(LimitError::Range(2e6)));
    assert_eq!(decode(&["5", "5"]), Err(LimitError::Ambiguous(2)));
}

/// Guards against a panic on bytes that are no text.
#[test]
fn arbitrary_bytes_are_no_limit_or_a_finite_one() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Ok(Some(limit)) = NamedLimit::decode([bytes.as_slice()].into_iter()) {
            assert!(limit.rate.is_finite() && limit.rate >= 0.0);
        }
        Ok(())
    });
}

/// Guards against a server that gets more requests than the limit that it names, summed over the
/// daemons that passed it on, and against requests that fail although another server has room.
#[tokio::test]
async fn requests_beyond_a_named_limit_go_to_other_servers() {
    const LIMIT: f64 = 2.0;
    const REQUESTS: usize = 200;
    let fleet = Fleet::start().await;
    send_requests(&fleet, REQUESTS).await;
    let backends = fleet.backends.iter();
    let preferred = backends.max_by_key(|backend| backend.run_count());
    let limited = preferred.expect("a backend server");
    limited.set_header_lines(&format!("Server-Limit: {LIMIT}\r\n"));
    let unlimited_runs = limited.run_count();
    while limited.run_count() == unlimited_runs {
        send_requests(&fleet, 2).await;
    }
    let (started, before) = (Instant::now(), limited.run_count());
    assert_eq!(send_requests(&fleet, REQUESTS).await, REQUESTS);
    let window = started.elapsed().as_secs_f64().max(WINDOW_S);
    let runs = limited.run_count() - before;
    let allowed = ALLOWED_FACTOR * LIMIT * window + ALLOWED_REQUESTS;
    assert!(
        runs as f64 <= allowed,
        "{runs} requests in {window} s, {allowed} allowed"
    );
}

/// Offers requests to a pacer for a time; returns when they started, in seconds.
fn paced_starts(
    pacer: &mut LimitPacer,
    clock: &ManualClock,
    length: Duration,
    max_wait: Duration,
) -> Vec<f64> {
    let started = clock.now();
    let mut starts = Vec::new();
    while clock.now() < started + length {
        if let Some(start) = pacer.reserve(max_wait, clock.now()) {
            starts.push((start - started).as_secs_f64());
        }
        clock.advance(Duration::from_millis(3));
    }
    starts
}

/// Guards against a window in which a server gets more than it allows, and against a limit that is
/// not used up although more requests come.
#[test]
fn each_window_keeps_a_named_limit_and_uses_it() {
    for rate in [0.0, 0.3, 2.0, 17.1, 140.0] {
        for max_wait in [Duration::ZERO, Duration::from_millis(400)] {
            let clock = ManualClock::new();
            let mut pacer = LimitPacer::default();
            pacer.observe(Some(NamedLimit { rate }), clock.now(), clock.now());
            let starts = paced_starts(&mut pacer, &clock, Duration::from_secs(30), max_wait);
            for from in &starts {
                let window = starts
                    .iter()
                    .filter(|at| (*from..from + WINDOW_S).contains(*at));
                let count = window.count() as f64;
                let allowed = ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_REQUESTS;
                assert!(
                    count <= allowed,
                    "{rate}: {count} from {from} s, {allowed} allowed"
                );
            }
            let used = starts.len() as f64;
            assert!(used >= rate * 29.0, "{rate}: only {used} requests in 30 s");
        }
    }
}

/// Guards against a limit that stays in force after its withdrawal, and against a raised or lowered
/// one that is used late.
#[test]
fn changed_and_withdrawn_limits_are_in_force_at_once() {
    let clock = ManualClock::new();
    let second = Duration::from_secs(1);
    let mut pacer = LimitPacer::default();
    let mut count = |rate: Option<f64>| {
        pacer.observe(
            rate.map(|rate| NamedLimit { rate }),
            clock.now(),
            clock.now(),
        );
        paced_starts(&mut pacer, &clock, second, Duration::ZERO).len()
    };
    let unlimited = count(None);
    let counts = [Some(10.0), Some(50.0), Some(10.0), Some(0.0), None].map(&mut count);
    let bounds = [(10, 16), (50, 76), (5, 16), (0, 2), (unlimited, unlimited)];
    for (count, (least, most)) in counts.into_iter().zip(bounds) {
        assert!((least..=most).contains(&count), "{counts:?}");
    }
}

/// Guards against a limit that is withdrawn or raised by a response that the server sent before it
/// named the limit, and that arrives later.
#[test]
fn overtaken_response_neither_withdraws_nor_raises_a_limit() {
    let limit = |rate| Some(NamedLimit { rate });
    let clock = ManualClock::new();
    let mut pacer = LimitPacer::default();
    let sent_before = clock.now();
    clock.advance(Duration::from_millis(10));
    let named_at = clock.now();
    assert!(pacer.observe(limit(9.0), sent_before, named_at));
    assert!(!pacer.observe(None, sent_before, named_at));
    assert!(!pacer.observe(limit(20.0), sent_before, named_at));
    assert_eq!(pacer.limit(), limit(9.0));
    assert!(pacer.observe(limit(7.0), sent_before, named_at));
    clock.advance(Duration::from_millis(10));
    assert!(pacer.observe(None, clock.now(), clock.now()));
    assert_eq!(pacer.limit(), None);
}

/// Guards against a server that gets all requests again because the daemon beside it was restarted,
/// and against peers that override what the server itself says.
#[test]
fn restarted_daemon_adopts_the_limit_that_peers_know() {
    let now = Instant::now();
    let mut pacer = LimitPacer::default();
    assert!(pacer.adopt(NamedLimit { rate: 9.0 }));
    assert!(!pacer.adopt(NamedLimit { rate: 12.0 }));
    assert!(pacer.adopt(NamedLimit { rate: 7.0 }));
    pacer.observe(None, now, now);
    assert!(!pacer.adopt(NamedLimit { rate: 7.0 }));
    assert_eq!(pacer.limit(), None);
    pacer.reset();
    assert!(pacer.adopt(NamedLimit { rate: 7.0 }));
}

/// Guards against a plan that gives a limited server all of its slots.
#[test]
fn limited_server_has_the_slots_that_its_rate_uses() {
    let run_time = Duration::from_millis(150);
    let slots = [0.0, 1.0, 20.0, 100.0, 1e6].map(|rate| NamedLimit { rate });
    let slots = slots.map(|limit| usable_slots(limit, run_time, 74));
    assert_eq!(slots, [1, 1, 3, 15, 74]);
}

/// Guards against messages that daemons of earlier builds cannot read, and against theirs being
/// refused: they neither send nor expect the bytes after a message.
#[test]
fn notes_are_appended_so_that_earlier_builds_ignore_them() {
    const LENGTH_BYTES: usize = 4;
    let notes = ServerNotes {
        instance: "i-1".into(),
        named_rate: Some(17.1),
        is_leaving: true,
        crash: None,
    };
    let reply = |notes| {
        PeerFrame::Reply(Arc::new(ReplyFrame {
            number: 3,
            result: RunResult::NotRun(NotRunReason::Busy),
            load: LoadReport::default(),
            service_time_us: None,
            notes,
        }))
    };
    let decode = |mut bytes: BytesMut| match PeerFrame::decode(&mut bytes) {
        Ok(Some(PeerFrame::Reply(reply))) => (reply.number, reply.notes.clone()),
        other => panic!("{other:?}"),
    };
    let mut with_notes = BytesMut::new();
    reply(notes.clone()).encode(&mut with_notes);
    let read_by_earlier_build: PeerFrame =
        postcard::from_bytes(&with_notes[LENGTH_BYTES..]).expect("the message without the notes");
    let mut without_notes = BytesMut::new();
    read_by_earlier_build.encode(&mut without_notes);
    assert!(without_notes.len() < with_notes.len());
    assert_eq!(decode(with_notes), (3, notes));
    assert_eq!(decode(without_notes), (3, ServerNotes::default()));
}
