//! Callers that read slowly.

use crate::{
    end_to_end::{Fleet, request, send_request},
    stand_ins::Behaviour,
};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Guards against requests that hold slots and make no progress while an earlier response on their
/// connection is read slowly.
#[tokio::test]
async fn pipelined_requests_end_while_a_response_is_read_slowly() {
    const BODY_BYTES: usize = 24 << 20;
    let fleet = Fleet::start().await;
    for backend in &fleet.backends {
        *backend.body.lock() = Some("x".repeat(BODY_BYTES));
    }
    let mut stream = TcpStream::connect(fleet.outbound[0])
        .await
        .expect("a connection");
    fleet.set_behaviour(Behaviour::Hold);
    let texts: String = (0..13)
        .map(|number| request("/safe/x", &format!("a{number}")))
        .collect();
    stream.write_all(texts.as_bytes()).await.expect("a write");
    while fleet.runs().len() < 13 {
        tokio::task::yield_now().await;
    }
    // The response to the first request is the first that arrives; of the others, most are held.
    let mut first = [0; 1];
    while timeout(Duration::from_millis(200), stream.read_exact(&mut first))
        .await
        .is_err()
    {
        let backends = fleet.backends.iter();
        backends.for_each(|backend| backend.release.notify_one());
    }
    for backend in &fleet.backends {
        *backend.body.lock() = None;
    }
    for backend in &fleet.backends {
        backend.set(Behaviour::Respond);
        backend.release.notify_waiters();
    }
    let ending = async {
        for address in &fleet.metrics {
            while !send_request(*address, "GET / HTTP/1.1\r\n\r\n")
                .await
                .contains("skylark_runs_in_flight 0")
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    timeout(Duration::from_secs(10), ending)
        .await
        .expect("an end of all runs");
}
