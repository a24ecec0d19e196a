//! First store state of daemons that start together, without I/O.

use crate::stand_ins::config;
use skylarkstream::{
    decision::{clock::ManualClock, mesh::store_position::StorePosition},
    mesh::{
        fleet_state::FleetState,
        mesh_settings::MeshSettings,
        peer_frame::{HelloFrame, PeerFrame},
        peer_links::PeerLinks,
        sender_connections::QueuedFrame,
        store_interface::StoreItem,
    },
    platform::{context_names::context_headers, store_format::PlatformStore},
};
use std::{net::IpAddr, sync::Arc};
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// Position of the store in these tests.
const POSITION: StorePosition = StorePosition {
    era: 0,
    revision: 7,
};

fn settings(number: u8, seeds: &str) -> MeshSettings {
    let text = format!(
        "instance = \"i\"\ndata_centre = \"a\"\nservice = \"s\"\nbackend = \"127.0.0.{number}:1\"\n\
         outbound = \"127.0.0.{number}:2\"\npeer = \"127.0.0.{number}:3\"\n\
         readiness = \"127.0.0.{number}:4\"\nstore = \"127.0.0.1:5\"\nseeds = [{seeds}]\n\
         grace_s = 1.0\n"
    );
    MeshSettings::from_bytes(text.as_bytes()).expect("settings")
}

fn seed() -> (Arc<FleetState>, Arc<PeerLinks>) {
    let state = Arc::new(FleetState::new(
        settings(1, ""),
        context_headers(),
        Arc::new(PlatformStore),
        Arc::new(ManualClock::new()),
    ));
    let links = PeerLinks::new(Arc::clone(&state));
    (state, links)
}

/// Connects a peer that has just started; returns the messages to it.
fn connect(links: &PeerLinks, daemon_id: u64) -> UnboundedReceiver<QueuedFrame> {
    let (outbox, inbox) = mpsc::unbounded_channel();
    let hello = HelloFrame {
        daemon_id,
        ip: IpAddr::from([127, 0, 0, 9]),
        is_leaving: false,
        config_version: 0,
        member_count: 0,
        connection_number: 1,
        notes: Default::default(),
    };
    assert!(links.senders.register(&hello, &outbox, &Arc::default()));
    inbox
}

fn read_store(state: &FleetState) {
    read_version(state, 1);
}

fn read_version(state: &FleetState, version: u64) {
    let item = StoreItem {
        is_config: true,
        instance: None,
        position: POSITION,
        value: Some(config(version).into()),
    };
    state.apply_store_list(&[item], POSITION);
}

/// Guards against daemons of a fleet that starts at once and that read the store, because the seed
/// they ask has not read it yet.
#[test]
fn request_at_a_starting_seed_is_answered_after_its_first_read() {
    let (state, links) = seed();
    let mut inbox = connect(&links, 11);
    assert!(links.state_for(11).is_none());
    read_store(&state);
    links.send_awaited_state();
    let frame = inbox.try_recv().map(|queued| queued.frame);
    let Ok(PeerFrame::StoreUpdate(update)) = frame else {
        panic!("no store state");
    };
    assert!(update.is_complete);
    assert_eq!(update.last, POSITION);
    assert_eq!(update.items.len(), 1);
    links.send_awaited_state();
    assert!(inbox.try_recv().is_err(), "sent twice");
    assert!(links.state_for(11).is_some());
}

/// Guards against a first state that stays unknown to a peer that receives it from a seed.
#[test]
fn received_state_is_in_force() {
    let (state, links) = seed();
    read_store(&state);
    let Some(PeerFrame::StoreUpdate(update)) = links.state_for(11) else {
        panic!("no store state");
    };
    let (peer, _) = seed();
    peer.apply_update_from_peer(IpAddr::from([127, 0, 0, 1]), &update);
    assert!(peer.has_entries());
    assert_eq!(peer.routes().expect("routes").version().0, 1);
    assert_eq!(peer.store_status().position, POSITION);
}

/// Guards against a fleet in which the seeds wait for each other.
#[test]
fn seed_reads_the_store_at_its_start() {
    let seeds = "\"127.0.0.1:9\", \"127.0.0.2:9\"";
    assert!(settings(1, seeds).other_seeds().is_empty());
    let others: Vec<String> = settings(3, seeds)
        .other_seeds()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(others, ["127.0.0.1:3", "127.0.0.2:3"]);
    let state = FleetState::new(
        settings(1, seeds),
        context_headers(),
        Arc::new(PlatformStore),
        Arc::new(ManualClock::new()),
    );
    assert!(state.reader_election.lock().is_reading());
}

/// Guards against a daemon that starts and serves by the older routes of a restored store, or passes
/// them on, although its peers know later ones.
#[test]
fn starting_daemon_takes_the_state_of_a_peer_before_it_serves() {
    let peer_ip = IpAddr::from([127, 0, 0, 9]);
    let hello = |config_version| HelloFrame {
        config_version,
        ..seed().0.hello()
    };
    let (state, links) = seed();
    state.begin_start();
    read_store(&state);
    assert!(links.state_for(11).is_none(), "passes the older state on");
    assert_eq!(state.ask_peers([peer_ip].into_iter()), None);
    assert!(state.record_handshake(peer_ip, &hello(2)));
    assert!(!state.has_asked_peers(), "serves before the state arrives");
    let (peer, _) = seed();
    read_version(&peer, 2);
    state.apply_update_from_peer(peer_ip, &peer.full_store_state());
    assert!(state.has_asked_peers());
    state.finish_start();
    assert!(!state.is_starting());
    assert_eq!(state.routes().expect("routes").version().0, 2);
    assert!(links.state_for(11).is_some());
    let (state, _) = seed();
    state.begin_start();
    assert!(!state.has_asked_peers(), "serves before it has asked");
    assert_eq!(state.ask_peers([peer_ip].into_iter()), None);
    assert!(!state.record_handshake(peer_ip, &hello(0)));
    assert!(state.has_asked_peers(), "waits for a peer without a state");
    let (state, _) = seed();
    state.begin_start();
    assert!(!state.record_handshake(peer_ip, &hello(2)));
    assert_eq!(state.ask_peers([peer_ip].into_iter()), Some(peer_ip));
}
