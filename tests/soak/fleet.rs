//! Daemons as processes, with their store, backend servers and links.

use crate::{
    backend::{Backend, BackendMode},
    caller,
    daemon_slot::DaemonSlot,
    ledger::{BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW, Ledger, TroubleSpan},
    link_proxy::{LinkMode, LinkProxy},
    store::{DoorMode, Store},
    trouble::{TimedTrouble, Trouble},
};
use skylarkstream::standin::loopback_address;
use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Time from the signal to end until a process is killed.
pub const GRACE: Duration = Duration::from_secs(4);

/// Time after the end of all disturbances in which each daemon serves again.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Services; machines take them in turn.
const SERVICES: [&str; 3] = ["sa", "sb", "sc"];

/// Names of the data centres; machines take them in turn.
const DATA_CENTRES: [&str; 2] = ["east", "west"];

/// Callers at each daemon.
const CALLERS: usize = 2;

/// Services that the configurations allow for each kind of route. The routes move between them.
const ROUTES: [(&str, &str, &[&str]); 4] = [
    ("safe", "safe", &["sa", "sb"]),
    ("once", "unsafe", &["sb", "sa"]),
    ("nest", "safe", &["sa", "sb"]),
    ("leaf", "safe", &["sc"]),
];

/// Daemons as processes, with their store, backend servers and links.
pub struct Fleet {
    pub ledger: Ledger,
    slots: Vec<DaemonSlot>,
    backends: Vec<Arc<Backend>>,
    outbound: Vec<SocketAddr>,
    /// Proxies by machine and by the group of the daemons that use them.
    proxies: Vec<Vec<Option<Arc<LinkProxy>>>>,
    store: Arc<Store>,
    version: AtomicUsize,
    attempts: AtomicUsize,
    is_evening: AtomicBool,
}

/// Address of a machine.
fn ip(machine: usize) -> IpAddr {
    let (high, low) = (machine / 200, machine % 200);
    IpAddr::from([127, 0, 1 + high as u8, 10 + low as u8])
}

fn free_port() -> u16 {
    loopback_address::reserve().expect("a free port").port()
}

impl Fleet {
    /// Starts a fleet. The daemons of a group use the same port for each other; the way from one
    /// group to a daemon of another leads through a proxy.
    pub async fn start(machines: usize, groups: usize, folder: &Path) -> Arc<Self> {
        let [outbound, readiness, backend, store] = [(); 4].map(|()| free_port());
        let peers: Vec<u16> = (0..groups).map(|_| free_port()).collect();
        let doors: Vec<SocketAddr> = (0..machines)
            .map(|machine| SocketAddr::new(ip(machine), store))
            .collect();
        let mut fleet = Self {
            ledger: Ledger::default(),
            slots: Vec::new(),
            backends: Vec::new(),
            outbound: Vec::new(),
            proxies: Vec::new(),
            store: Store::start(&doors).await,
            version: AtomicUsize::new(0),
            attempts: AtomicUsize::new(0),
            is_evening: AtomicBool::new(false),
        };
        for machine in 0..machines {
            let at = |port| SocketAddr::new(ip(machine), port);
            let own_group = machine % groups;
            let mut proxies = Vec::new();
            for (group, port) in peers.iter().enumerate() {
                proxies.push(if group == own_group {
                    None
                } else {
                    Some(LinkProxy::start(at(*port), at(peers[own_group])).await)
                });
            }
            fleet.proxies.push(proxies);
            let service = SERVICES[machine % SERVICES.len()];
            let settings = format!(
                "instance = \"d-{machine}\"\ndata_centre = \"{}\"\nservice = \"{service}\"\n\
                 backend = \"{}\"\noutbound = \"{}\"\npeer = \"{}\"\nreadiness = \"{}\"\n\
                 store = \"{}\"\ngrace_s = {}\nbudget = {{ ratio = {BUDGET_RATIO}, slack = \
                 {BUDGET_SLACK:?}, window_s = {} }}\nlog = {{ level = \"info\", format = \
                 \"json\" }}\n",
                data_centre(machine),
                at(backend),
                at(outbound),
                at(peers[own_group]),
                at(readiness),
                at(store),
                GRACE.as_secs(),
                BUDGET_WINDOW.as_secs(),
            );
            fleet.slots.push(DaemonSlot::new(machine, folder, settings));
            fleet.outbound.push(at(outbound));
            fleet
                .backends
                .push(Backend::new(machine, service, at(backend), at(outbound)));
        }
        fleet.next_config();
        for machine in 0..machines {
            fleet.publish(machine, "ready");
        }
        let fleet = Arc::new(fleet);
        for backend in &fleet.backends {
            backend.start(&fleet).await;
        }
        for slot in &fleet.slots {
            slot.start().await;
        }
        fleet
    }

    /// Returns the address at which a daemon takes requests of callers.
    pub fn outbound(&self, machine: usize) -> SocketAddr {
        self.outbound[machine]
    }

    /// Returns the service of a machine.
    pub fn service(&self, machine: usize) -> &str {
        &self.backends[machine].service
    }

    /// Returns the services that some configuration allows for a kind of route.
    pub fn services_of(&self, kind: &str) -> Vec<String> {
        let route = ROUTES.iter().find(|(name, _, _)| *name == kind);
        let services = route.map_or(&[] as &[&str], |(_, _, services)| services);
        services.iter().map(|name| (*name).to_owned()).collect()
    }

    /// Returns a new identifier of a request.
    pub fn next_attempt(&self) -> String {
        format!("t{:x}", self.attempts.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether callers send nothing more.
    pub fn is_evening(&self) -> bool {
        self.is_evening.load(Ordering::Relaxed)
    }

    /// Plays a day with its disturbances; returns the broken promises.
    pub async fn play(
        self: &Arc<Self>,
        seed: u64,
        day: Duration,
        troubles: Vec<TimedTrouble>,
        is_timed: bool,
    ) -> Vec<String> {
        self.wait_until_serving().await;
        let mut callers = JoinSet::new();
        for caller in 0..self.slots.len() * CALLERS {
            let machine = caller % self.slots.len();
            let seed = seed.wrapping_mul(1_000) + caller as u64;
            let fleet = Arc::clone(self);
            callers.spawn(caller::call_until_evening(fleet, machine, seed));
        }
        let begin = Instant::now();
        let mut running = JoinSet::new();
        for timed in troubles {
            let fleet = Arc::clone(self);
            running.spawn(async move {
                tokio::time::sleep_until((begin + timed.at).into()).await;
                fleet.disturb(timed.trouble, timed.lasts).await;
            });
        }
        tokio::time::sleep(day).await;
        while let Some(ended) = running.join_next().await {
            if let Err(error) = ended {
                self.ledger.fail(format!("HARNESS: {error}"));
            }
        }
        self.is_evening.store(true, Ordering::Relaxed);
        while callers.join_next().await.is_some() {}
        self.wait_until_serving().await;
        let ends = self.slots.iter().map(|slot| slot.end(&self.ledger));
        futures_util::future::join_all(ends).await;
        for backend in &self.backends {
            backend.crash();
        }
        self.ledger.broken_promises(is_timed)
    }

    /// Waits until each daemon serves each kind of request.
    async fn wait_until_serving(&self) {
        let limit = Instant::now() + RECOVERY_TIME;
        for (machine, address) in self.outbound.iter().enumerate() {
            for (kind, method) in [("safe", "GET"), ("once", "POST"), ("nest", "GET")] {
                while !caller::is_served(self, machine, *address, kind, method).await {
                    if Instant::now() > limit {
                        let fault = format!("RECOVER: machine {machine} does not serve {kind}");
                        self.ledger.fail(fault);
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    fn publish(&self, machine: usize, state: &str) {
        let backend = &self.backends[machine];
        let id = backend.id.lock().clone();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":24,"state":
            "{state}","cold-remaining-s":0,"sequence":1,"born":{}}}"#,
            backend.service,
            backend.address(),
            data_centre(machine),
            backend.born_ms(),
        );
        self.store.put(&format!("servers/{id}"), Some(entry));
    }

    fn withdraw(&self, machine: usize) {
        let id = self.backends[machine].id.lock().clone();
        self.store.put(&format!("servers/{id}"), None);
    }

    /// Writes the next configuration: each one moves the routes to the other service allowed.
    fn next_config(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let routes: Vec<String> = ROUTES
            .iter()
            .map(|(name, kind, services)| {
                let service = services[version % services.len()];
                format!(
                    r#"{{"name":"{name}","hostname":"h","prefix":"/{name}/","route-type":"{kind}",
                    "timeout-s":5,"target-latency-s":1,"priority":0,"service":"{service}",
                    "max-attempts":2}}"#
                )
            })
            .collect();
        let routes = routes.join(",");
        let config = format!(r#"{{"version":"r{version}","routes":[{routes}],"services":[]}}"#);
        self.store.put("op/config", Some(config));
    }

    /// Brings about a disturbance and ends it.
    async fn disturb(self: &Arc<Self>, trouble: Trouble, lasts: Duration) {
        let begin = Instant::now();
        let mut machines = vec![None];
        match trouble {
            Trouble::Link { group, to, mode } => {
                self.disturb_links(to, Some(group), mode, lasts).await;
            }
            Trouble::Island { machine, mode } => {
                self.disturb_links(machine, None, mode, lasts).await;
            }
            Trouble::Store { machine, mode } => {
                self.store.set_door(machine, mode);
                tokio::time::sleep(lasts).await;
                self.store.set_door(machine, DoorMode::Serve);
            }
            Trouble::Lapse => self.lapse(lasts).await,
            Trouble::Compact => self.store.compact(),
            Trouble::Pause { machine } => {
                machines = vec![Some(machine)];
                self.slots[machine].pause(lasts).await;
            }
            Trouble::Kill { machine } => {
                machines = vec![Some(machine)];
                self.slots[machine].kill(lasts, &self.ledger).await;
            }
            Trouble::HerdKill => {
                machines = (0..self.slots.len()).step_by(2).map(Some).collect();
                let slots = self.slots.iter().step_by(2);
                let kills = slots.map(|slot| slot.kill(lasts / 4, &self.ledger));
                futures_util::future::join_all(kills).await;
            }
            Trouble::Terminate { machine, signals } => {
                machines = vec![Some(machine)];
                self.slots[machine].terminate(signals, &self.ledger).await;
            }
            Trouble::Reload { machine } => {
                machines = vec![Some(machine)];
                self.slots[machine].reload(lasts).await;
            }
            Trouble::Backend { machine, mode } => {
                self.backends[machine].set(mode);
                tokio::time::sleep(lasts).await;
                self.backends[machine].set(BackendMode::Sound);
            }
            Trouble::Crash { machine, keeps_id } => self.crash(machine, keeps_id, lasts).await,
            Trouble::Drain { machine } => {
                self.publish(machine, "draining");
                let id = self.backends[machine].id.lock().clone();
                self.ledger.on_draining(&id);
                tokio::time::sleep(lasts + Duration::from_secs(3)).await;
                self.backends[machine].rename();
                self.store.put(&format!("servers/{id}"), None);
                self.publish(machine, "ready");
                // Leaving is no disturbance: the rule on it must hold beside nothing else.
                return;
            }
            Trouble::Forged => {
                self.store.put("servers/f1", Some("{}".to_owned()));
                self.store.put("servers/f2", Some("\u{1}\u{2}".to_owned()));
                let entry = r#"{"service":7,"address":"127.0.0.1","state":"odd"}"#;
                self.store.put("servers/f3", Some(entry.to_owned()));
                return;
            }
            Trouble::Config => {
                self.next_config();
                return;
            }
        }
        for machine in machines {
            let is_process = matches!(trouble, Trouble::Pause { .. });
            self.ledger.on_trouble(TroubleSpan {
                machine: if is_process { machine } else { None },
                is_kill: false,
                begin,
                end: Instant::now(),
            });
        }
    }

    async fn disturb_links(&self, to: usize, only: Option<usize>, mode: LinkMode, lasts: Duration) {
        let set = |mode| {
            let proxies = self.proxies[to].iter().enumerate();
            proxies
                .filter(|(group, _)| only.is_none_or(|only| only == *group))
                .filter_map(|(_, proxy)| proxy.as_ref())
                .for_each(|proxy| proxy.set(mode));
        };
        set(mode);
        tokio::time::sleep(lasts).await;
        set(LinkMode::Pass);
    }

    /// The store is away for everybody; entries that lapse meanwhile are back soon after.
    async fn lapse(&self, lasts: Duration) {
        self.store.set_door(None, DoorMode::Refuse(503));
        tokio::time::sleep(lasts).await;
        (0..self.slots.len()).for_each(|machine| self.withdraw(machine));
        self.store.set_door(None, DoorMode::Serve);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        (0..self.slots.len()).for_each(|machine| self.publish(machine, "ready"));
    }

    async fn crash(self: &Arc<Self>, machine: usize, keeps_id: bool, lasts: Duration) {
        let backend = &self.backends[machine];
        if !backend.crash() {
            // It is down already.
            return;
        }
        tokio::time::sleep(lasts).await;
        let old = backend.id.lock().clone();
        if !keeps_id {
            backend.rename();
        }
        backend.start(self).await;
        // The entry follows a little later than the start.
        tokio::time::sleep(Duration::from_millis(300)).await;
        if !keeps_id {
            self.store.put(&format!("servers/{old}"), None);
        }
        self.publish(machine, "ready");
    }
}

fn data_centre(machine: usize) -> &'static str {
    DATA_CENTRES[machine % DATA_CENTRES.len()]
}
