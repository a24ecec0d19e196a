//! Roles of a daemon and the keys whose values it stores.

use super::{
    catalogue_index::CatalogueIndex,
    peer_view::{PeerInfo, PeerView},
    role_election::RoleElection,
};
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

/// Time for which a reader stores a value for its peers after the platform announced it.
const ANNOUNCED_VALUE_RETENTION: Duration = Duration::from_secs(60);

/// Roles of a daemon, and the keys whose values it stores for itself or for its peers.
#[derive(Debug)]
pub struct CatalogueRoles {
    own: PeerInfo,
    needed: HashSet<SmolStr>,
    replicated: HashSet<SmolStr>,
    announced: IndexMap<SmolStr, Instant>,
    /// Whether this daemon reads the platform for its data centre.
    pub is_reader: bool,
}

impl CatalogueRoles {
    /// Creates the roles of a daemon that has no instance list yet.
    pub fn new(own: PeerInfo) -> Self {
        Self {
            own,
            needed: HashSet::new(),
            replicated: HashSet::new(),
            announced: IndexMap::new(),
            is_reader: false,
        }
    }

    /// Computes the roles for a view. While the view is incomplete, a reader stays a reader and
    /// no other daemon becomes one.
    pub fn update(&mut self, view: &PeerView, index: &CatalogueIndex, is_complete: bool) {
        let election = RoleElection::new(view);
        let PeerInfo {
            instance,
            data_centre,
            ..
        } = &self.own;
        if is_complete {
            self.is_reader = election.is_reader(instance, data_centre);
        }
        self.replicated = index
            .keys()
            .filter(|key| election.is_replica(key, instance, data_centre))
            .cloned()
            .collect();
    }

    /// Replaces the keys that the daemon needs for itself, except the instance lists.
    pub fn set_needed(&mut self, needed: HashSet<SmolStr>) {
        self.needed = needed;
    }

    /// Records that the platform announced a change of a key.
    pub fn record_announcement(&mut self, key: &SmolStr, now: Instant) {
        self.announced
            .insert(key.clone(), now + ANNOUNCED_VALUE_RETENTION);
    }

    /// Drops announcements older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        self.announced.retain(|_, until| *until > now);
    }

    /// Returns whether the platform announced a change of a key within the retention time.
    pub fn is_announced(&self, key: &str) -> bool {
        self.announced.contains_key(key)
    }

    /// Returns whether the daemon needs a key for itself. All daemons need the instance lists.
    pub fn needs(&self, key: &str) -> bool {
        self.needed.contains(key) || key.starts_with("instances/")
    }

    /// Returns whether a key belongs to the daemon's own or a called service and is not an instance
    /// list.
    pub fn is_own_key(&self, key: &str) -> bool {
        self.needed.contains(key)
    }

    /// Returns the keys that the daemon needs for itself, without the instance lists.
    pub fn needed(&self) -> impl Iterator<Item = &SmolStr> {
        self.needed.iter()
    }

    /// Returns whether the daemon keeps the value of a key for itself or for its peers.
    pub fn keeps(&self, key: &str) -> bool {
        self.needs(key) || self.replicated.contains(key) || self.announced.contains_key(key)
    }

    /// Chooses a peer that is likely to store a value. Every third attempt goes to a random data
    /// centre; every second one does if this daemon stores the value for its peers.
    pub fn choose_fetch_peer(
        &self,
        view: &PeerView,
        key: &str,
        announcer: Option<SocketAddr>,
        failures: u32,
        rng: &mut Pcg64Mcg,
    ) -> Option<SocketAddr> {
        let election = RoleElection::new(view);
        let names: Vec<&SmolStr> = view.data_centres().map(|(name, _)| name).collect();
        let serves_peers = self.replicated.contains(key) || self.announced.contains_key(key);
        let remote_interval = if serves_peers { 2 } else { 3 };
        let is_remote = failures % remote_interval == remote_interval - 1 && !names.is_empty();
        let data_centre = if is_remote {
            names[rng.random_range(0..names.len())]
        } else {
            &self.own.data_centre
        };
        let replicas = election.replicas(key, data_centre).into_iter();
        let mut candidates: Vec<SocketAddr> = replicas
            .chain(election.readers(data_centre))
            .map(|peer| peer.control)
            .filter(|control| *control != self.own.control)
            .collect();
        if !is_remote || candidates.is_empty() {
            candidates.extend(announcer);
        }
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())])
    }
}
