//! Daemons that the lists of instances in view name.

use crate::{common::*, decision::routing::upstream_set::InstanceInfo};

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
    by_data_centre: IndexMap<SmolStr, Vec<PeerInfo>>,
}

impl PeerView {
    /// Replaces the list of one service.
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
        self.by_data_centre.clear();
        for peer in self.lists.values().flatten().take(MAX_PEERS) {
            let group = self.by_data_centre.entry(peer.data_centre.clone());
            group.or_default().push(peer.clone());
        }
        // The choice of a data centre by turn needs the same order on all daemons.
        self.by_data_centre.sort_unstable_keys();
    }

    /// Returns the daemons of a data centre.
    pub fn data_centre(&self, name: &str) -> &[PeerInfo] {
        self.by_data_centre.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the data centres with their daemons, by name.
    pub fn data_centres(&self) -> impl Iterator<Item = (&SmolStr, &[PeerInfo])> {
        self.by_data_centre
            .iter()
            .map(|(name, peers)| (name, peers.as_slice()))
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.by_data_centre.values().map(Vec::len).sum()
    }

    /// Returns whether no daemon is in view.
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }
}
