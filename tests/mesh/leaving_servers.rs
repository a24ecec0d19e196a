//! Backend servers that announce in their responses that they leave.

use crate::{
    end_to_end::{Fleet, send_requests},
    fleet_view::{entry, position},
};
use bytes::BytesMut;
use skylarkstream::{
    decision::{
        clock::{Clock, ManualClock},
        mesh::{
            fleet_view::{BackendEntry, FleetView, ServingState, VersionedEntry},
            instance_selector::{InstanceSelector, SelectionRequest},
            server_notes::ServerNotes,
        },
    },
    mesh::{peer_frame::PeerFrame, server_state::ServerState},
};
use std::time::Duration;

fn leaving_notes(id: &str) -> ServerNotes {
    ServerNotes {
        instance: id.into(),
        named_rate: None,
        is_leaving: true,
        crash: None,
    }
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

/// Guards against a server that is used again although it has announced that it leaves: after an
/// older message, a handshake or an entry that still calls it ready.
#[test]
fn leaving_server_returns_only_after_a_restart() {
    let clock = ManualClock::new();
    let mut view = FleetView::new();
    let mut selector = InstanceSelector::new("dc-1".into(), 7);
    let mut publish = |selector: &mut InstanceSelector, revision, started_ms| {
        let value = BackendEntry {
            started_ms: Some(started_ms),
            ..entry("s", "10.0.0.1:80", ServingState::Ready)
        };
        let versioned_entry = VersionedEntry {
            id: "i-1".into(),
            position: position(revision),
            value: Some(value),
        };
        view.apply(&versioned_entry, clock.now());
        selector.update(&view, clock.now());
    };
    let select = |selector: &mut InstanceSelector| {
        let request = SelectionRequest {
            service: "s",
            route: "r",
            latency_target: Duration::from_secs(1),
            needs_slot: true,
        };
        selector.select(request, &[], clock.now())
    };
    let ip = "10.0.0.1".parse().expect("an address");
    publish(&mut selector, 1, 5);
    let selected = select(&mut selector).expect("the instance");
    selector.record_notes(selected.key, &leaving_notes("i-1"));
    assert_eq!(select(&mut selector), None);
    assert_eq!(selector.server_notes(ip), leaving_notes("i-1"));
    selector.record_notes(selected.key, &ServerNotes::default());
    selector.set_leaving(ip, false, clock.now());
    clock.advance(Duration::from_secs(60));
    assert_eq!(select(&mut selector), None);
    publish(&mut selector, 2, 5);
    assert_eq!(select(&mut selector), None);
    publish(&mut selector, 3, 6);
    assert!(select(&mut selector).is_some());
}

/// Guards against a daemon that only heard of the leaving from its peer, uses the server again after
/// the handshake of the restarted peer, and cannot tell that one. Earlier builds read the message as
/// that of a stopping daemon.
#[test]
fn announced_leaving_outlasts_a_restart_of_the_daemon() {
    const LENGTH_BYTES: usize = 4;
    let mut bytes = BytesMut::new();
    PeerFrame::ServerLeaving(leaving_notes("i-1")).encode(&mut bytes);
    let read_by_earlier_build = postcard::from_bytes(&bytes[LENGTH_BYTES..]);
    assert!(matches!(read_by_earlier_build, Ok(PeerFrame::Leaving)));
    let Ok(Some(PeerFrame::ServerLeaving(notes))) = PeerFrame::decode(&mut bytes) else {
        panic!("not the message that was encoded");
    };
    let clock = ManualClock::new();
    let mut view = FleetView::new();
    let versioned_entry = VersionedEntry {
        id: "i-1".into(),
        position: position(1),
        value: Some(entry("s", "10.0.0.1:80", ServingState::Ready)),
    };
    view.apply(&versioned_entry, clock.now());
    let mut selector = InstanceSelector::new("dc-1".into(), 7);
    selector.update(&view, clock.now());
    let ip = "10.0.0.1".parse().expect("an address");
    selector.set_leaving(ip, true, clock.now());
    selector.record_peer_notes(ip, &notes);
    selector.set_leaving(ip, false, clock.now());
    assert!(!selector.can_reach("s", clock.now()));
    assert_eq!(selector.server_notes(ip), leaving_notes("i-1"));
}

/// Guards against runs that a restarted daemon sends to a server that leaves, and against a new
/// server that gets none because of its predecessor.
#[test]
fn restarted_daemon_refuses_runs_until_another_server_is_published() {
    let server = ServerState::default();
    server.adopt_notes(&leaving_notes("i-1"));
    assert!(server.is_leaving());
    server.set_published(&"i-1".into(), Some(5));
    assert!(server.is_leaving());
    server.set_published(&"i-2".into(), Some(9));
    assert!(!server.is_leaving());
    server.adopt_notes(&leaving_notes("i-1"));
    assert!(!server.is_leaving());
    server.adopt_notes(&leaving_notes("i-2"));
    server.set_published(&"i-2".into(), Some(10));
    assert!(!server.is_leaving());
}
