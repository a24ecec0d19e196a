//! Callers with keys, from the entry to the backend server, with daemons on loopback addresses.

use crate::{
    end_to_end::{Fleet, send_request},
    stand_ins::config,
};
use bytes::Bytes;
use skylarkstream::{
    mesh::{
        forwarded_caller,
        peer_frame::{CallFrame, CallerNote, PeerFrame, RunResult},
        store_interface::StoreFormat,
    },
    platform::{context_names::context_headers, store_format::PlatformStore},
};
use std::{sync::Arc, time::Duration};

/// Returns a configuration with organisations that hold these keys.
fn keyed_config(version: u64, keys: &str, rate: f64) -> String {
    format!(
        r#"{{"version":"r{version}","routes":[{{"name":"safe","hostname":"h","prefix":"/safe/",
        "route-type":"safe","timeout-s":20,"target-latency-s":10,"priority":0,"service":"s",
        "max-attempts":2,"allow-anonymous":false}},{{"name":"open","hostname":"h",
        "prefix":"/open/","route-type":"safe","timeout-s":20,"target-latency-s":10,"priority":0,
        "service":"s","max-attempts":2,"allow-anonymous":true}}],"services":[],
        "tenants":[{{"name":"first","api-keys":[{keys}],"rate-per-s":{rate},"burst":1}}]}}"#
    )
}

async fn start(config: &str) -> Fleet {
    let fleet = Fleet::start().await;
    fleet.put_config(config);
    for outbound in &fleet.outbound {
        while !send(*outbound, "/safe/x", "")
            .await
            .starts_with("HTTP/1.1 401")
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    fleet
        .backends
        .iter()
        .for_each(|backend| backend.runs.lock().clear());
    fleet
}

async fn send(outbound: std::net::SocketAddr, path: &str, lines: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n{lines}\r\n");
    send_request(outbound, &text).await
}

/// Guards against a key that leaves its entry, and against an organisation that a caller states itself.
#[tokio::test]
async fn backend_servers_get_the_organisation_instead_of_the_key() {
    let fleet = start(&keyed_config(2, "\"key-1\"", 0.0)).await;
    let forged = "Tenant: forged\r\ntENANT: second\r\nCREDENTIAL: key-1\r\n";
    let response = send(fleet.outbound[0], "/safe/x", forged).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let forged = "Tenant: forged\r\nCredential: key-1\r\nConnection: Tenant\r\n";
    let response = send(fleet.outbound[1], "/open/x", forged).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    for run in fleet.runs() {
        let run = run.to_lowercase();
        let is_open = run.starts_with("get /open/");
        assert_eq!(
            run.matches("tenant: ").count(),
            usize::from(!is_open),
            "{run}"
        );
        assert_eq!(run.contains("tenant: first"), !is_open, "{run}");
        assert!(
            !run.contains("credential") && !run.contains("key-1"),
            "{run}"
        );
    }
    assert_eq!(fleet.runs().len(), 2);
}

/// Guards against requests that run without a valid key, and against keys in responses.
#[tokio::test]
async fn requests_without_a_valid_key_are_not_run() {
    let fleet = start(&keyed_config(2, "\"key-1\"", 0.0)).await;
    let cases = [
        ("", "missing-key"),
        ("Credential: key-2\r\n", "unknown-key"),
        ("Credential: key-1\r\nCredential: key-1\r\n", "unknown-key"),
    ];
    for (lines, reason) in cases {
        let response = send(fleet.outbound[0], "/safe/x", lines).await;
        assert!(response.starts_with("HTTP/1.1 401"), "{response}");
        assert!(
            response.contains(&format!("skylark-reason: {reason}")),
            "{response}"
        );
        assert!(!response.contains("key-2"), "{response}");
    }
    assert!(fleet.runs().is_empty());
}

/// Guards against a key that works after it was taken away, and one that does not after it was given.
#[tokio::test]
async fn keys_follow_the_configuration() {
    let fleet = start(&keyed_config(2, "\"key-1\"", 0.0)).await;
    fleet.put_config(&keyed_config(3, "\"key-2\"", 0.0));
    for outbound in &fleet.outbound {
        let status = |key: &'static str| async move {
            let response = send(*outbound, "/safe/x", &format!("Credential: {key}\r\n")).await;
            response.split(' ').nth(1).unwrap_or_default().to_owned()
        };
        while status("key-1").await != "401" {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(status("key-2").await, "200");
    }
    fleet.put_config(&keyed_config(4, "", 0.0));
    let send_known = || send(fleet.outbound[0], "/safe/x", "Credential: key-2\r\n");
    while !send_known().await.starts_with("HTTP/1.1 401") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let shared = r#""key-3"]},{"name":"second","api-keys":["key-3""#;
    fleet.put_config(&keyed_config(5, shared, 0.0));
    fleet.put_config(&config(6));
    while !send_known().await.starts_with("HTTP/1.1 200") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let is_forwarded = |run: &String| run.to_lowercase().contains("credential: key-2");
    assert!(fleet.runs().iter().any(is_forwarded));
}

/// Guards against requests beyond an allotment that run, and against a refusal without the time after
/// which the caller may return.
#[tokio::test]
async fn requests_over_the_allotment_are_refused() {
    let fleet = start(&keyed_config(2, "\"key-1\"", 2.0)).await;
    let mut refused = 0;
    while refused < 20 {
        let response = send(fleet.outbound[0], "/safe/x", "Credential: key-1\r\n").await;
        if response.starts_with("HTTP/1.1 200") {
            continue;
        }
        assert!(response.starts_with("HTTP/1.1 429"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
        assert!(
            response.contains("skylark-reason: over-allotment"),
            "{response}"
        );
        refused += 1;
    }
}

fn call(head: &'static str, caller: CallerNote) -> CallFrame {
    CallFrame {
        number: 1,
        service: "s".into(),
        instance: "i".into(),
        caller_service: "s".into(),
        route: "safe".into(),
        class: 1,
        rank: 0,
        is_marked_retry: false,
        is_at_most_once: false,
        remaining_ms: 1,
        max_wait_ms: 1,
        queued_at_us: 0,
        method: "GET".into(),
        attempt_id: Bytes::from_static(b"a1"),
        head: Bytes::from_static(head.as_bytes()),
        body: Bytes::new(),
        caller,
    }
}

/// Guards against keys that an entry of an earlier build passes on, as during an upgrade.
#[test]
fn executor_identifies_callers_that_the_entry_did_not() {
    let headers = context_headers();
    let config = keyed_config(2, "\"key-1\"", 0.0);
    let routes = PlatformStore.decode_config(config.as_bytes()).map(Arc::new);
    let routes = routes.expect("a table");
    let unidentified = CallerNote::default();
    let head = "GET /safe/x HTTP/1.1\r\nHost: h\r\nTenant: forged\r\nCredential: key-1\r\n";
    let mut known = call(head, unidentified);
    assert!(forwarded_caller::identify(&mut known, Some(&routes), &headers).is_ok());
    let sent = String::from_utf8_lossy(&known.head).into_owned();
    assert_eq!(sent, "GET /safe/x HTTP/1.1\r\nHost: h\r\nTenant: first\r\n");
    let mut unknown = call("GET /safe/x HTTP/1.1\r\nHost: h\r\n", unidentified);
    let refused = forwarded_caller::identify(&mut unknown, Some(&routes), &headers);
    assert!(matches!(refused, Err(RunResult::Response(response)) if response.status == 401));
    let identified = CallerNote {
        is_identified: true,
    };
    let mut trusted = call(head, identified);
    assert!(forwarded_caller::identify(&mut trusted, Some(&routes), &headers).is_ok());
    assert_eq!(trusted.head, head.as_bytes());
}

/// Guards against a note on the caller that does not reach the executor, and against bytes on the wire
/// of a fleet without organisations.
#[test]
fn note_on_the_caller_is_appended() {
    let mut lengths = Vec::new();
    for is_identified in [false, true] {
        let frame = PeerFrame::Call(Box::new(call("", CallerNote { is_identified })));
        let mut buffer = bytes::BytesMut::new();
        frame.encode(&mut buffer);
        lengths.push(buffer.len());
        let decoded = PeerFrame::decode(&mut buffer).expect("a valid message");
        let Some(PeerFrame::Call(decoded)) = decoded else {
            panic!("not a call");
        };
        assert_eq!(decoded.caller.is_identified, is_identified);
    }
    assert_eq!(lengths[1], lengths[0] + 1);
}
