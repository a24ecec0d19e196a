//! Daemons that are named in the instance lists.

use crate::{common::*, decision::routing::upstream_set::InstanceInfo};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of daemons in a view.
pub const MAX_PEERS: usize = 4_096;

/// Daemon that other daemons can reach at its control listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address of the control listener.
    pub control: SocketAddr,
}

/// Daemons by data centre, according to the instance lists that are in force.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    lists: IndexMap<SmolStr, Vec<PeerInfo>>,
    groups: IndexMap<SmolStr, PeerGroup>,
    has_changed: bool,
}

/// Daemons of one data centre with the hashes of their names.
#[derive(Clone, Debug, Default)]
struct PeerGroup {
    peers: Vec<PeerInfo>,
    hashes: Vec<u64>,
}

impl PeerView {
    /// Replaces the list of one service. The change takes effect with [`Self::refresh`].
    pub fn set_list(&mut self, service: &str, instances: &[InstanceInfo]) {
        let peers = instances
            .iter()
            .filter(|info| !info.leaving)
            .map(|info| PeerInfo {
                instance: info.instance.clone(),
                data_centre: info.data_centre.clone(),
                control: info.control,
            })
            .collect();
        self.lists.insert(service.into(), peers);
        self.has_changed = true;
    }

    /// Groups the daemons by data centre again if a list changed; returns whether one did.
    pub fn refresh(&mut self) -> bool {
        if !std::mem::take(&mut self.has_changed) {
            return false;
        }
        self.groups.clear();
        for peer in self.lists.values().flatten().take(MAX_PEERS) {
            let group = self.groups.entry(peer.data_centre.clone()).or_default();
            group.hashes.push(xxh3_64(peer.instance.as_bytes()));
            group.peers.push(peer.clone());
        }
        // Bridges contact the other data centres in turn, in an order that must be the same on all
        // daemons.
        self.groups.sort_unstable_keys();
        true
    }

    /// Returns the daemons of a data centre.
    pub fn peers_in(&self, name: &str) -> &[PeerInfo] {
        self.groups.get(name).map_or(&[], |group| &group.peers)
    }

    /// Returns the daemons of a data centre with the hashes of their names.
    pub fn peers_with_hashes(&self, name: &str) -> impl Iterator<Item = (u64, &PeerInfo)> {
        let group = self.groups.get(name).into_iter();
        group.flat_map(|group| group.hashes.iter().copied().zip(&group.peers))
    }

    /// Returns the data centres with their daemons, by name.
    pub fn data_centres(&self) -> impl Iterator<Item = (&SmolStr, &[PeerInfo])> {
        self.groups
            .iter()
            .map(|(name, group)| (name, group.peers.as_slice()))
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.peers.len()).sum()
    }

    /// Returns whether the view contains no daemon.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
