//! `demo`: a small call chain on loopback.

use super::SubcommandError;
use crate::{
    common::*,
    shell::{header_names, http_client::HttpClient},
    standin::{
        backend_server::{BackendBehaviour, DownstreamCall},
        service_chain::ServiceChain,
    },
};
use gotham::helpers::http::Body;
use http::{Request, header::HOST};
use http_body_util::BodyExt;
use tokio::runtime::Runtime;

const PROFILE: &str = r#"
name = "dispatch"
default_class = "roster"
[classes]
assignment = 0
roster = 3
[[routes]]
path = "/assignments"
class = "assignment"
idempotent = true
"#;

pub(super) fn demo() -> Result<(), SubcommandError> {
    Runtime::new()?.block_on(run_chain())
}

async fn run_chain() -> Result<(), SubcommandError> {
    let file_name = format!("skylarkstream-demo-{}.jsonl", std::process::id());
    let trace_file = std::env::temp_dir().join(file_name);
    let leaf = BackendBehaviour {
        slots: 10,
        service_time: Duration::from_millis(5),
        calls: Vec::new(),
    };
    let entry = BackendBehaviour {
        calls: vec![DownstreamCall {
            service: "stand-status".into(),
            path: "/assignments/stand".into(),
        }],
        ..leaf.clone()
    };
    let chain = ServiceChain::builder()
        .profile("dispatch", PROFILE)
        .service("tug-dispatch", "dispatch", 1, entry)
        .service("stand-status", "dispatch", 2, leaf)
        .trace_file(trace_file.clone())
        .start()
        .await?;
    show_answer(chain.instances[0].settings.edge).await?;
    chain.stop().await;
    println!("spans:");
    print!("{}", std::fs::read_to_string(&trace_file)?);
    std::fs::remove_file(&trace_file)?;
    Ok(())
}

async fn show_answer(edge: SocketAddr) -> Result<(), SubcommandError> {
    let request = Request::get(format!("http://{edge}/assignments/7"))
        .header(HOST, "tug-dispatch")
        .body(Body::default())
        .map_err(|_| SubcommandError::NoAnswer)?;
    let response = HttpClient::new()
        .send(edge, request)
        .await
        .map_err(|_| SubcommandError::NoAnswer)?;
    let outcome = response.headers().get(header_names::OUTCOME).cloned();
    println!("status {} outcome {outcome:?}", response.status());
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| SubcommandError::NoAnswer)?;
    print!("{}", String::from_utf8_lossy(&body.to_bytes()));
    Ok(())
}
