//! Request for the store state of a seed at the start of a daemon.

use crate::{
    common::*,
    mesh::{fleet_state::FleetState, peer_frame::PeerFrame, peer_links::PeerLinks},
};

/// Time for which a daemon waits for the state of one seed before it asks the next one. A seed that
/// starts at the same time needs it to read the store.
const SEED_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a daemon checks whether the state has arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Requests the store state of the seeds, one after the other, until this daemon has one. It reads
/// the store itself if none arrives in time; see `ReaderElection`.
pub async fn request_state(state: Arc<FleetState>, links: Arc<PeerLinks>) {
    let mut seeds = state.settings.other_seeds();
    if seeds.is_empty() {
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
