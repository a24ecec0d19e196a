//! Callers that reuse their connections to one daemon, even while it is draining.

use crate::{
    announcements::CRASH_PATH,
    fleet::Fleet,
    history::{ObservedResult, SentRequest},
    http_text::{field, read_message},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncWriteExt, BufStream},
    net::TcpStream,
    time::{error::Elapsed, timeout},
};

/// Time beyond the deadline of a request after which a missing response counts as a timeout.
pub const RESPONSE_MARGIN: Duration = Duration::from_secs(10);

/// Deadline that callers send with each request.
const DEADLINE_MS: u64 = 3_000;

/// Converts what the sender of a request received into a result.
pub fn observed_result(response: Result<Option<&str>, &Elapsed>) -> ObservedResult {
    let now = Instant::now();
    match response {
        Err(_) => ObservedResult::TimedOut(now),
        Ok(None) => ObservedResult::Closed(now),
        Ok(Some(text)) => {
            let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
            ObservedResult::Response {
                status: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                signature: field(head, "server-signature"),
                attempt_id: field(head, "attempt-id"),
                body: body.to_owned(),
            }
        }
    }
}

/// Sends requests to one daemon until the round stops its callers.
pub async fn send_until_stopped(fleet: Arc<Fleet>, machine: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !fleet.is_stopping() {
        let Ok(stream) = TcpStream::connect(fleet.outbound(machine)).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut stream = BufStream::new(stream);
        while !fleet.is_stopping() {
            let pause_ms = rng.random_range(5..60);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let is_reusable = exchange(&fleet, machine, &mut stream, &mut rng).await;
            if !is_reusable || rng.random_bool(0.03) {
                break;
            }
        }
    }
}

/// Sends one request over a new connection; returns whether its response has status 200.
pub async fn is_served(
    fleet: &Fleet,
    machine: usize,
    address: SocketAddr,
    route: &str,
    method: &str,
) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let attempt_id = fleet.next_attempt_id();
    let sent = new_request(fleet, machine, route, method, &attempt_id, String::new());
    let text = request_text(&sent, &attempt_id, false);
    fleet.history.record_sent(&attempt_id, sent);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let max_wait = Duration::from_millis(DEADLINE_MS) + RESPONSE_MARGIN;
    let mut stream = BufStream::new(stream);
    let response = timeout(max_wait, read_message(&mut stream)).await;
    let result = observed_result(response.as_ref().map(|text| text.as_deref()));
    let is_served = matches!(&result, ObservedResult::Response { status, .. } if status == "200");
    fleet.history.record_result(&attempt_id, result);
    is_served
}

/// Sends the request that crashes backend servers to one daemon.
pub async fn send_culprit(fleet: &Fleet, machine: usize) {
    let Ok(mut stream) = TcpStream::connect(fleet.outbound(machine)).await else {
        return;
    };
    let attempt_id = fleet.next_attempt_id();
    let sent = SentRequest {
        method_and_path: format!("GET {CRASH_PATH}"),
        ..new_request(fleet, machine, "safe", "GET", &attempt_id, String::new())
    };
    let text = request_text(&sent, &attempt_id, false);
    fleet.history.record_sent(&attempt_id, sent);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    let max_wait = Duration::from_millis(DEADLINE_MS) + RESPONSE_MARGIN;
    let mut stream = BufStream::new(stream);
    let response = timeout(max_wait, read_message(&mut stream)).await;
    let result = observed_result(response.as_ref().map(|text| text.as_deref()));
    fleet.history.record_result(&attempt_id, result);
}

fn new_request(
    fleet: &Fleet,
    machine: usize,
    route: &str,
    method: &str,
    attempt_id: &str,
    body: String,
) -> SentRequest {
    SentRequest {
        caller_service: fleet.service(machine).to_owned(),
        machine,
        method_and_path: format!("{method} /{route}/x?a={attempt_id}"),
        body,
        is_at_most_once: route == "once",
        allowed_services: fleet.services_of_route(route),
        is_call_of_retry: false,
        sent_at: Instant::now(),
    }
}

/// Sends one request, or several pipelined ones; returns whether the connection can be reused.
async fn exchange(
    fleet: &Fleet,
    machine: usize,
    stream: &mut BufStream<TcpStream>,
    rng: &mut Pcg64Mcg,
) -> bool {
    let count = if rng.random_bool(0.15) { 3 } else { 1 };
    let mut attempt_ids = Vec::new();
    for _ in 0..count {
        let route = match rng.random_range(0..10) {
            // Only requests that may be retried are pipelined.
            0..4 if count == 1 => "once",
            4..6 => "nest",
            _ => "safe",
        };
        let attempt_id = fleet.next_attempt_id();
        let body = match route {
            "once" => "b".repeat(rng.random_range(0..300)),
            _ => String::new(),
        };
        let method = if route == "once" { "POST" } else { "GET" };
        let sent = new_request(fleet, machine, route, method, &attempt_id, body);
        let text = request_text(&sent, &attempt_id, rng.random_bool(0.5));
        fleet.history.record_sent(&attempt_id, sent);
        attempt_ids.push(attempt_id);
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
    }
    let _ = stream.flush().await;
    let gives_up = rng.random_bool(0.02);
    let max_wait = if gives_up {
        Duration::from_millis(rng.random_range(1..60))
    } else {
        Duration::from_millis(DEADLINE_MS) + RESPONSE_MARGIN
    };
    let mut is_reusable = true;
    for attempt_id in &attempt_ids {
        let response = if is_reusable {
            timeout(max_wait, read_message(stream)).await
        } else {
            Ok(None)
        };
        let text = response.as_ref().map(|text| text.as_deref());
        let result = match observed_result(text) {
            ObservedResult::TimedOut(_) if gives_up => ObservedResult::Abandoned,
            ObservedResult::Response {
                attempt_id: Some(other),
                ..
            } if other != *attempt_id => {
                let violation = format!("MIXED: {attempt_id} received the response to {other}");
                fleet.history.record_violation(violation);
                ObservedResult::Abandoned
            }
            // Pipelined requests after the end of the connection need no response. Their runs are
            // still checked.
            ObservedResult::Closed(_) if !is_reusable => ObservedResult::Abandoned,
            result => result,
        };
        let closes_connection = text.ok().flatten().is_none_or(|text| {
            field(text, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        is_reusable &= !closes_connection;
        fleet.history.record_result(attempt_id, result);
    }
    is_reusable
}

fn request_text(sent: &SentRequest, attempt_id: &str, is_chunked: bool) -> String {
    let head = format!(
        "{} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Caller-Service: forged\r\n",
        sent.method_and_path
    );
    let body = &sent.body;
    if body.is_empty() {
        return format!("{head}Content-Length: 0\r\n\r\n");
    }
    if is_chunked {
        let (first, second) = body.split_at(body.len() / 2 + 1);
        let chunk = |text: &str| match text.len() {
            0 => String::new(),
            length => format!("{length:x}\r\n{text}\r\n"),
        };
        let (first, second) = (chunk(first), chunk(second));
        return format!("{head}Transfer-Encoding: chunked\r\n\r\n{first}{second}0\r\n\r\n");
    }
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}
