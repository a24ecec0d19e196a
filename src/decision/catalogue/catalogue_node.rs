//! Catalogue of one daemon: events and the time in, actions out.

pub use super::catalogue_message::*;
use super::{
    catalogue_index::{CatalogueIndex, IndexHashes, MergeResult},
    catalogue_report::{CatalogueReport, ValueSource},
    catalogue_roles::CatalogueRoles,
    catalogue_value::CatalogueValue,
    change_push::ChangePush,
    fetch_plan::FetchPlan,
    gossip_round::{GossipRound, ROUND_INTERVAL},
    peer_activity::PeerActivity,
    peer_view::{PeerInfo, PeerView},
    piece_assembler::{ValuePiece, cut_piece},
    platform_schedule::{PlatformSchedule, ReaderNeeds},
    value_book::ValueBook,
    version_sightings::VersionSightings,
    version_stamp::{ContentDigest, IndexRecord, VersionStamp},
};
use crate::common::*;
use bytes::Bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Time between two calls of [`CatalogueNode::tick`].
pub const CATALOGUE_TICK: Duration = Duration::from_millis(100);

/// Identity of a catalogue node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The daemon itself.
    pub own: PeerInfo,
    /// Own service and called services.
    pub services: Vec<SmolStr>,
    /// Control addresses of daemons to ask at start.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Catalogue of one daemon.
#[derive(Debug)]
pub struct CatalogueNode {
    settings: NodeSettings,
    rng: Pcg64Mcg,
    index: CatalogueIndex,
    book: ValueBook,
    sightings: VersionSightings,
    view: PeerView,
    largest_fleet: usize,
    roles: CatalogueRoles,
    is_list_refused: bool,
    role_keys: usize,
    is_plan_due: bool,
    gossip: GossipRound,
    fetches: FetchPlan,
    platform: PlatformSchedule,
    push: ChangePush,
    peers: PeerActivity,
    next_round: Instant,
    is_gathered: bool,
}

impl CatalogueNode {
    /// Creates the catalogue of a fresh daemon.
    pub fn new(settings: NodeSettings, now: Instant) -> Self {
        let gossip = GossipRound::new(settings.own.clone(), settings.seeds.clone());
        let mut node = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            index: CatalogueIndex::new(),
            book: ValueBook::default(),
            sightings: VersionSightings::default(),
            view: PeerView::default(),
            largest_fleet: 0,
            roles: CatalogueRoles::new(settings.own.clone()),
            is_list_refused: false,
            role_keys: 0,
            is_plan_due: false,
            platform: PlatformSchedule::new(!gossip.has_seeds(), now),
            gossip,
            fetches: FetchPlan::default(),
            push: ChangePush::default(),
            peers: PeerActivity::new(now),
            next_round: now,
            is_gathered: false,
            settings,
        };
        node.update_needed();
        node
    }

    /// Asks the start peers.
    pub fn start(&mut self) -> Vec<CatalogueAction> {
        let peers = self.gossip.start_peers(&mut self.rng);
        self.peers.ask(peers.clone());
        self.exchange_with(&peers)
    }

    /// Returns whether the highest versions within reach were gathered after the start.
    pub fn is_gathered(&self) -> bool {
        self.is_gathered
    }

    /// Returns the versions known.
    pub fn index(&self) -> &CatalogueIndex {
        &self.index
    }

    /// Returns the stamp in force of a key.
    pub fn in_force(&self, key: &str) -> Option<VersionStamp> {
        self.book.in_force(key)
    }

    /// Advances the time and returns what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<CatalogueAction> {
        let mut actions = Vec::new();
        self.roles.expire(now);
        if now >= self.next_round {
            self.next_round = now + ROUND_INTERVAL;
            self.update_roles();
            self.peers.expire(now);
            let peers = self.gossip.next_peers(&self.view, &mut self.rng);
            actions.extend(self.exchange_with(&peers));
        }
        actions.extend(self.push_changes());
        actions.extend(self.finish_gathering(now));
        if self.is_plan_due {
            self.plan_fetches(now, None);
        }
        for fetch in self.fetches.start_due(now) {
            let (key, stamp) = (fetch.key, fetch.stamp);
            let (view, rng) = (&self.view, &mut self.rng);
            match self
                .roles
                .fetch_peer(view, &key, fetch.announcer, fetch.tries, rng)
            {
                Some(peer) => actions.push(CatalogueAction::Fetch(peer, key, stamp)),
                None => self.fetches.fail(&key, stamp.version, now),
            }
        }
        actions.extend(self.platform_calls(now));
        actions
    }

    /// Answers the digest of a peer.
    pub fn on_exchange(&mut self, digest: &IndexDigest, now: Instant) -> IndexDelta {
        self.peers.note(digest.sender, digest.hashes.whole, now);
        self.merge(&digest.records, Some(digest.sender), now);
        let whole = self.index.whole_hash();
        if whole == digest.hashes.whole {
            return IndexDelta {
                hashes: IndexHashes {
                    whole,
                    buckets: Vec::new(),
                },
                records: Vec::new(),
            };
        }
        if digest.hashes.buckets.is_empty() {
            return IndexDelta {
                hashes: self.index.hashes(),
                records: Vec::new(),
            };
        }
        IndexDelta {
            hashes: IndexHashes {
                whole,
                buckets: Vec::new(),
            },
            records: self.index.differing(&digest.hashes.buckets),
        }
    }

    /// Takes the answer of a peer.
    pub fn on_delta(
        &mut self,
        peer: SocketAddr,
        delta: &IndexDelta,
        now: Instant,
    ) -> Vec<CatalogueAction> {
        self.peers.note(peer, delta.hashes.whole, now);
        self.merge(&delta.records, Some(peer), now);
        let is_equal = delta.hashes.whole == self.index.whole_hash();
        if !is_equal && !delta.hashes.buckets.is_empty() {
            let records = self.index.differing(&delta.hashes.buckets);
            let digest = self.digest(records, true);
            return vec![CatalogueAction::Exchange(peer, digest)];
        }
        self.peers.finish(peer);
        self.finish_gathering(now)
    }

    /// Records that a peer did not answer.
    pub fn on_exchange_failed(&mut self, peer: SocketAddr) {
        self.peers.fail(peer);
    }

    /// Returns a piece of a value for a peer.
    pub fn piece(&self, key: &str, stamp: VersionStamp, offset: u32) -> Option<ValuePiece> {
        cut_piece(stamp, self.book.get(key, stamp)?, offset)
    }

    /// Takes a value whose digest was checked.
    pub fn on_value(
        &mut self,
        key: &SmolStr,
        stamp: VersionStamp,
        bytes: &Bytes,
        source: ValueSource,
        now: Instant,
    ) -> Vec<CatalogueAction> {
        self.fetches.remove(key, stamp.version);
        if self.index.merge_latest(key, stamp) == MergeResult::Newer {
            self.sightings.note(key, stamp.version, now);
            self.push.add(key);
        }
        let is_current = self.index.is_current(key, stamp);
        if !is_current || !self.book.insert(key, stamp, bytes, source, &self.roles) {
            return Vec::new();
        }
        if let Err(error) = CatalogueValue::parse(key, bytes) {
            let (version, reason) = (stamp.version, error.to_string());
            self.book.refuse(key, version, reason.clone());
            self.is_list_refused |= key.starts_with("instances/");
            let key = key.clone();
            return vec![CatalogueAction::Refuse {
                key,
                version,
                reason,
            }];
        }
        if self.index.merge_valid(key, stamp) == MergeResult::Newer {
            self.push.add(key);
        }
        self.drop_values();
        self.apply(key, now)
    }

    /// Records that a peer could not deliver a value.
    pub fn on_fetch_failed(&mut self, key: &str, stamp: VersionStamp, now: Instant) {
        self.fetches.fail(key, stamp.version, now);
    }

    /// Takes an index or a watch answer of the platform.
    pub fn on_platform_index(
        &mut self,
        call: &PlatformCall,
        revision: u64,
        stamps: &[(SmolStr, VersionStamp)],
        now: Instant,
    ) -> Vec<CatalogueAction> {
        self.platform.on_index(call, revision, now);
        for (key, stamp) in stamps {
            if self.index.merge_latest(key, *stamp) == MergeResult::Newer {
                self.sightings.note(key, stamp.version, now);
                // A reader pushes the record once it has the value that peers will ask for.
                if self.roles.is_reader {
                    self.roles.announce(key, now);
                } else {
                    self.push.add(key);
                }
                self.is_plan_due = true;
            }
        }
        self.finish_gathering(now)
    }

    /// Takes a value of the platform.
    pub fn on_platform_value(
        &mut self,
        key: &SmolStr,
        version: u64,
        bytes: &Bytes,
        now: Instant,
    ) -> Vec<CatalogueAction> {
        self.platform.on_value(key, now);
        let stamp = VersionStamp {
            version,
            digest: ContentDigest::of(bytes),
        };
        self.on_value(key, stamp, bytes, ValueSource::Platform, now)
    }

    /// Records that a call to the platform failed.
    pub fn on_platform_failed(&mut self, call: &PlatformCall, now: Instant) {
        self.platform.on_failure(call, now, &mut self.rng);
    }

    /// Returns the state for operators.
    pub fn report(&self, now: Instant) -> CatalogueReport {
        let whole = self.index.whole_hash();
        let (peers_heard, peers_in_agreement) = self.peers.count(whole);
        CatalogueReport {
            keys: self.book.report(&self.index, &self.roles, now),
            index_keys: self.index.len(),
            value_bytes: self.book.bytes(),
            is_reader: self.roles.is_reader,
            peers_heard,
            peers_in_agreement,
            conflicts: self.index.conflicts(),
        }
    }

    fn digest(&self, records: Vec<IndexRecord>, with_buckets: bool) -> IndexDigest {
        let mut hashes = self.index.hashes();
        if !with_buckets {
            hashes.buckets.clear();
        }
        IndexDigest {
            sender: self.settings.own.control,
            hashes,
            records,
        }
    }

    fn exchange_with(&self, peers: &[SocketAddr]) -> Vec<CatalogueAction> {
        let digest = self.digest(self.push.records(&self.index), false);
        peers
            .iter()
            .map(|peer| CatalogueAction::Exchange(*peer, digest.clone()))
            .collect()
    }

    fn push_changes(&mut self) -> Vec<CatalogueAction> {
        if self.push.is_empty() {
            return Vec::new();
        }
        let mut peers = self.gossip.push_peers(&self.view, &mut self.rng);
        peers.extend(self.gossip.link_peer(&self.view, &mut self.rng));
        let actions = self.exchange_with(&peers);
        self.push.finish_round();
        actions
    }

    fn merge(&mut self, records: &[IndexRecord], announcer: Option<SocketAddr>, now: Instant) {
        let mut has_changed = false;
        for record in records {
            if self.index.merge(record) == MergeResult::Newer {
                self.sightings.note(&record.key, record.latest.version, now);
                self.push.add(&record.key);
                if let Some(valid) = record.valid {
                    self.fetches.wake(&record.key, valid, announcer, now);
                }
                has_changed = true;
            }
        }
        if has_changed {
            self.plan_fetches(now, announcer);
        }
    }

    fn update_needed(&mut self) {
        let needed = self.book.needed_keys(&self.settings.services);
        self.roles.set_needed(needed);
        self.is_plan_due = true;
    }

    fn update_roles(&mut self) {
        let is_view_changed = self.view.refresh();
        self.largest_fleet = self.largest_fleet.max(self.view.len());
        if is_view_changed || self.is_list_refused || self.role_keys != self.index.len() {
            self.is_list_refused = false;
            self.role_keys = self.index.len();
            // During a start each daemon knows other lists first; over these, many would take
            // themselves for readers.
            let is_complete = self.book.has_all_lists(&self.index);
            self.roles.update(&self.view, &self.index, is_complete);
            self.drop_values();
            self.is_plan_due = true;
        }
    }

    fn drop_values(&mut self) {
        let (index, roles) = (&self.index, &self.roles);
        self.book.prune(index, roles);
        self.fetches
            .retain(|key, stamp| index.is_current(key, stamp) && roles.wants(key));
    }

    fn plan_fetches(&mut self, now: Instant, announcer: Option<SocketAddr>) {
        self.is_plan_due = false;
        for record in self.index.records() {
            if !self.roles.wants(&record.key) {
                continue;
            }
            let older = record.valid.filter(|valid| *valid != record.latest);
            for stamp in std::iter::once(record.latest).chain(older) {
                if self.book.get(&record.key, stamp).is_none() {
                    self.fetches.add(&record.key, stamp, announcer, now);
                }
            }
        }
    }

    fn finish_gathering(&mut self, now: Instant) -> Vec<CatalogueAction> {
        if self.is_gathered || self.index.is_empty() || self.peers.is_start_open(now) {
            return Vec::new();
        }
        self.is_gathered = true;
        let keys: Vec<SmolStr> = self.index.keys().cloned().collect();
        keys.iter().flat_map(|key| self.apply(key, now)).collect()
    }

    fn apply(&mut self, key: &SmolStr, now: Instant) -> Vec<CatalogueAction> {
        if !self.is_gathered {
            return Vec::new();
        }
        let Some(mut applied) = self.book.apply(key, &self.index, &self.roles, now) else {
            return Vec::new();
        };
        applied.lag = self.sightings.lag(key, applied.stamp.version, now);
        let mut actions = vec![CatalogueAction::Apply(applied.clone())];
        match applied.value {
            CatalogueValue::Instances(instances) => {
                self.view.set_list(key, &instances);
            }
            CatalogueValue::Selection(profile) => {
                self.update_needed();
                actions.extend(self.apply(&format!("profiles/{profile}").into(), now));
            }
            CatalogueValue::Profile(_) => {}
        }
        actions
    }

    fn platform_calls(&mut self, now: Instant) -> Vec<CatalogueAction> {
        let has_seeds = self.gossip.has_seeds();
        let has_own = self.roles.needed().all(|key| self.in_force(key).is_some());
        let is_complete = has_own && self.book.has_all_lists(&self.index);
        let is_reader = self.roles.is_reader || (!has_seeds && !is_complete);
        let open = |key: &&SmolStr| is_reader && !self.index.is_settled(key);
        let without_peer = self.fetches.without_peer();
        let mut missing: Vec<SmolStr> = self
            .fetches
            .keys()
            .filter(open)
            .chain(without_peer)
            .cloned()
            .collect();
        // A daemon cannot serve without its own keys; among many missing lists, one of few draws
        // would seldom hit them.
        if missing.iter().any(|key| self.roles.is_own(key)) {
            missing.retain(|key| self.roles.is_own(key));
        }
        let needs = ReaderNeeds {
            is_reader,
            is_empty: self.index.is_empty(),
            is_silent: self.peers.is_silent(now),
            fleet: self.largest_fleet,
            missing,
        };
        let calls = self.platform.next_calls(&needs, now, &mut self.rng);
        calls.into_iter().map(CatalogueAction::Platform).collect()
    }
}
