//! Choice of the peers for a round of exchanges.

use super::{
    peer_view::{PeerInfo, PeerView},
    reader_choice::ReaderChoice,
};
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Peers of the own data centre for each round.
pub const PEERS_PER_ROUND: usize = 2;

/// Peers that a fresh daemon asks.
pub const START_PEERS: usize = 3;

/// Rounds of exchanges of one daemon.
#[derive(Debug)]
pub struct GossipRound {
    own: PeerInfo,
    seeds: Vec<SocketAddr>,
    turn: usize,
}

impl GossipRound {
    /// Creates the rounds of a daemon with its seed peers.
    pub fn new(own: PeerInfo, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.control);
        Self {
            seeds: seeds.collect(),
            own,
            turn: 0,
        }
    }

    /// Returns whether seed peers are set.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Returns the peers that a fresh daemon asks.
    pub fn start_peers(&self, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        sample(&self.seeds, START_PEERS, rng)
    }

    /// Returns the peers of the next regular round.
    pub fn next_peers(&mut self, view: &PeerView, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        self.turn = self.turn.wrapping_add(1);
        let mut peers = self.push_peers(view, rng);
        peers.extend(self.link_peer(view, rng));
        // A seed joins every tenth round, so that lists that name disjoint parts of the fleet
        // cannot keep these parts from each other.
        if self.turn.is_multiple_of(10) {
            peers.extend(sample(&self.seeds, 1, rng));
        }
        peers
    }

    /// Returns the peers for one push of a change.
    pub fn push_peers(&self, view: &PeerView, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        let local: Vec<SocketAddr> = view
            .data_centre(&self.own.data_centre)
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

    /// Returns a peer of another data centre if this daemon is a link; the data centre changes
    /// with each round.
    pub fn link_peer(&self, view: &PeerView, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let choice = ReaderChoice::new(view);
        if !choice.is_link(&self.own.instance, &self.own.data_centre) {
            return None;
        }
        let others: Vec<&[PeerInfo]> = view
            .data_centres()
            .filter(|(name, _)| **name != self.own.data_centre)
            .map(|(_, peers)| peers)
            .collect();
        let group = others.get(self.turn % others.len().max(1))?;
        Some(group[rng.random_range(0..group.len())].control)
    }
}

fn sample(addresses: &[SocketAddr], count: usize, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
    let mut chosen = Vec::with_capacity(count);
    // A few extra draws make up for repeats; a shorter sample is harmless.
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
