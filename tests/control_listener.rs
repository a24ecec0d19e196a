//! Control listener and client over TCP, and a daemon that can reach no other server.

use gotham::helpers::http::Body;
use http::Request;
use skylarkstream::{
    controller::gossip_controller::GossipController,
    decision::{
        catalogue::{
            catalogue_message::IndexDigest,
            catalogue_node::NodeSettings,
            catalogue_report::ValueSource,
            peer_view::PeerInfo,
            version_stamp::{ContentDigest, VersionStamp},
        },
        clock::{Clock, SystemClock},
    },
    settings::{DaemonSettings, LogSettings},
    shell::{
        control::{ControlError, ControlHeader, MAX_MESSAGE_BYTES},
        control_client::ControlClient,
        control_server, daemon, header_names,
        http_client::HttpClient,
    },
    standin::loopback_address,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

async fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

fn free_address() -> SocketAddr {
    loopback_address::reserve().expect("a free port")
}

/// Starts a control listener whose catalogue has `value` under `services/stand-status`.
async fn serve(value: &'static [u8]) -> (SocketAddr, VersionStamp) {
    let listener = bind_listener().await;
    let address = listener.local_addr().expect("a bound address");
    let settings = NodeSettings {
        own: PeerInfo {
            instance: "stand-status-1".into(),
            data_centre: "dc-1".into(),
            control: address,
        },
        services: vec!["stand-status".into()],
        seeds: Vec::new(),
        seed: 1,
    };
    let gossip = GossipController::new(settings, Arc::new(SystemClock));
    let stamp = VersionStamp {
        version: 3,
        digest: ContentDigest::of(value),
    };
    gossip.node().lock().on_value(
        &"services/stand-status".into(),
        stamp,
        &value.into(),
        ValueSource::Platform,
        SystemClock.now(),
    );
    let header = ControlHeader::new("loopback".into());
    tokio::spawn(control_server::serve(
        Arc::new(listener),
        header,
        Arc::new(gossip),
    ));
    (address, stamp)
}

fn client(protocol: u16, cluster: &str) -> ControlClient {
    ControlClient::new(
        ControlHeader {
            protocol,
            cluster: cluster.into(),
        },
        Arc::default(),
    )
}

fn digest() -> IndexDigest {
    IndexDigest {
        sender: ([127, 0, 0, 1], 9).into(),
        hashes: Default::default(),
        records: Vec::new(),
    }
}

/// Guards against exchanges with daemons of another cluster or protocol version.
#[tokio::test]
async fn other_cluster_and_protocol_are_refused() {
    let (address, _) = serve(b"profile = \"dispatch\"").await;
    let response = client(1, "other").exchange(address, digest()).await;
    assert_eq!(response, Err(ControlError::Cluster("other".into())));
    let response = client(2, "loopback").exchange(address, digest()).await;
    assert_eq!(response, Err(ControlError::Protocol(2)));
    let response = client(1, "loopback").exchange(address, digest()).await;
    assert!(response.is_ok());
}

/// Guards against values that cannot be transferred over the real transport, such as one of 1 MB.
#[tokio::test]
async fn value_is_fetched_in_pieces() {
    let value = format!("profile = \"a\"\n#{}", "x".repeat(1_000_000)).leak();
    let (address, stamp) = serve(value.as_bytes()).await;
    let client = client(1, "loopback");
    let key = "services/stand-status".into();
    let fetched = client.fetch(address, &key, stamp).await.unwrap();
    assert_eq!(fetched, value.as_bytes());
    let absent = client.fetch(address, &"profiles/a".into(), stamp).await;
    assert_eq!(absent, Err(ControlError::NotFound));
}

/// Guards against an oversized message that is read into memory, and against a listener that stops
/// after an oversized or invalid message.
#[tokio::test]
async fn oversized_or_invalid_message_closes_only_its_connection() {
    let (address, _) = serve(b"profile = \"dispatch\"").await;
    let length = MAX_MESSAGE_BYTES as u32 + 1;
    let messages: [&[u8]; 2] = [
        &length.to_be_bytes(),
        &[0, 0, 0, 8, 255, 255, 255, 255, 9, 9, 9, 9],
    ];
    for bytes in messages {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        assert_eq!(stream.read(&mut [0; 16]).await.unwrap_or(0), 0);
    }
    let response = client(1, "loopback").exchange(address, digest()).await;
    assert!(response.is_ok());
}

/// Guards against a daemon that runs requests without a profile while it can reach neither the
/// platform nor a peer.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_refuses_requests_while_nothing_is_reachable() {
    let settings = DaemonSettings {
        cluster: "loopback".into(),
        data_centre: "dc-1".into(),
        instance: "stand-status-1".into(),
        service: "stand-status".into(),
        backend: free_address(),
        edge: free_address(),
        peer: free_address(),
        outbound: free_address(),
        control: free_address(),
        admin: free_address(),
        platform: free_address(),
        seed_peers: vec![free_address()],
        calls: Vec::new(),
        log: LogSettings::default(),
        refusal_ms: 0,
        trace_endpoint: None,
        trace_file: None,
    };
    let edge = settings.edge;
    let stop = watch::Sender::new(false);
    let task = tokio::spawn(daemon::run(settings, stop.subscribe()));
    while TcpStream::connect(edge).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let request = Request::get(format!("http://{edge}/stands/4"));
    let request = request.body(Body::default()).unwrap();
    let response = HttpClient::new().send(edge, request).await.unwrap();
    assert_eq!(response.headers()[header_names::OUTCOME], "not-run");
    assert_eq!(response.headers()["skylark-reason"], "no-profile");
    stop.send_replace(true);
    task.await.unwrap().unwrap();
}
