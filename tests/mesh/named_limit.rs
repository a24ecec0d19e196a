//! Backend servers that name a limit on their requests, change it and withdraw it.

use crate::end_to_end::{Fleet, request, send_request};
use skylarkstream::decision::mesh::named_limit::{LimitError, NamedLimit};
use std::time::Instant;

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

/// Sends requests to both daemons in turn; returns how many of them succeeded.
async fn send_requests(fleet: &Fleet, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let outbound = fleet.outbound[number % fleet.outbound.len()];
        let text = request("/safe/x", &format!("a{number}"));
        let response = send_request(outbound, &text).await;
        served += usize::from(response.starts_with("HTTP/1.1 200"));
    }
    served
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
