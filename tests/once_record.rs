//! Record of runs and tickets, without I/O.

mod support;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use skylarkstream::decision::once::{
    attempt_record::{AttemptRecord, RecordDecision, RecordLimits, RunEnd},
    recorded_response::RecordedResponse,
    ticket_id::TicketId,
    ticket_issuer::{TicketError, TicketIssuer},
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

const LIMITS: RecordLimits = RecordLimits {
    records: 6,
    bytes: 2_000,
    response_bytes: 600,
    reserved_bytes: 300,
};

fn response(length: usize) -> RunEnd {
    RunEnd::Kept(Arc::new(RecordedResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; length]),
    }))
}

fn issuer(incarnation: u64, now: Instant) -> TicketIssuer {
    TicketIssuer::new("dc-1".into(), "b-1".into(), incarnation, [7; 32], now)
}

/// Guards against a second run of a key before its expiry, a run after a cancellation, and a record
/// that outgrows its bounds, under random orders of arrivals, ends, questions and time.
#[test]
fn key_runs_at_most_once() {
    support::check(1_024, |u| {
        let mut now = Instant::now();
        let mut record = AttemptRecord::new(LIMITS);
        let mut expiries: HashMap<u8, Instant> = HashMap::new();
        let mut active = HashSet::new();
        while !u.is_empty() {
            let key = u.int_in_range(0..=9_u8)?;
            let expiry = now + Duration::from_millis(u.int_in_range(1..=50)?);
            let is_remembered =
                active.contains(&key) || expiries.get(&key).is_some_and(|at| now < *at);
            match u.int_in_range(0..=4_u8)? {
                0 => {
                    let decision = record.begin(key, 0, expiry, now);
                    let runs = decision == RecordDecision::Run;
                    assert!(!(runs && is_remembered), "{key} ran twice");
                    if is_remembered {
                        assert_ne!(decision, RecordDecision::Full, "{key} was forgotten");
                    }
                    if runs {
                        expiries.insert(key, expiry);
                        active.insert(key);
                    }
                }
                1 => {
                    if record.resume(key, expiry, now) == RecordDecision::Cancelled
                        && !is_remembered
                    {
                        expiries.insert(key, expiry);
                    }
                }
                2 => {
                    if active.remove(&key) {
                        record.finish(key, response(u.int_in_range(0..=900)?));
                    }
                }
                3 => {
                    if active.remove(&key) {
                        record.release(key);
                        expiries.remove(&key);
                    }
                }
                _ => now += Duration::from_millis(u.int_in_range(0..=40)?),
            }
            assert!(record.len() <= LIMITS.records);
            assert!(record.bytes() <= LIMITS.bytes, "{} bytes", record.bytes());
        }
        Ok(())
    });
}

/// Guards against a full record that forgets an old key to take a new one.
#[test]
fn full_record_refuses_new_keys() {
    let now = Instant::now();
    let expiry = now + Duration::from_secs(1);
    let mut record = AttemptRecord::new(LIMITS);
    for key in 0..6 {
        assert_eq!(record.begin(key, 0, expiry, now), RecordDecision::Run);
        record.finish(key, response(10));
    }
    assert_eq!(record.begin(6, 0, expiry, now), RecordDecision::Full);
    assert_eq!(record.resume(7, expiry, now), RecordDecision::Full);
    assert_eq!(
        record.begin(0, 0, expiry, now),
        RecordDecision::Ended(response(10))
    );
    assert_eq!(
        record.begin(6, 0, expiry + expiry.duration_since(now), expiry),
        RecordDecision::Run
    );
}

/// Guards against a response that passes to another request with the same ticket.
#[test]
fn other_request_with_the_key_is_a_mismatch() {
    let now = Instant::now();
    let expiry = now + Duration::from_secs(1);
    let mut record = AttemptRecord::new(LIMITS);
    assert_eq!(record.begin(1, 5, expiry, now), RecordDecision::Run);
    assert_eq!(record.begin(1, 6, expiry, now), RecordDecision::Mismatch);
}

/// Guards against tickets that are accepted after a change, an expiry or a restart.
#[test]
fn ticket_is_valid_only_as_issued() {
    let now = Instant::now();
    let mut issuer_1 = issuer(1, now);
    let ticket = issuer_1.issue(Duration::from_secs(1), now);
    let parsed: TicketId = ticket.to_string().parse().unwrap();
    assert!(issuer_1.is_executor(&parsed));
    assert_eq!(
        issuer_1.verify(&parsed, now),
        Ok(now + Duration::from_secs(1))
    );
    let late = now + Duration::from_secs(1);
    assert_eq!(issuer_1.verify(&parsed, late), Err(TicketError::Expired));
    assert_eq!(
        issuer(2, now).verify(&parsed, now),
        Err(TicketError::Incarnation)
    );
    let longer = TicketId {
        expiry_ms: ticket.expiry_ms + 1,
        ..ticket
    };
    assert_eq!(issuer_1.verify(&longer, now), Err(TicketError::Mac));
}

/// Guards against a panic or an accepted forgery on any text of a ticket.
#[test]
fn changed_ticket_text_is_refused() {
    let now = Instant::now();
    let mut issuer_1 = issuer(1, now);
    let ticket = issuer_1.issue(Duration::from_secs(1), now).to_string();
    support::check(16, |u| {
        let mut bytes = ticket.clone().into_bytes();
        let index = u.choose_index(bytes.len())?;
        bytes[index] = u.arbitrary()?;
        if let Ok(text) = String::from_utf8(bytes)
            && text != ticket
            && let Ok(parsed) = text.parse::<TicketId>()
        {
            let is_own = issuer_1.is_executor(&parsed);
            assert!(!is_own || issuer_1.verify(&parsed, now).is_err(), "{text}");
        }
        Ok(())
    });
}
