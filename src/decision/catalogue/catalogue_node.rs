//! Catalogue of one daemon, without I/O: its functions take events and the current time and return
//! actions.

pub use super::catalogue_message::*;
use super::{
    catalogue_index::{CatalogueIndex, IndexHashes, MergeResult},
    catalogue_report::{CatalogueReport, ValueSource},
    catalogue_roles::CatalogueRoles,
    catalogue_value::CatalogueValue,
    fetch_schedule::FetchSchedule,
    first_seen_times::FirstSeenTimes,
    peer_activity::PeerActivity,
    peer_sampler::{PeerSampler, ROUND_INTERVAL},
    peer_view::{PeerInfo, PeerView},
    piece_assembler::{ValuePiece, piece_at},
    platform_schedule::{PlatformNeeds, PlatformSchedule},
    push_queue::PushQueue,
    value_table::ValueTable,
    version_stamp::{ContentDigest, IndexRecord, VersionStamp},
};
use crate::common::*;
use bytes::Bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Interval between calls of [`CatalogueNode::tick`].
pub const CATALOGUE_TICK: Duration = Duration::from_millis(100);

/// Settings of a catalogue node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The daemon that the node belongs to.
    pub own: PeerInfo,
    /// Own service and called services.
    pub services: Vec<SmolStr>,
    /// Control addresses of the seed peers.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Catalogue of one daemon.
#[derive(Debug)]
pub struct CatalogueNode {
    settings: NodeSettings,
    rng: Pcg64Mcg,
    index: CatalogueIndex,
    values: ValueTable,
    first_seen: FirstSeenTimes,
    view: PeerView,
    max_fleet_size: usize,
    roles: CatalogueRoles,
    has_refused_list: bool,
    keys_at_role_update: usize,
    is_fetch_scheduling_due: bool,
    peer_sampler: PeerSampler,
    fetches: FetchSchedule,
    platform: PlatformSchedule,
    push_queue: PushQueue,
    peer_activity: PeerActivity,
    next_round_at: Instant,
    is_synced: bool,
}

impl CatalogueNode {
    /// Creates the catalogue of a daemon that starts.
    pub fn new(settings: NodeSettings, now: Instant) -> Self {
        let peer_sampler = PeerSampler::new(settings.own.clone(), settings.seeds.clone());
        let mut node = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            index: CatalogueIndex::new(),
            values: ValueTable::default(),
            first_seen: FirstSeenTimes::default(),
            view: PeerView::default(),
            max_fleet_size: 0,
            roles: CatalogueRoles::new(settings.own.clone()),
            has_refused_list: false,
            keys_at_role_update: 0,
            is_fetch_scheduling_due: false,
            platform: PlatformSchedule::new(!peer_sampler.has_seeds(), now),
            peer_sampler,
            fetches: FetchSchedule::default(),
            push_queue: PushQueue::default(),
            peer_activity: PeerActivity::new(now),
            next_round_at: now,
            is_synced: false,
            settings,
        };
        node.update_needed_keys();
        node
    }

    /// Starts exchanges with some seed peers.
    pub fn start(&mut self) -> Vec<CatalogueAction> {
        let peers = self.peer_sampler.start_peers(&mut self.rng);
        self.peer_activity.set_start_peers(peers.clone());
        self.exchange_with(&peers)
    }

    /// Returns whether the initial synchronisation is complete: the daemon has the highest versions
    /// of the peers or the platform that it could reach.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the index.
    pub fn index(&self) -> &CatalogueIndex {
        &self.index
    }

    /// Returns the version of a key that is in force.
    pub fn in_force(&self, key: &str) -> Option<VersionStamp> {
        self.values.in_force(key)
    }

    /// Advances the time and returns the actions that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<CatalogueAction> {
        let mut actions = Vec::new();
        self.roles.expire(now);
        if now >= self.next_round_at {
            self.next_round_at = now + ROUND_INTERVAL;
            self.update_roles();
            self.peer_activity.expire(now);
            let peers = self.peer_sampler.next_peers(&self.view, &mut self.rng);
            actions.extend(self.exchange_with(&peers));
        }
        actions.extend(self.push_changes());
        actions.extend(self.finish_initial_sync(now));
        if self.is_fetch_scheduling_due {
            self.schedule_fetches(now, None);
        }
        for fetch in self.fetches.start_due(now) {
            let (key, stamp) = (fetch.key, fetch.stamp);
            let (view, rng) = (&self.view, &mut self.rng);
            match self
                .roles
                .choose_fetch_peer(view, &key, fetch.announcer, fetch.failures, rng)
            {
                Some(peer) => actions.push(CatalogueAction::Fetch(peer, key, stamp)),
                None => self.fetches.record_failure(&key, stamp.version, now),
            }
        }
        actions.extend(self.platform_calls(now));
        actions
    }

    /// Handles a digest received from a peer and returns the response.
    pub fn on_exchange(&mut self, digest: &IndexDigest, now: Instant) -> IndexDelta {
        self.peer_activity
            .record_message(digest.sender, digest.hashes.root, now);
        self.merge_records(&digest.records, Some(digest.sender), now);
        let root = self.index.root_hash();
        if root == digest.hashes.root {
            return IndexDelta {
                hashes: IndexHashes {
                    root,
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
                root,
                buckets: Vec::new(),
            },
            records: self.index.differing_records(&digest.hashes.buckets),
        }
    }

    /// Handles a peer's response to a digest.
    pub fn on_delta(
        &mut self,
        peer: SocketAddr,
        delta: &IndexDelta,
        now: Instant,
    ) -> Vec<CatalogueAction> {
        self.peer_activity
            .record_message(peer, delta.hashes.root, now);
        self.merge_records(&delta.records, Some(peer), now);
        let is_equal = delta.hashes.root == self.index.root_hash();
        if !is_equal && !delta.hashes.buckets.is_empty() {
            let records = self.index.differing_records(&delta.hashes.buckets);
            let digest = self.index_digest(records, true);
            return vec![CatalogueAction::Exchange(peer, digest)];
        }
        self.peer_activity.complete_exchange(peer);
        self.finish_initial_sync(now)
    }

    /// Records that a peer sent no response to a digest.
    pub fn on_exchange_failed(&mut self, peer: SocketAddr) {
        self.peer_activity.record_failure(peer);
    }

    /// Returns a piece of a value for a peer.
    pub fn piece(&self, key: &str, stamp: VersionStamp, offset: u32) -> Option<ValuePiece> {
        piece_at(stamp, self.values.get(key, stamp)?, offset)
    }

    /// Handles a value whose digest was verified.
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
            self.first_seen.record(key, stamp.version, now);
            self.push_queue.add(key);
        }
        let is_current = self.index.is_current(key, stamp);
        if !is_current || !self.values.insert(key, stamp, bytes, source, &self.roles) {
            return Vec::new();
        }
        if let Err(error) = CatalogueValue::parse(key, bytes) {
            let (version, reason) = (stamp.version, error.to_string());
            self.values.record_refusal(key, version, reason.clone());
            self.has_refused_list |= key.starts_with("instances/");
            let key = key.clone();
            return vec![CatalogueAction::Refuse {
                key,
                version,
                reason,
            }];
        }
        if self.index.merge_valid(key, stamp) == MergeResult::Newer {
            self.push_queue.add(key);
        }
        self.drop_unneeded_values();
        self.apply(key, now)
    }

    /// Records that a fetch of a value from a peer failed.
    pub fn on_fetch_failed(&mut self, key: &str, stamp: VersionStamp, now: Instant) {
        self.fetches.record_failure(key, stamp.version, now);
    }

    /// Handles an index received from the platform, by a read or a watch.
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
                self.first_seen.record(key, stamp.version, now);
                // A reader pushes the record only once it has the value, which peers then fetch.
                if self.roles.is_reader {
                    self.roles.record_announcement(key, now);
                } else {
                    self.push_queue.add(key);
                }
                self.is_fetch_scheduling_due = true;
            }
        }
        self.finish_initial_sync(now)
    }

    /// Handles a value received from the platform.
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

    /// Returns the state of the catalogue for operators.
    pub fn report(&self, now: Instant) -> CatalogueReport {
        let root = self.index.root_hash();
        let (peers_heard, peers_in_agreement) = self.peer_activity.count_seen(root);
        CatalogueReport {
            keys: self.values.report(&self.index, &self.roles, now),
            index_keys: self.index.len(),
            value_bytes: self.values.bytes(),
            is_reader: self.roles.is_reader,
            peers_heard,
            peers_in_agreement,
            conflicts: self.index.conflicts(),
        }
    }

    fn index_digest(&self, records: Vec<IndexRecord>, with_buckets: bool) -> IndexDigest {
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
        let digest = self.index_digest(self.push_queue.next_records(&self.index), false);
        peers
            .iter()
            .map(|peer| CatalogueAction::Exchange(*peer, digest.clone()))
            .collect()
    }

    fn push_changes(&mut self) -> Vec<CatalogueAction> {
        if self.push_queue.is_empty() {
            return Vec::new();
        }
        let mut peers = self.peer_sampler.local_peers(&self.view, &mut self.rng);
        peers.extend(self.peer_sampler.remote_peer(&self.view, &mut self.rng));
        let actions = self.exchange_with(&peers);
        self.push_queue.finish_round();
        actions
    }

    fn merge_records(
        &mut self,
        records: &[IndexRecord],
        announcer: Option<SocketAddr>,
        now: Instant,
    ) {
        let mut has_changed = false;
        for record in records {
            if self.index.merge(record) == MergeResult::Newer {
                self.first_seen
                    .record(&record.key, record.latest.version, now);
                self.push_queue.add(&record.key);
                if let Some(valid) = record.valid {
                    self.fetches.make_due(&record.key, valid, announcer, now);
                }
                has_changed = true;
            }
        }
        if has_changed {
            self.schedule_fetches(now, announcer);
        }
    }

    fn update_needed_keys(&mut self) {
        let needed = self.values.needed_keys(&self.settings.services);
        self.roles.set_needed(needed);
        self.is_fetch_scheduling_due = true;
    }

    fn update_roles(&mut self) {
        let is_view_changed = self.view.refresh();
        self.max_fleet_size = self.max_fleet_size.max(self.view.len());
        if is_view_changed || self.has_refused_list || self.keys_at_role_update != self.index.len()
        {
            self.has_refused_list = false;
            self.keys_at_role_update = self.index.len();
            // While they start, daemons receive the lists in different orders. An election over
            // incomplete lists would make many of them readers.
            let is_complete = self.values.has_all_lists(&self.index);
            self.roles.update(&self.view, &self.index, is_complete);
            self.drop_unneeded_values();
            self.is_fetch_scheduling_due = true;
        }
    }

    fn drop_unneeded_values(&mut self) {
        let (index, roles) = (&self.index, &self.roles);
        self.values.prune(index, roles);
        self.fetches
            .retain(|key, stamp| index.is_current(key, stamp) && roles.keeps(key));
    }

    fn schedule_fetches(&mut self, now: Instant, announcer: Option<SocketAddr>) {
        self.is_fetch_scheduling_due = false;
        for record in self.index.records() {
            if !self.roles.keeps(&record.key) {
                continue;
            }
            let older = record.valid.filter(|valid| *valid != record.latest);
            for stamp in std::iter::once(record.latest).chain(older) {
                if self.values.get(&record.key, stamp).is_none() {
                    self.fetches.add(&record.key, stamp, announcer, now);
                }
            }
        }
    }

    fn finish_initial_sync(&mut self, now: Instant) -> Vec<CatalogueAction> {
        if self.is_synced
            || self.index.is_empty()
            || self.peer_activity.is_awaiting_start_peers(now)
        {
            return Vec::new();
        }
        self.is_synced = true;
        let keys: Vec<SmolStr> = self.index.keys().cloned().collect();
        keys.iter().flat_map(|key| self.apply(key, now)).collect()
    }

    fn apply(&mut self, key: &SmolStr, now: Instant) -> Vec<CatalogueAction> {
        if !self.is_synced {
            return Vec::new();
        }
        let Some(mut applied) = self.values.apply(key, &self.index, &self.roles, now) else {
            return Vec::new();
        };
        applied.lag = self.first_seen.lag(key, applied.stamp.version, now);
        let mut actions = vec![CatalogueAction::Apply(applied.clone())];
        match applied.value {
            CatalogueValue::Instances(instances) => {
                self.view.set_list(key, &instances);
            }
            CatalogueValue::Selection(profile) => {
                self.update_needed_keys();
                actions.extend(self.apply(&format!("profiles/{profile}").into(), now));
            }
            CatalogueValue::Profile(_) => {}
        }
        actions
    }

    fn platform_calls(&mut self, now: Instant) -> Vec<CatalogueAction> {
        let has_seeds = self.peer_sampler.has_seeds();
        let has_own_values = self.roles.needed().all(|key| self.in_force(key).is_some());
        let is_complete = has_own_values && self.values.has_all_lists(&self.index);
        let is_reader = self.roles.is_reader || (!has_seeds && !is_complete);
        let needs_platform = |key: &&SmolStr| is_reader && !self.index.is_latest_valid(key);
        let keys_failed_at_peers = self.fetches.keys_failed_at_peers();
        let mut missing: Vec<SmolStr> = self
            .fetches
            .keys()
            .filter(needs_platform)
            .chain(keys_failed_at_peers)
            .cloned()
            .collect();
        // A daemon cannot serve without its own keys. With few calls and many missing lists, a
        // random choice among all keys would seldom pick them.
        if missing.iter().any(|key| self.roles.is_own_key(key)) {
            missing.retain(|key| self.roles.is_own_key(key));
        }
        let needs = PlatformNeeds {
            is_reader,
            is_index_empty: self.index.is_empty(),
            is_isolated: self.peer_activity.is_isolated(now),
            fleet_size: self.max_fleet_size,
            missing,
        };
        let calls = self.platform.next_calls(&needs, now, &mut self.rng);
        calls.into_iter().map(CatalogueAction::Platform).collect()
    }
}
