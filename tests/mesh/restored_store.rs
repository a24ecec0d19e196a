//! Model of a store that comes back from older copies, with daemons that read it and pass on what they
//! read by messages that arrive late, twice, never and in any order.

use crate::{fixed_seeds, stand_ins::config};
use bytes::BytesMut;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkstream::{
    decision::{
        clock::{Clock, ManualClock},
        mesh::{store_outage::EXPIRY_GRACE, store_position::StorePosition},
        organisation::organisation_demand::DemandReport,
    },
    mesh::{
        fleet_state::FleetState,
        mesh_settings::MeshSettings,
        peer_frame::{PeerFrame, StoreUpdateFrame},
        store_contact::UpdateSource,
        store_interface::StoreItem,
    },
    platform::{context_names::context_headers, store_format::PlatformStore},
};
use std::{collections::BTreeMap, net::IpAddr, sync::Arc, time::Duration};

const DAEMONS: usize = 3;
const STEPS: usize = 60;
const CONFIG_KEY: &str = "config";

/// Servers that leave for good, and one whose entry expires although it runs.
const LEAVING: [&str; 2] = ["a", "b"];
const EXPIRING: &str = "c";

/// What a writer last wrote; `None` after a removal.
type Value = Option<String>;

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<&'static str, (u64, Value)>,
}

/// What one server says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Absent,
    Ready,
    Draining,
    Gone,
}

#[derive(Default)]
struct Server {
    phase: Phase,
    sequence: u64,
    /// Sequence in the last entry that it wrote.
    published: u64,
}

#[derive(Default)]
struct Store {
    content: Content,
    copies: Vec<Content>,
    era: u64,
    config_version: u64,
    servers: BTreeMap<&'static str, Server>,
    /// Keys that were written after the copy from which the store came back.
    lost: Vec<&'static str>,
}

impl Store {
    fn put(&mut self, key: &'static str, value: Value) {
        self.copies.push(self.content.clone());
        self.content.revision += 1;
        let item = (self.content.revision, value);
        self.content.items.insert(key, item);
    }

    /// Writes what the writer of a key has to say now.
    fn write(&mut self, key: &'static str) {
        if key == CONFIG_KEY {
            return self.put(key, Some(config(self.config_version)));
        }
        let server = self.servers.entry(key).or_default();
        server.sequence += 1;
        let state = match server.phase {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Absent | Phase::Gone => return self.put(key, None),
        };
        let number = key.as_bytes()[0];
        let sequence = server.sequence;
        server.published = sequence;
        let entry = format!(
            r#"{{"service":"{key}","address":"10.0.0.{number}:80","zone":"z","version":"v",
            "slots":9,"state":"{state}","cold-remaining-s":0,"sequence":{sequence},"born":1}}"#
        );
        self.put(key, Some(entry));
    }

    fn change(&mut self, rng: &mut Pcg64Mcg) {
        match rng.random_range(0..4) {
            0 => {
                self.config_version += rng.random_range(1..4);
                self.write(CONFIG_KEY);
            }
            1 => {
                let server = self.servers.entry(EXPIRING).or_default();
                let is_published = server.phase == Phase::Ready;
                server.phase = Phase::Ready;
                if is_published && rng.random_bool(0.5) {
                    self.put(EXPIRING, None);
                }
                self.write(EXPIRING);
            }
            number => {
                let key = LEAVING[number - 2];
                let server = self.servers.entry(key).or_default();
                server.phase = match (server.phase, rng.random_range(0..3)) {
                    (Phase::Absent, _) | (Phase::Ready, 0) => Phase::Ready,
                    (Phase::Ready, 1) => Phase::Draining,
                    _ => Phase::Gone,
                };
                self.write(key);
            }
        }
    }

    /// Comes back from one of the last copies.
    fn restore(&mut self, rng: &mut Pcg64Mcg) {
        let age = rng.random_range(1..=8.min(self.copies.len()));
        let copy = self.copies[self.copies.len() - age].clone();
        let changed = self.content.items.iter();
        let changed = changed.filter(|(key, item)| copy.items.get(*key) != Some(item));
        self.lost.extend(changed.map(|(key, _)| *key));
        self.content = copy;
        self.era += 1;
    }

    /// Writes again one of the keys that were lost.
    fn write_again(&mut self, rng: &mut Pcg64Mcg) {
        if !self.lost.is_empty() {
            let key = self.lost.swap_remove(rng.random_range(0..self.lost.len()));
            self.write(key);
        }
    }

    fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.content.revision,
        }
    }

    /// Returns the servers that were removed after a revision, with the sequence in their last entry.
    fn removals(&self, after: u64) -> Vec<(&'static str, u64)> {
        let items = self.content.items.iter();
        let removed = items.filter(|(_, (revision, value))| *revision > after && value.is_none());
        let published = |key| self.servers.get(key).map_or(0, |server| server.published);
        removed.map(|(key, _)| (*key, published(key))).collect()
    }

    /// Returns the items that were written after a revision.
    fn items(&self, after: u64) -> Vec<StoreItem> {
        let items = self.content.items.iter();
        let items = items.filter(|(_, (revision, _))| *revision > after);
        let items = items.map(|(key, (revision, value))| StoreItem {
            is_config: *key == CONFIG_KEY,
            instance: (*key != CONFIG_KEY).then(|| (*key).into()),
            position: StorePosition {
                era: self.era,
                revision: *revision,
            },
            value: value.clone().map(Into::into),
        });
        items.collect()
    }
}

struct Daemon {
    state: FleetState,
    position: Option<StorePosition>,
    version: u64,
    /// Latest sequence of each server that it has seen.
    seen: BTreeMap<&'static str, u64>,
    /// Servers that it knew as ready.
    was_ready: Vec<&'static str>,
    /// Servers of which it learnt that they leave for good.
    learnt: Vec<&'static str>,
    /// Those of them that it does not use any more. A removal may take effect later.
    departed: Vec<&'static str>,
}

impl Daemon {
    /// Records what this daemon learns of departures from items and removals. A removal tells it only
    /// if it has seen the last entry before: another copy may hold one that it has not seen.
    fn learn(&mut self, items: &[StoreItem], removals: &[(&'static str, u64)]) {
        for key in LEAVING {
            let texts = items
                .iter()
                .filter(|item| item.instance.as_deref() == Some(key))
                .filter_map(|item| std::str::from_utf8(item.value.as_deref()?).ok());
            for text in texts {
                let (_, rest) = text.split_once("\"sequence\":").expect("a sequence");
                let digits = rest.split(',').next().expect("a number");
                let sequence: u64 = digits.parse().expect("a number");
                let seen = self.seen.entry(key).or_default();
                *seen = sequence.max(*seen);
                if text.contains("draining") && self.was_ready.contains(&key) {
                    self.learnt.push(key);
                }
            }
            let last_seen = self.seen.get(key).copied().unwrap_or_default();
            if removals.contains(&(key, last_seen)) && self.was_ready.contains(&key) {
                self.learnt.push(key);
            }
        }
    }
}

struct Model {
    clock: Arc<ManualClock>,
    store: Store,
    daemons: Vec<Daemon>,
    messages: Vec<(usize, BytesMut)>,
}

impl Model {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let daemons = (1..=DAEMONS).map(|number| {
            let text = format!(
                "instance = \"i\"\ndata_centre = \"a\"\nservice = \"s\"\n\
                 backend = \"127.0.0.{number}:1\"\noutbound = \"127.0.0.{number}:2\"\n\
                 peer = \"127.0.0.{number}:3\"\nreadiness = \"127.0.0.{number}:4\"\n\
                 store = \"127.0.0.9:5\"\ngrace_s = 1.0\n"
            );
            Daemon {
                state: FleetState::new(
                    MeshSettings::from_bytes(text.as_bytes()).expect("settings"),
                    context_headers(),
                    Arc::new(PlatformStore),
                    clock.clone(),
                ),
                position: None,
                version: 0,
                seen: BTreeMap::new(),
                was_ready: Vec::new(),
                learnt: Vec::new(),
                departed: Vec::new(),
            }
        });
        Self {
            daemons: daemons.collect(),
            clock,
            store: Store::default(),
            messages: Vec::new(),
        }
    }

    fn send(&mut self, to: usize, update: StoreUpdateFrame) {
        let mut bytes = BytesMut::new();
        PeerFrame::StoreUpdate(Arc::new(update)).encode(&mut bytes);
        self.messages.push((to, bytes));
    }

    /// Reads the store as a reader does, and sends the changes to the other daemons.
    fn read(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let current = self.store.position();
        daemon.state.enter_store_era(current.era);
        let watched = daemon.position.filter(|position| {
            position.era == current.era && position.revision <= current.revision
        });
        let after = watched.map_or(0, |position| position.revision);
        daemon.learn(&self.store.items(after), &self.store.removals(after));
        let update = match watched {
            Some(position) => {
                let items = self.store.items(position.revision);
                daemon
                    .state
                    .apply_store_changes(UpdateSource::Watch, &items)
            }
            None => {
                let mut items = self.store.items(0);
                items.retain(|item| item.value.is_some());
                daemon.state.apply_store_list(&items, current)
            }
        };
        daemon.position = Some(current);
        daemon.state.record_store_response();
        if !update.items.is_empty() {
            for to in (0..DAEMONS).filter(|to| *to != number) {
                self.send(to, update.clone());
            }
        }
    }

    fn deliver(&mut self, to: usize, bytes: &BytesMut) {
        let frame = PeerFrame::decode(&mut bytes.clone());
        let Ok(Some(PeerFrame::StoreUpdate(update))) = frame else {
            panic!("not the message that was encoded");
        };
        let peer = IpAddr::from([127, 0, 0, 9]);
        let daemon = &mut self.daemons[to];
        daemon.learn(&update.items, &[]);
        daemon.state.apply_update_from_peer(peer, &update);
    }

    /// Sends the load of one daemon to another, which asks for the state if it lacks updates.
    fn send_load(&mut self, from: usize, to: usize) {
        let mut bytes = BytesMut::new();
        PeerFrame::Load(self.daemons[from].state.update_plan()).encode(&mut bytes);
        let Ok(Some(PeerFrame::Load(load))) = PeerFrame::decode(&mut bytes) else {
            panic!("not the message that was encoded");
        };
        if self.daemons[to].state.apply_load_from_peer(&load) {
            let state = self.daemons[from].state.full_store_state();
            self.send(to, state);
        }
    }

    fn step(&mut self, rng: &mut Pcg64Mcg) {
        let (number, other) = (rng.random_range(0..DAEMONS), rng.random_range(0..DAEMONS));
        match rng.random_range(0..12) {
            0..3 => self.store.change(rng),
            3 if self.store.content.revision > 0 => self.store.restore(rng),
            3 | 4 => self.store.write_again(rng),
            5 | 6 => self.read(number),
            7 => self.daemons[number].position = None,
            8 if number != other => self.send_load(number, other),
            9 => {
                self.clock
                    .advance(Duration::from_millis(rng.random_range(1..900)));
                let daemon = &self.daemons[number];
                daemon.state.apply_due_removals();
            }
            _ if !self.messages.is_empty() => {
                let index = rng.random_range(0..self.messages.len());
                let (to, bytes) = self.messages[index].clone();
                // One message in four is lost, one in four stays and may arrive again.
                let fate = rng.random_range(0..4);
                if fate > 0 {
                    self.deliver(to, &bytes);
                }
                if fate < 3 {
                    self.messages.swap_remove(index);
                }
            }
            _ => {}
        }
        self.check();
    }

    /// Checks that no version goes back and that no server gets requests again that a daemon knows to
    /// have left.
    fn check(&mut self) {
        let now = self.clock.now();
        for daemon in &mut self.daemons {
            let version = daemon.state.routes().map_or(0, |routes| routes.version().0);
            assert!(
                version >= daemon.version,
                "version {version} after a later one"
            );
            daemon.version = version;
            for key in LEAVING {
                let is_target = daemon.state.selector.lock().can_reach(key, now);
                assert!(
                    !is_target || !daemon.departed.contains(&key),
                    "{key} is used again after its departure"
                );
                if is_target {
                    daemon.was_ready.push(key);
                } else if daemon.learnt.contains(&key) {
                    daemon.departed.push(key);
                }
            }
        }
    }

    /// Lets the writers complete and the daemons exchange what they have; all must end with what the
    /// store has.
    fn settle(&mut self, rng: &mut Pcg64Mcg) {
        while !self.store.lost.is_empty() {
            self.store.write_again(rng);
        }
        for _ in 0..4 {
            self.read(0);
            for to in 1..DAEMONS {
                self.send_load(0, to);
            }
            for (to, bytes) in std::mem::take(&mut self.messages) {
                self.deliver(to, &bytes);
                self.check();
            }
            self.clock.advance(EXPIRY_GRACE);
            for daemon in &self.daemons {
                daemon.state.apply_due_removals();
            }
        }
        let now = self.clock.now();
        for (number, daemon) in self.daemons.iter().enumerate() {
            for key in LEAVING.into_iter().chain([EXPIRING]) {
                let is_target = daemon.state.selector.lock().can_reach(key, now);
                let phase = self
                    .store
                    .servers
                    .get(key)
                    .map_or(Phase::Absent, |s| s.phase);
                assert_eq!(is_target, phase == Phase::Ready, "{key} at daemon {number}");
            }
            let version = daemon.state.routes().map_or(0, |routes| routes.version().0);
            assert_eq!(version, self.store.config_version, "daemon {number}");
        }
    }
}

/// Guards against daemons that take what a restored store says for old, or its copy for new.
#[test]
fn daemons_end_with_the_restored_store_and_forget_no_departure() {
    fixed_seeds::check(|random| {
        let mut rng = Pcg64Mcg::seed_from_u64(random.arbitrary()?);
        let mut model = Model::new();
        for _ in 0..STEPS {
            model.step(&mut rng);
        }
        model.settle(&mut rng);
        Ok(())
    });
}

/// Guards against daemons that cannot read the load messages of an earlier build, or take them for news
/// of the store.
#[test]
fn contact_with_the_store_follows_what_earlier_builds_send() {
    let mut model = Model::new();
    model.store.write(CONFIG_KEY);
    model.read(0);
    model.clock.advance(EXPIRY_GRACE);
    let age = Some(EXPIRY_GRACE);
    assert_eq!(model.daemons[0].state.store_status().contact_age, age);
    let mut bytes = BytesMut::new();
    PeerFrame::Load(model.daemons[0].state.update_plan()).encode(&mut bytes);
    // The age takes three bytes with the flag before it.
    let mut earlier = BytesMut::from(&bytes[..bytes.len() - 3]);
    let length = (earlier.len() - 4) as u32;
    earlier[..4].copy_from_slice(&length.to_be_bytes());
    for (mut bytes, expected) in [(bytes, age), (earlier, None)] {
        let Ok(Some(PeerFrame::Load(load))) = PeerFrame::decode(&mut bytes) else {
            panic!("not the message that was encoded");
        };
        assert_eq!(load.store_status.contact_age, expected);
        assert!(load.store_status.knows_eras);
    }
}

/// Guards against messages that daemons of an earlier build cannot read, or that lose their eras.
#[test]
fn eras_follow_what_earlier_builds_read() {
    let mut model = Model::new();
    model.store.era = 4;
    model.store.write(CONFIG_KEY);
    model.read(0);
    let state = &model.daemons[0].state;
    let position = state.store_status().position;
    let messages = [
        PeerFrame::Load(state.update_plan()),
        PeerFrame::StoreUpdate(Arc::new(state.full_store_state())),
    ];
    for message in messages {
        let mut bytes = BytesMut::new();
        message.encode(&mut bytes);
        let earlier = postcard::take_from_bytes::<PeerFrame>(&bytes[4..]);
        match earlier.expect("a message for earlier builds") {
            (PeerFrame::Load(load), rest) => {
                assert_eq!(load.store_status.position.revision, position.revision);
                assert!(!load.store_status.knows_eras);
                postcard::from_bytes::<DemandReport>(rest).expect("a demand");
            }
            (PeerFrame::StoreUpdate(update), _) => {
                assert_eq!(update.last.revision, position.revision);
            }
            _ => panic!("another message"),
        }
        match PeerFrame::decode(&mut bytes) {
            Ok(Some(PeerFrame::Load(load))) => {
                assert_eq!(load.store_status.position, position);
                assert!(load.store_status.knows_eras && load.demand.is_none());
            }
            Ok(Some(PeerFrame::StoreUpdate(update))) => {
                assert_eq!(
                    (update.last, update.items[0].position),
                    (position, position)
                );
            }
            other => panic!("{other:?}"),
        }
    }
}
