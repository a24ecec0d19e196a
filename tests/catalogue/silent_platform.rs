//! Connections to the platform that are open and deliver nothing.

use skylarkstream::{
    controller::platform_controller::WATCH_WAIT,
    shell::{
        http_client::HttpClient,
        platform_client::{PlatformClient, PlatformError},
    },
};
use std::time::Duration;
use tokio::net::TcpListener;

/// Time within which a silent connection must be detected, so that a published profile is in force
/// in seconds.
const SILENCE_BOUND: Duration = Duration::from_secs(3);

/// Guards against a profile that is not in force for half a minute, because the connection of a
/// reader is silent and the reader takes it for a platform without changes.
#[tokio::test(start_paused = true)]
async fn watch_on_a_silent_connection_ends_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = PlatformClient::new(address, HttpClient::new());
    let begin = tokio::time::Instant::now();
    let result = client.watch(1, WATCH_WAIT).await;
    assert!(matches!(result, Err(PlatformError::TimedOut)), "{result:?}");
    assert!(begin.elapsed() <= SILENCE_BOUND, "{:?}", begin.elapsed());
}
