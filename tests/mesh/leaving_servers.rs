//! Backend servers that announce in their responses that they leave.

use crate::end_to_end::{Fleet, request, send_request};

/// Sends requests through both daemons in turn; returns how many of them succeeded.
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

/// Guards against requests to a server after a response in which it announced that it leaves.
#[tokio::test]
async fn server_that_announces_its_leaving_gets_no_more_requests() {
    const REQUESTS: usize = 100;
    let fleet = Fleet::start().await;
    send_requests(&fleet, REQUESTS).await;
    let backends = fleet.backends.iter();
    let preferred = backends.max_by_key(|backend| backend.run_count());
    let leaving = preferred.expect("a backend server");
    leaving.set_header_lines("Server-Leaving: 1\r\n");
    let ready_runs = leaving.run_count();
    while leaving.run_count() == ready_runs {
        send_requests(&fleet, 1).await;
    }
    let announced_runs = leaving.run_count();
    assert_eq!(send_requests(&fleet, REQUESTS).await, REQUESTS);
    assert_eq!(leaving.run_count(), announced_runs);
}
