//! Choice of daemons for a role by rendezvous hashing.

use super::peer_view::{PeerInfo, PeerView};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Readers of the platform in each data centre.
pub const READERS_PER_DATA_CENTRE: usize = 3;

/// Most readers over all data centres. A wrong list can name a data centre for each instance.
pub const MAX_READERS: usize = 48;

/// Daemons of each data centre that exchange with other data centres.
pub const LINKS_PER_DATA_CENTRE: usize = 2;

/// Daemons of each data centre that keep the value of a key for others.
pub const HOLDERS_PER_DATA_CENTRE: usize = 3;

const READER_SEED: u64 = 1;
const LINK_SEED: u64 = 2;
const HOLDER_SEED: u64 = 3;

/// Choice of roles over the list in view.
#[derive(Clone, Copy, Debug)]
pub struct ReaderChoice<'a> {
    view: &'a PeerView,
}

impl<'a> ReaderChoice<'a> {
    /// Creates the choice over a view.
    pub fn new(view: &'a PeerView) -> Self {
        Self { view }
    }

    /// Returns the readers of a data centre.
    pub fn readers(&self, data_centre: &str) -> Vec<&'a PeerInfo> {
        top(
            self.view.hashed(data_centre),
            READER_SEED,
            READERS_PER_DATA_CENTRE,
        )
    }

    /// Returns whether an instance reads the platform. An instance that no list names does not.
    pub fn is_reader(&self, instance: &str, data_centre: &str) -> bool {
        let is_own = |peer: &&PeerInfo| peer.instance == instance;
        if !self.readers(data_centre).iter().any(is_own) {
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
        all.iter().rev().take(MAX_READERS).any(is_own)
    }

    /// Returns whether an instance exchanges with other data centres.
    pub fn is_link(&self, instance: &str, data_centre: &str) -> bool {
        let peers = self.view.hashed(data_centre);
        top(peers, LINK_SEED, LINKS_PER_DATA_CENTRE)
            .iter()
            .any(|peer| peer.instance == instance)
    }

    /// Returns the holders of a key in a data centre.
    pub fn holders(&self, key: &str, data_centre: &str) -> Vec<&'a PeerInfo> {
        let seed = xxh3_64_with_seed(key.as_bytes(), HOLDER_SEED);
        top(self.view.hashed(data_centre), seed, HOLDERS_PER_DATA_CENTRE)
    }

    /// Returns whether an instance is a holder of a key.
    pub fn is_holder(&self, key: &str, instance: &str, data_centre: &str) -> bool {
        self.holders(key, data_centre)
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

fn top<'a>(
    peers: impl Iterator<Item = (u64, &'a PeerInfo)>,
    seed: u64,
    count: usize,
) -> Vec<&'a PeerInfo> {
    let mut chosen: Vec<(u64, &PeerInfo)> = Vec::with_capacity(count + 1);
    for (hash, peer) in peers {
        let weight = weight(hash, seed);
        let position = chosen.partition_point(|(other, _)| *other > weight);
        if position < count {
            chosen.insert(position, (weight, peer));
            chosen.truncate(count);
        }
    }
    chosen.into_iter().map(|(_, peer)| peer).collect()
}
