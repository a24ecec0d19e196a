//! Requests that crash each backend server that begins to run them, and come again.

use crate::{
    end_to_end::{Fleet, request, send_request},
    stand_ins::CRASH_PATH,
};

/// Crashes after which a request may reach servers only a few times more, and that number.
const KNOWN_CRASHES: usize = 3;
const ALLOWED_RUNS: usize = 3;

/// Starts servers that are down, and sends other requests until each was served once.
async fn restart_and_serve(fleet: &Fleet, round: usize) {
    for backend in &fleet.backends {
        backend.restart().await;
    }
    for (number, outbound) in fleet.outbound.iter().enumerate() {
        let mut response = String::new();
        while !response.starts_with("HTTP/1.1 200") {
            let text = request("/safe/popular", &format!("p{round}-{number}"));
            response = send_request(*outbound, &text).await;
        }
    }
}

/// Guards against a request that ends one server after the other, since each daemon judges each
/// attempt alone.
#[tokio::test]
async fn request_that_crashed_three_servers_reaches_few_more() {
    const ROUNDS: usize = 8;
    let fleet = Fleet::start().await;
    for round in 0..ROUNDS {
        let outbound = fleet.outbound[round % fleet.outbound.len()];
        let text = request(CRASH_PATH, &format!("c{round}"));
        let response = send_request(outbound, &text).await;
        assert!(response.starts_with("HTTP/1.1 50"), "{response}");
        restart_and_serve(&fleet, round).await;
    }
    let crashes: usize = fleet.backends.iter().map(|b| *b.crashes.lock()).sum();
    let allowed = KNOWN_CRASHES + ALLOWED_RUNS;
    assert!(crashes <= allowed, "{crashes} crashes, {allowed} allowed");
}
