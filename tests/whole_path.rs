//! Requests through real daemons, backend servers and a platform service on the loopback interface.

use gotham::helpers::http::Body;
use http::Request;
use skylarkstream::{
    shell::{header_names, http_client::HttpClient},
    standin::{backend_server::BackendBehaviour, service_chain::ServiceChain},
};
use std::time::Duration;

const PROFILE: &str = r#"
name = "dispatch"
default_class = "roster"
classes = { assignment = 0, roster = 3 }
"#;

/// Guards against a fault anywhere on the path from the caller to the second service.
#[tokio::test(flavor = "multi_thread")]
async fn request_runs_on_both_services() {
    let leaf = BackendBehaviour::new(4, Duration::from_millis(1));
    let entry = leaf.clone().with_call("stand-status", "/stands/4");
    let chain = ServiceChain::builder()
        .profile("dispatch", PROFILE)
        .service("tug-dispatch", "dispatch", 1, entry)
        .service("stand-status", "dispatch", 1, leaf)
        .start()
        .await
        .unwrap();
    let edge = chain.instances[0].settings.edge;
    let request = Request::get(format!("http://{edge}/assignments/7"))
        .body(Body::default())
        .unwrap();
    let response = HttpClient::new().send(edge, request).await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()[header_names::OUTCOME], "ran");
    assert_eq!(chain.instances[0].backend.runs(), 1);
    assert_eq!(chain.instances[1].backend.runs(), 1);
    chain.stop().await;
}
