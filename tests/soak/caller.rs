//! Callers that go on using their connections until the process is gone.

use crate::{
    fleet::Fleet,
    http_text::{field, read_message},
    ledger::{SeenEnd, SentRequest},
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

/// Time beyond a caller's deadline after which a request counts as never answered.
pub const SILENCE_TIME: Duration = Duration::from_secs(10);

/// Time that callers give, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Returns what the sender of a request saw.
pub fn seen_end(answer: Result<Option<&str>, &Elapsed>) -> SeenEnd {
    let at = Instant::now();
    match answer {
        Err(_) => SeenEnd::Silent(at),
        Ok(None) => SeenEnd::Closed(at),
        Ok(Some(text)) => {
            let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
            SeenEnd::Answer {
                status: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                signature: field(head, "server-signature"),
                attempt: field(head, "attempt-id"),
                body: body.to_owned(),
            }
        }
    }
}

/// Sends requests to one daemon until the fleet ends its day.
pub async fn call_until_evening(fleet: Arc<Fleet>, machine: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !fleet.is_evening() {
        let Ok(stream) = TcpStream::connect(fleet.outbound(machine)).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut stream = BufStream::new(stream);
        while !fleet.is_evening() {
            let pause = rng.random_range(5..60);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let is_kept = exchange(&fleet, machine, &mut stream, &mut rng).await;
            if !is_kept || rng.random_bool(0.03) {
                break;
            }
        }
    }
}

/// Sends one request on a new connection; returns whether it is answered with success.
pub async fn is_served(
    fleet: &Fleet,
    machine: usize,
    address: SocketAddr,
    kind: &str,
    method: &str,
) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let attempt = fleet.next_attempt();
    let sent = sent_request(fleet, machine, kind, method, &attempt, String::new());
    let text = request_text(&sent, &attempt, false);
    fleet.ledger.on_sent(&attempt, sent);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let limit = Duration::from_millis(DEADLINE_MS) + SILENCE_TIME;
    let mut stream = BufStream::new(stream);
    let answer = timeout(limit, read_message(&mut stream)).await;
    let end = seen_end(answer.as_ref().map(|text| text.as_deref()));
    let is_served = matches!(&end, SeenEnd::Answer { status, .. } if status == "200");
    fleet.ledger.on_end(&attempt, end);
    is_served
}

fn sent_request(
    fleet: &Fleet,
    machine: usize,
    kind: &str,
    method: &str,
    attempt: &str,
    body: String,
) -> SentRequest {
    SentRequest {
        origin: fleet.service(machine).to_owned(),
        machine,
        line: format!("{method} /{kind}/x?a={attempt}"),
        body,
        is_once: kind == "once",
        services: fleet.services_of(kind),
        is_call_of_repeat: false,
        sent: Instant::now(),
    }
}

/// Sends one request, or several at once; returns whether the connection can be used again.
async fn exchange(
    fleet: &Fleet,
    machine: usize,
    stream: &mut BufStream<TcpStream>,
    rng: &mut Pcg64Mcg,
) -> bool {
    let count = if rng.random_bool(0.15) { 3 } else { 1 };
    let mut attempts = Vec::new();
    for _ in 0..count {
        let kind = match rng.random_range(0..10) {
            // Only requests that may be repeated are sent behind others.
            0..4 if count == 1 => "once",
            4..6 => "nest",
            _ => "safe",
        };
        let attempt = fleet.next_attempt();
        let body = match kind {
            "once" => "b".repeat(rng.random_range(0..300)),
            _ => String::new(),
        };
        let method = if kind == "once" { "POST" } else { "GET" };
        let sent = sent_request(fleet, machine, kind, method, &attempt, body);
        let text = request_text(&sent, &attempt, rng.random_bool(0.5));
        fleet.ledger.on_sent(&attempt, sent);
        attempts.push(attempt);
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
    }
    let _ = stream.flush().await;
    let leaves = rng.random_bool(0.02);
    let limit = if leaves {
        Duration::from_millis(rng.random_range(1..60))
    } else {
        Duration::from_millis(DEADLINE_MS) + SILENCE_TIME
    };
    let mut is_kept = true;
    for attempt in &attempts {
        let answer = if is_kept {
            timeout(limit, read_message(stream)).await
        } else {
            Ok(None)
        };
        let text = answer.as_ref().map(|text| text.as_deref());
        let end = match seen_end(text) {
            SeenEnd::Silent(_) if leaves => SeenEnd::Left,
            SeenEnd::Answer {
                attempt: Some(other),
                ..
            } if other != *attempt => {
                let fault = format!("MIXED: {attempt} was answered as {other}");
                fleet.ledger.fail(fault);
                SeenEnd::Left
            }
            // Requests behind one that ends a connection count only if they were passed on.
            SeenEnd::Closed(_) if !is_kept => SeenEnd::Left,
            end => end,
        };
        let closes = text.ok().flatten().is_none_or(|text| {
            field(text, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        is_kept &= !closes;
        fleet.ledger.on_end(attempt, end);
    }
    is_kept
}

fn request_text(sent: &SentRequest, attempt: &str, is_chunked: bool) -> String {
    let head = format!(
        "{} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Caller-Service: forged\r\n",
        sent.line
    );
    let body = &sent.body;
    if body.is_empty() {
        return format!("{head}Content-Length: 0\r\n\r\n");
    }
    if is_chunked {
        let (one, two) = body.split_at(body.len() / 2 + 1);
        let chunk = |text: &str| match text.len() {
            0 => String::new(),
            length => format!("{length:x}\r\n{text}\r\n"),
        };
        let (one, two) = (chunk(one), chunk(two));
        return format!("{head}Transfer-Encoding: chunked\r\n\r\n{one}{two}0\r\n\r\n");
    }
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}
