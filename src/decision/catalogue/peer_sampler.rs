//! Random choice of the peers with which a daemon exchanges versions.

use super::{
    peer_view::{PeerInfo, PeerView},
    role_election::RoleElection,
};
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Interval between two rounds of exchanges.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Peers of the daemon's data centre that are chosen in each round.
pub const PEERS_PER_ROUND: usize = 2;

/// Seed peers with which a daemon exchanges versions when it starts.
pub const START_PEERS: usize = 3;

/// Choice of peers for the rounds of exchanges of one daemon.
#[derive(Debug)]
pub struct PeerSampler {
    own: PeerInfo,
    seeds: Vec<SocketAddr>,
    round: usize,
}

impl PeerSampler {
    /// Creates the sampler of a daemon with its seed peers.
    pub fn new(own: PeerInfo, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.control);
        Self {
            seeds: seeds.collect(),
            own,
            round: 0,
        }
    }

    /// Returns whether seed peers are set.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Returns the peers with which a daemon exchanges versions when it starts.
    pub fn start_peers(&self, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        sample(&self.seeds, START_PEERS, rng)
    }

    /// Returns the peers of the next regular round.
    pub fn next_peers(&mut self, view: &PeerView, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        self.round = self.round.wrapping_add(1);
        let mut peers = self.local_peers(view, rng);
        peers.extend(self.remote_peer(view, rng));
        // Every tenth round includes a seed peer. Otherwise parts of the fleet whose lists are
        // disjoint would never exchange versions.
        if self.round.is_multiple_of(10) {
            peers.extend(sample(&self.seeds, 1, rng));
        }
        peers
    }

    /// Returns random peers of the daemon's data centre, or seed peers if these are too few.
    pub fn local_peers(&self, view: &PeerView, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        let local: Vec<SocketAddr> = view
            .peers_in(&self.own.data_centre)
            .iter()
            .map(|peer| peer.control)
            .filter(|control| *control != self.own.control)
            .collect();
        let mut peers = sample(&local, PEERS_PER_ROUND, rng);
        if peers.len() < PEERS_PER_ROUND {
            peers.extend(sample(&self.seeds, PEERS_PER_ROUND - peers.len(), rng));
        }
        peers
    }

    /// Returns a peer of another data centre if this daemon is a bridge. The data centre changes
    /// with each round.
    pub fn remote_peer(&self, view: &PeerView, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let election = RoleElection::new(view);
        if !election.is_bridge(&self.own.instance, &self.own.data_centre) {
            return None;
        }
        let others: Vec<&[PeerInfo]> = view
            .data_centres()
            .filter(|(name, _)| **name != self.own.data_centre)
            .map(|(_, peers)| peers)
            .collect();
        let group = others.get(self.round % others.len().max(1))?;
        Some(group[rng.random_range(0..group.len())].control)
    }
}

fn sample(addresses: &[SocketAddr], count: usize, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
    let mut chosen = Vec::with_capacity(count);
    // The limit on draws allows for duplicates; a smaller sample is acceptable.
    for _ in 0..4 * count {
        if chosen.len() == count.min(addresses.len()) {
            break;
        }
        let address = addresses[rng.random_range(0..addresses.len())];
        if !chosen.contains(&address) {
            chosen.push(address);
        }
    }
    chosen
}
