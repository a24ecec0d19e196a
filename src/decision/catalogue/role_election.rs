//! Election of daemons for roles by rendezvous hashing, without messages.

use super::peer_view::{PeerInfo, PeerView};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Readers in each data centre: daemons that read the platform for their data centre.
pub const READERS_PER_DATA_CENTRE: usize = 3;

/// Maximum number of readers in all data centres. A wrong list can name a separate data centre for
/// each instance.
pub const MAX_READERS: usize = 48;

/// Bridges in each data centre: daemons that exchange versions with other data centres.
pub const BRIDGES_PER_DATA_CENTRE: usize = 2;

/// Replicas of a key in each data centre: daemons that store its value for their peers.
pub const REPLICAS_PER_DATA_CENTRE: usize = 3;

const READER_SEED: u64 = 1;
const BRIDGE_SEED: u64 = 2;
const REPLICA_SEED: u64 = 3;

/// Election of roles among the daemons in a view.
#[derive(Clone, Copy, Debug)]
pub struct RoleElection<'a> {
    view: &'a PeerView,
}

impl<'a> RoleElection<'a> {
    /// Creates the election among the daemons in a view.
    pub fn new(view: &'a PeerView) -> Self {
        Self { view }
    }

    /// Returns the readers of a data centre.
    pub fn readers(&self, data_centre: &str) -> Vec<&'a PeerInfo> {
        highest_weighted(
            self.view.peers_with_hashes(data_centre),
            READER_SEED,
            READERS_PER_DATA_CENTRE,
        )
    }

    /// Returns whether an instance is a reader. An instance that is in no list is not.
    pub fn is_reader(&self, instance: &str, data_centre: &str) -> bool {
        let is_same_instance = |peer: &&PeerInfo| peer.instance == instance;
        if !self.readers(data_centre).iter().any(is_same_instance) {
            return false;
        }
        let names = self.view.data_centres().map(|(name, _)| name);
        if names.count() * READERS_PER_DATA_CENTRE <= MAX_READERS {
            return true;
        }
        let mut all: Vec<&PeerInfo> = self
            .view
            .data_centres()
            .flat_map(|(name, _)| self.readers(name))
            .collect();
        all.sort_unstable_by_key(|peer| weight(xxh3_64(peer.instance.as_bytes()), READER_SEED));
        all.iter().rev().take(MAX_READERS).any(is_same_instance)
    }

    /// Returns whether an instance is a bridge to other data centres.
    pub fn is_bridge(&self, instance: &str, data_centre: &str) -> bool {
        let peers = self.view.peers_with_hashes(data_centre);
        highest_weighted(peers, BRIDGE_SEED, BRIDGES_PER_DATA_CENTRE)
            .iter()
            .any(|peer| peer.instance == instance)
    }

    /// Returns the replicas of a key in a data centre.
    pub fn replicas(&self, key: &str, data_centre: &str) -> Vec<&'a PeerInfo> {
        let seed = xxh3_64_with_seed(key.as_bytes(), REPLICA_SEED);
        highest_weighted(
            self.view.peers_with_hashes(data_centre),
            seed,
            REPLICAS_PER_DATA_CENTRE,
        )
    }

    /// Returns whether an instance is a replica of a key.
    pub fn is_replica(&self, key: &str, instance: &str, data_centre: &str) -> bool {
        self.replicas(key, data_centre)
            .iter()
            .any(|peer| peer.instance == instance)
    }
}

/// Mixes the hash of a name with a seed; the constants are those of the finalizer of MurmurHash3.
fn weight(hash: u64, seed: u64) -> u64 {
    let mixed = hash ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Returns the `count` daemons with the highest weights, in descending order.
fn highest_weighted<'a>(
    peers: impl Iterator<Item = (u64, &'a PeerInfo)>,
    seed: u64,
    count: usize,
) -> Vec<&'a PeerInfo> {
    let mut highest: Vec<(u64, &PeerInfo)> = Vec::with_capacity(count + 1);
    for (hash, peer) in peers {
        let weight = weight(hash, seed);
        let position = highest.partition_point(|(other, _)| *other > weight);
        if position < count {
            highest.insert(position, (weight, peer));
            highest.truncate(count);
        }
    }
    highest.into_iter().map(|(_, peer)| peer).collect()
}
