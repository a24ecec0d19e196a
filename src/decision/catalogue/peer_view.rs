//! Daemons that the lists of instances in view name.

use crate::{common::*, decision::routing::upstream_set::InstanceInfo};
use xxhash_rust::xxh3::xxh3_64;

/// Most daemons of a view.
pub const MAX_PEERS: usize = 4_096;

/// Daemon with a control listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address of the control listener.
    pub control: SocketAddr,
}

/// Daemons by data centre.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    lists: IndexMap<SmolStr, Vec<PeerInfo>>,
    groups: IndexMap<SmolStr, PeerGroup>,
    is_changed: bool,
}

/// Daemons of one data centre with the hashes of their names.
#[derive(Clone, Debug, Default)]
struct PeerGroup {
    peers: Vec<PeerInfo>,
    hashes: Vec<u64>,
}

impl PeerView {
    /// Replaces the list of one service; [`Self::refresh`] makes it visible.
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
        self.is_changed = true;
    }

    /// Groups the daemons again after changes of lists; returns whether there were any.
    pub fn refresh(&mut self) -> bool {
        if !std::mem::take(&mut self.is_changed) {
            return false;
        }
        self.groups.clear();
        for peer in self.lists.values().flatten().take(MAX_PEERS) {
            let group = self.groups.entry(peer.data_centre.clone()).or_default();
            group.hashes.push(xxh3_64(peer.instance.as_bytes()));
            group.peers.push(peer.clone());
        }
        // The choice of a data centre by turn needs the same order on all daemons.
        self.groups.sort_unstable_keys();
        true
    }

    /// Returns the daemons of a data centre.
    pub fn data_centre(&self, name: &str) -> &[PeerInfo] {
        self.groups.get(name).map_or(&[], |group| &group.peers)
    }

    /// Returns the daemons of a data centre with the hashes of their names.
    pub fn hashed(&self, name: &str) -> impl Iterator<Item = (u64, &PeerInfo)> {
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

    /// Returns whether no daemon is in view.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
