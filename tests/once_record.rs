//! Table of run records, and tickets, without I/O.

mod support;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use skylarkstream::decision::once::{
    recorded_response::RecordedResponse,
    run_record_table::{RecordDecision, RecordLimits, RecordedResult, RunRecordTable},
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

fn response(length: usize) -> RecordedResult {
    RecordedResult::Kept(Arc::new(RecordedResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; length]),
    }))
}

fn issuer(incarnation: u64, now: Instant) -> TicketIssuer {
    TicketIssuer::new("dc-1".into(), "b-1".into(), incarnation, [7; 32], now)
}

/// Guards against a second run of a key before its expiry, a run after a cancellation, and a table
/// that exceeds its limits. Requests, results, queries and the passing of time come in random
/// order.
#[test]
fn key_runs_at_most_once() {
    support::check(1_024, |u| {
        let mut now = Instant::now();
        let mut table = RunRecordTable::new(LIMITS);
        let mut expiries: HashMap<u8, Instant> = HashMap::new();
        let mut active = HashSet::new();
        while !u.is_empty() {
            let key = u.int_in_range(0..=9_u8)?;
            let expiry = now + Duration::from_millis(u.int_in_range(1..=50)?);
            let is_recorded =
                active.contains(&key) || expiries.get(&key).is_some_and(|at| now < *at);
            match u.int_in_range(0..=4_u8)? {
                0 => {
                    let decision = table.begin(key, 0, expiry, now);
                    let is_run = decision == RecordDecision::Run;
                    assert!(!(is_run && is_recorded), "{key} ran twice");
                    if is_recorded {
                        assert_ne!(
                            decision,
                            RecordDecision::Full,
                            "the record of {key} was evicted"
                        );
                    }
                    if is_run {
                        expiries.insert(key, expiry);
                        active.insert(key);
                    }
                }
                1 => {
                    if table.resume(key, expiry, now) == RecordDecision::Cancelled && !is_recorded {
                        expiries.insert(key, expiry);
                    }
                }
                2 => {
                    if active.remove(&key) {
                        table.finish(key, response(u.int_in_range(0..=900)?));
                    }
                }
                3 => {
                    if active.remove(&key) {
                        table.release(key);
                        expiries.remove(&key);
                    }
                }
                _ => now += Duration::from_millis(u.int_in_range(0..=40)?),
            }
            assert!(table.len() <= LIMITS.records);
            assert!(table.bytes() <= LIMITS.bytes, "{} bytes", table.bytes());
        }
        Ok(())
    });
}

/// Guards against a full table that evicts a record before its expiry to make room for a new key.
#[test]
fn full_table_refuses_new_keys() {
    let now = Instant::now();
    let expiry = now + Duration::from_secs(1);
    let mut table = RunRecordTable::new(LIMITS);
    for key in 0..6 {
        assert_eq!(table.begin(key, 0, expiry, now), RecordDecision::Run);
        table.finish(key, response(10));
    }
    assert_eq!(table.begin(6, 0, expiry, now), RecordDecision::Full);
    assert_eq!(table.resume(7, expiry, now), RecordDecision::Full);
    assert_eq!(
        table.begin(0, 0, expiry, now),
        RecordDecision::Finished(response(10))
    );
    assert_eq!(
        table.begin(6, 0, expiry + expiry.duration_since(now), expiry),
        RecordDecision::Run
    );
}

/// Guards against a response that is returned to a different request with the same ticket.
#[test]
fn different_request_with_same_key_is_a_mismatch() {
    let now = Instant::now();
    let expiry = now + Duration::from_secs(1);
    let mut table = RunRecordTable::new(LIMITS);
    assert_eq!(table.begin(1, 5, expiry, now), RecordDecision::Run);
    assert_eq!(table.begin(1, 6, expiry, now), RecordDecision::Mismatch);
}

/// Guards against tickets that are accepted after they were changed, after their expiry or after a
/// restart of the daemon.
#[test]
fn ticket_is_valid_only_unchanged_until_expiry_or_restart() {
    let now = Instant::now();
    let mut issuer_1 = issuer(1, now);
    let ticket = issuer_1.issue(Duration::from_secs(1), now);
    let parsed: TicketId = ticket.to_string().parse().unwrap();
    assert!(issuer_1.is_executor(&parsed));
    assert_eq!(
        issuer_1.verify(&parsed, now),
        Ok(now + Duration::from_secs(1))
    );
    let expiry = now + Duration::from_secs(1);
    assert_eq!(issuer_1.verify(&parsed, expiry), Err(TicketError::Expired));
    assert_eq!(
        issuer(2, now).verify(&parsed, now),
        Err(TicketError::Incarnation)
    );
    let extended = TicketId {
        expiry_ms: ticket.expiry_ms + 1,
        ..ticket
    };
    assert_eq!(issuer_1.verify(&extended, now), Err(TicketError::Mac));
}

/// Guards against ticket texts that cause a panic, or that are accepted although they were changed.
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
            let is_executor = issuer_1.is_executor(&parsed);
            assert!(
                !is_executor || issuer_1.verify(&parsed, now).is_err(),
                "{text}"
            );
        }
        Ok(())
    });
}
