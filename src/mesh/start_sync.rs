//! First store state of a daemon that has just started.

use crate::{
    common::*,
    decision::mesh::start_check::MAX_ASKED_PEERS,
    mesh::{fleet_state::FleetState, peer_frame::PeerFrame, peer_links::PeerLinks},
};

/// Time for which a daemon waits for the state of one seed before it asks the next one. A seed that
/// starts at the same time needs it to read the store.
const SEED_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a daemon checks whether the state has arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Gets the first state of this daemon and asks its peers for theirs before it serves.
pub async fn request_state(state: Arc<FleetState>, links: Arc<PeerLinks>) {
    request_from_seeds(&state, &links).await;
    ask_peers(&state, &links).await;
    state.finish_start();
    links.send_awaited_state();
}

/// Requests the store state of the seeds, one after the other, until this daemon has one. It reads
/// the store itself if none arrives in time, or if it is a seed; see `ReaderElection`.
async fn request_from_seeds(state: &FleetState, links: &PeerLinks) {
    let mut seeds = state.settings.other_seeds();
    if seeds.is_empty() {
        while !state.has_entries() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        return;
    }
    // The daemons of a fleet that starts at once are spread over the seeds.
    let first = (state.daemon_id % seeds.len() as u64) as usize;
    seeds.rotate_left(first);
    for seed in seeds.iter().cycle() {
        if let Some(link) = links.link(*seed) {
            link.send(PeerFrame::FetchStoreState);
        }
        let limit = state.clock.now() + SEED_TIMEOUT;
        while state.clock.now() < limit {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if state.has_entries() {
                return;
            }
        }
    }
}

/// Asks some peers for their state, unless one has sent it already. A store that came back from a copy
/// has older routes than they do.
async fn ask_peers(state: &FleetState, links: &PeerLinks) {
    let mut peers = state.peer_addresses();
    let first = state.daemon_id as usize % peers.len().max(1);
    peers.rotate_left(first);
    peers.truncate(MAX_ASKED_PEERS);
    let requested = state.ask_peers(peers.iter().map(SocketAddr::ip));
    for peer in peers {
        let frame = if requested == Some(peer.ip()) {
            PeerFrame::FetchStoreState
        } else {
            PeerFrame::Ping
        };
        if let Some(link) = links.link(peer) {
            link.send(frame);
        }
    }
    while !state.has_asked_peers() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
