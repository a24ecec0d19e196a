//! Roles of a daemon and the keys that it needs.

use super::{
    catalogue_index::CatalogueIndex,
    peer_view::{PeerInfo, PeerView},
    reader_choice::ReaderChoice,
};
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

/// Time for which a reader keeps a value for others after it was announced.
const READER_KEEPS: Duration = Duration::from_secs(60);

/// Roles over the list in view, and the keys that the daemon keeps for itself or for others.
#[derive(Debug)]
pub struct CatalogueRoles {
    own: PeerInfo,
    needed: HashSet<SmolStr>,
    held: HashSet<SmolStr>,
    announced: IndexMap<SmolStr, Instant>,
    /// Whether this daemon reads the platform for its data centre.
    pub is_reader: bool,
}

impl CatalogueRoles {
    /// Creates the roles of a daemon before any list is known.
    pub fn new(own: PeerInfo) -> Self {
        Self {
            own,
            needed: HashSet::new(),
            held: HashSet::new(),
            announced: IndexMap::new(),
            is_reader: false,
        }
    }

    /// Computes the roles for a view. While the view is not complete, the daemon stays what it
    /// was towards the platform.
    pub fn update(&mut self, view: &PeerView, index: &CatalogueIndex, is_complete: bool) {
        let choice = ReaderChoice::new(view);
        let PeerInfo {
            instance,
            data_centre,
            ..
        } = &self.own;
        if is_complete {
            self.is_reader = choice.is_reader(instance, data_centre);
        }
        self.held = index
            .keys()
            .filter(|key| choice.is_holder(key, instance, data_centre))
            .cloned()
            .collect();
    }

    /// Replaces the keys that the daemon needs for itself.
    pub fn set_needed(&mut self, needed: HashSet<SmolStr>) {
        self.needed = needed;
    }

    /// Records that the platform announced a change.
    pub fn announce(&mut self, key: &SmolStr, now: Instant) {
        self.announced.insert(key.clone(), now + READER_KEEPS);
    }

    /// Forgets announcements that have run out.
    pub fn expire(&mut self, now: Instant) {
        self.announced.retain(|_, until| *until > now);
    }

    /// Returns whether a key was announced by the platform a short time ago.
    pub fn is_announced(&self, key: &str) -> bool {
        self.announced.contains_key(key)
    }

    /// Returns whether the daemon needs a key for itself. All daemons need the lists.
    pub fn needs(&self, key: &str) -> bool {
        self.needed.contains(key) || key.starts_with("instances/")
    }

    /// Returns whether a key is of the own or a called service, lists not counted.
    pub fn is_own(&self, key: &str) -> bool {
        self.needed.contains(key)
    }

    /// Returns the keys that the daemon needs for itself, without the lists.
    pub fn needed(&self) -> impl Iterator<Item = &SmolStr> {
        self.needed.iter()
    }

    /// Returns whether the daemon keeps a key for itself or for others.
    pub fn wants(&self, key: &str) -> bool {
        self.needs(key) || self.held.contains(key) || self.announced.contains_key(key)
    }

    /// Chooses a peer that is likely to hold a value. Each third try goes to any
    /// data centre; for a holder or a reader, which others rely on, each second one does.
    pub fn fetch_peer(
        &self,
        view: &PeerView,
        key: &str,
        announcer: Option<SocketAddr>,
        tries: u32,
        rng: &mut Pcg64Mcg,
    ) -> Option<SocketAddr> {
        let choice = ReaderChoice::new(view);
        let names: Vec<&SmolStr> = view.data_centres().map(|(name, _)| name).collect();
        let serves_others = self.held.contains(key) || self.announced.contains_key(key);
        let turn = if serves_others { 2 } else { 3 };
        let is_remote = tries % turn == turn - 1 && !names.is_empty();
        let data_centre = if is_remote {
            names[rng.random_range(0..names.len())]
        } else {
            &self.own.data_centre
        };
        let holders = choice.holders(key, data_centre).into_iter();
        let mut candidates: Vec<SocketAddr> = holders
            .chain(choice.readers(data_centre))
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
