//! Simulated fleet of catalogue nodes with virtual time, a faulty network and a stand-in for the
//! platform.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkstream::{
    controller::platform_controller::version_stamps,
    decision::catalogue::{
        catalogue_message::{CatalogueAction, IndexDelta, IndexDigest, PlatformCall},
        catalogue_node::{CATALOGUE_TICK, CatalogueNode, NodeSettings},
        catalogue_report::{CatalogueReport, ValueSource},
        peer_view::PeerInfo,
        piece_assembler::PieceAssembler,
        version_stamp::VersionStamp,
    },
    shell::platform_client::IndexChange,
    standin::platform_service::PlatformService,
};
use smol_str::SmolStr;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};

pub const PROFILE_SETTINGS: &str = "default_class = \"roster\"\nclasses = { roster = 3 }\n";

const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
const WATCH_WAIT: Duration = Duration::from_secs(20);

enum Event {
    Tick,
    Exchange(SocketAddr, IndexDigest),
    Delta(SocketAddr, Option<IndexDelta>),
    Fetch(SocketAddr, SmolStr, VersionStamp),
    Value(SocketAddr, SmolStr, VersionStamp, Option<Bytes>),
    Watch(PlatformCall, Duration),
    Index(PlatformCall, Option<IndexChange>),
    PlatformValue(SmolStr, Option<(u64, String)>),
}

pub(crate) struct Member {
    pub(crate) info: PeerInfo,
    pub(crate) service: SmolStr,
    pub(crate) incarnation: u32,
    pub(crate) node: Option<CatalogueNode>,
    pub(crate) in_force: HashMap<SmolStr, u64>,
}

/// Faults of the network between daemons and of the platform.
#[derive(Default)]
pub struct Faults {
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub is_platform_down: bool,
    pub partitioned: HashSet<SmolStr>,
}

pub struct Fleet {
    pub platform: PlatformService,
    pub faults: Faults,
    pub refusals: usize,
    pub platform_calls_by_second: Vec<u32>,
    pub log: String,
    pub(crate) members: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    events: BTreeMap<(Duration, u64), (usize, u32, Event)>,
    pub(crate) elapsed: Duration,
    sequence: u64,
    epoch: Instant,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Creates a fleet of `size` stopped daemons, assigned to data centres and services in turn.
    pub fn new(size: usize, data_centres: usize, services: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..size)
            .map(|index| Member {
                info: PeerInfo {
                    instance: format!("i-{index}").into(),
                    data_centre: format!("dc-{}", index % data_centres).into(),
                    control: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
                },
                service: format!("s-{}", index / data_centres % services).into(),
                incarnation: 0,
                node: None,
                in_force: HashMap::new(),
            })
            .collect();
        let addresses = members.iter().enumerate();
        let fleet = Self {
            platform: PlatformService::new(),
            faults: Faults::default(),
            refusals: 0,
            platform_calls_by_second: Vec::new(),
            log: String::new(),
            by_address: addresses
                .map(|(index, member)| (member.info.control, index))
                .collect(),
            members,
            events: BTreeMap::new(),
            elapsed: Duration::ZERO,
            sequence: 0,
            epoch: Instant::now(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for service in 0..services {
            let name = format!("s-{service}");
            fleet.publish_profile(&name, 1);
            fleet
                .platform
                .publish(&format!("services/{name}"), format!("profile = \"{name}\""));
            fleet
                .platform
                .publish(&format!("instances/{name}"), fleet.list(&name));
        }
        fleet
    }

    pub fn publish_profile(&self, name: &str, allowance: u32) {
        let text =
            format!("name = \"{name}\"\n{PROFILE_SETTINGS}retry = {{ allowance = {allowance} }}\n");
        self.platform.publish(&format!("profiles/{name}"), text);
    }

    pub fn list(&self, service: &str) -> String {
        let members = self
            .members
            .iter()
            .filter(|member| member.service == service);
        members.map(|member| list_entry(&member.info)).collect()
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn data_centre(&self, index: usize) -> &SmolStr {
        &self.members[index].info.data_centre
    }

    pub fn service(&self, index: usize) -> &SmolStr {
        &self.members[index].service
    }

    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|index| self.start(index));
    }

    /// Starts a daemon, or replaces a running one with a new one.
    pub fn start(&mut self, index: usize) {
        let seeds = [1, 2, 3, 5, 8, 13, 21].map(|step| (index + step) % self.len());
        let seeds = seeds.map(|seed| self.members[seed].info.control).to_vec();
        let seed = self.rng.random();
        let now = self.now();
        let member = &mut self.members[index];
        member.incarnation += 1;
        member.in_force.clear();
        let settings = NodeSettings {
            own: member.info.clone(),
            services: vec![member.service.clone()],
            seeds,
            seed,
        };
        let mut node = CatalogueNode::new(settings, now);
        let actions = node.start();
        member.node = Some(node);
        self.execute(index, actions);
        let delay = self.rng.random_range(0..100);
        self.schedule(index, Duration::from_millis(delay), Event::Tick);
    }

    pub fn stop(&mut self, index: usize) {
        self.members[index].node = None;
        self.members[index].incarnation += 1;
    }

    pub fn node(&self, index: usize) -> Option<&CatalogueNode> {
        self.members[index].node.as_ref()
    }

    pub fn report(&self, index: usize) -> CatalogueReport {
        let node = self.node(index);
        node.map(|node| node.report(self.now())).unwrap_or_default()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (index, incarnation, event)) = entry.remove_entry();
            self.elapsed = at;
            if self.members[index].incarnation == incarnation {
                self.handle(index, event);
            }
        }
        self.elapsed = end;
    }

    pub fn run_seconds(&mut self, seconds: u64) {
        self.run(Duration::from_secs(seconds));
    }

    pub fn log_event(&mut self, text: &str) {
        let _ = writeln!(self.log, "{:>6.1} s  {text}", self.elapsed.as_secs_f64());
    }

    fn now(&self) -> Instant {
        self.epoch + self.elapsed
    }

    fn schedule(&mut self, index: usize, delay: Duration, event: Event) {
        self.sequence += 1;
        let incarnation = self.members[index].incarnation;
        let key = (self.elapsed + delay, self.sequence);
        self.events.insert(key, (index, incarnation, event));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..20_000))
    }

    /// Returns the index of the receiver of a message, or `None` if the message is lost.
    fn find_receiver(&mut self, from: usize, to: SocketAddr) -> Option<usize> {
        let target = *self.by_address.get(&to)?;
        let (sender, receiver) = (self.data_centre(from), self.data_centre(target));
        let is_cut_off = |name| self.faults.partitioned.contains(name);
        let is_partitioned = sender != receiver && (is_cut_off(sender) || is_cut_off(receiver));
        let is_lost = self.rng.random::<f64>() < self.faults.loss_rate;
        let is_up = self.members[target].node.is_some();
        (is_up && !is_partitioned && !is_lost).then_some(target)
    }

    fn is_platform_reachable(&self, index: usize) -> bool {
        !self.faults.is_platform_down && !self.faults.partitioned.contains(self.data_centre(index))
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now();
        let is_reachable = self.is_platform_reachable(index);
        let Some(node) = self.members[index].node.as_mut() else {
            return;
        };
        let actions = match event {
            Event::Tick => {
                let actions = node.tick(now);
                self.schedule(index, CATALOGUE_TICK, Event::Tick);
                actions
            }
            Event::Exchange(from, digest) => {
                let delta = node.on_exchange(&digest, now);
                let own = self.members[index].info.control;
                self.respond(index, from, Event::Delta(own, Some(delta)));
                return;
            }
            Event::Delta(peer, Some(delta)) => node.on_delta(peer, &delta, now),
            Event::Delta(peer, None) => {
                node.on_exchange_failed(peer);
                Vec::new()
            }
            Event::Fetch(from, key, stamp) => {
                let value = assemble(node, &key, stamp);
                let own = self.members[index].info.control;
                self.respond(index, from, Event::Value(own, key, stamp, value));
                return;
            }
            Event::Value(peer, key, stamp, Some(bytes)) => {
                node.on_value(&key, stamp, &bytes, ValueSource::Peer(peer), now)
            }
            Event::Value(_, key, stamp, None) => {
                node.on_fetch_failed(&key, stamp, now);
                Vec::new()
            }
            Event::Watch(call, remaining) => {
                let PlatformCall::Watch { after, .. } = call else {
                    return;
                };
                let change = self.platform.changes_since(after);
                let step = remaining.min(CATALOGUE_TICK);
                if is_reachable && change.revision <= after && !remaining.is_zero() {
                    self.schedule(index, step, Event::Watch(call, remaining - step));
                } else {
                    let change = is_reachable.then_some(change);
                    self.schedule(index, Duration::ZERO, Event::Index(call, change));
                }
                return;
            }
            Event::Index(call, Some(change)) => {
                node.on_platform_index(&call, change.revision, &version_stamps(&change), now)
            }
            Event::PlatformValue(key, Some((version, text))) => {
                node.on_platform_value(&key, version, &text.into(), now)
            }
            Event::Index(call, None) => {
                node.on_platform_failed(&call, now);
                Vec::new()
            }
            Event::PlatformValue(key, None) => {
                node.on_platform_failed(&PlatformCall::Value(key), now);
                Vec::new()
            }
        };
        self.execute(index, actions);
    }

    fn respond(&mut self, from: usize, to: SocketAddr, event: Event) {
        let delay = self.latency();
        if let Some(target) = self.find_receiver(from, to) {
            self.schedule(target, delay, event);
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<CatalogueAction>) {
        for action in actions {
            match action {
                CatalogueAction::Exchange(peer, digest) => {
                    let own = digest.sender;
                    let failure = Event::Delta(peer, None);
                    self.send(
                        index,
                        peer,
                        || Event::Exchange(own, digest.clone()),
                        failure,
                    );
                }
                CatalogueAction::Fetch(peer, key, stamp) => {
                    let own = self.members[index].info.control;
                    let failure = Event::Value(peer, key.clone(), stamp, None);
                    self.send(
                        index,
                        peer,
                        || Event::Fetch(own, key.clone(), stamp),
                        failure,
                    );
                }
                CatalogueAction::Platform(call) => self.call_platform(index, call),
                CatalogueAction::Apply(applied) => {
                    let member = &mut self.members[index];
                    let version = applied.stamp.version;
                    let previous = member.in_force.insert(applied.key.clone(), version);
                    assert!(
                        previous.is_none_or(|previous| previous < version),
                        "{} went from version {previous:?} to {version}",
                        applied.key
                    );
                }
                CatalogueAction::Refuse { .. } => self.refusals += 1,
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, event: impl Fn() -> Event, failure: Event) {
        let Some(target) = self.find_receiver(from, to) else {
            self.schedule(from, MESSAGE_TIMEOUT, failure);
            return;
        };
        let copies = 1 + u32::from(self.rng.random::<f64>() < self.faults.duplicate_rate);
        for _ in 0..copies {
            let delay = self.latency();
            self.schedule(target, delay, event());
        }
    }

    fn call_platform(&mut self, index: usize, call: PlatformCall) {
        let second = self.elapsed.as_secs() as usize;
        self.platform_calls_by_second
            .resize(self.platform_calls_by_second.len().max(second + 1), 0);
        self.platform_calls_by_second[second] += 1;
        let delay = Duration::from_millis(5);
        let is_reachable = self.is_platform_reachable(index);
        let event = match call {
            PlatformCall::Watch { is_long_poll, .. } => {
                let wait = if is_long_poll {
                    WATCH_WAIT
                } else {
                    Duration::ZERO
                };
                Event::Watch(call, wait)
            }
            PlatformCall::Index => {
                let change = is_reachable.then(|| self.platform.changes_since(0));
                Event::Index(call, change)
            }
            PlatformCall::Value(key) => {
                let value = self.platform.read(&key).filter(|_| is_reachable);
                Event::PlatformValue(key, value)
            }
        };
        self.schedule(index, delay, event);
    }
}

fn assemble(node: &CatalogueNode, key: &str, stamp: VersionStamp) -> Option<Bytes> {
    let mut assembler = PieceAssembler::new(stamp);
    loop {
        let piece = node.piece(key, stamp, assembler.next_offset())?;
        if let Some(value) = assembler.add(&piece).ok()? {
            return Some(value.into());
        }
    }
}

pub fn list_entry(info: &PeerInfo) -> String {
    format!(
        "[[instances]]\ninstance = \"{}\"\ndata_centre = \"{}\"\npeer = \"{}\"\ncontrol = \"{}\"\n",
        info.instance, info.data_centre, info.control, info.control
    )
}
