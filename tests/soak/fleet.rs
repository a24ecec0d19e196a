//! Fleet of daemon processes with their store, backend servers and links.

use crate::{
    announcements::LimitSpan,
    backend::{Backend, BackendMode},
    caller,
    fault_plan::{Fault, TimedFault},
    history::{FaultSpan, History, RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK, RETRY_BUDGET_WINDOW},
    link_proxy::{LinkMode, LinkProxy},
    managed_daemon::ManagedDaemon,
    store::{EndpointMode, Store},
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

/// Time from SIGTERM until a daemon that still runs is killed.
pub const SHUTDOWN_GRACE: Duration = Duration::from_secs(4);

/// Time within which each daemon must serve all routes after its start and after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time until a backend server is back that a request has crashed.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_200);

/// Services, assigned to the machines in turn.
const SERVICES: [&str; 3] = ["sa", "sb", "sc"];

/// Names of the data centres, assigned to the machines in turn.
const DATA_CENTRES: [&str; 2] = ["east", "west"];

const CALLERS_PER_DAEMON: usize = 2;

/// Routes with their name, type and the services that the configurations assign to them in turn.
const ROUTES: [(&str, &str, &[&str]); 4] = [
    ("safe", "safe", &["sa", "sb"]),
    ("once", "unsafe", &["sb", "sa"]),
    ("nest", "safe", &["sa", "sb"]),
    ("leaf", "safe", &["sc"]),
];

/// Fleet of daemon processes with their store, backend servers and links. A machine is a loopback
/// address with one daemon and its backend server.
pub struct Fleet {
    pub history: History,
    daemons: Vec<ManagedDaemon>,
    backends: Vec<Arc<Backend>>,
    outbound_addresses: Vec<SocketAddr>,
    /// Proxies by target machine and by the group of the daemons that use them; `None` for the
    /// machine's own group.
    proxies: Vec<Vec<Option<Arc<LinkProxy>>>>,
    pub store: Arc<Store>,
    config_version: AtomicUsize,
    /// Number of entries that were written.
    write_count: AtomicUsize,
    attempt_count: AtomicUsize,
    is_stopping: AtomicBool,
}

/// Number of daemons from which the others request their first store state.
const SEEDS: usize = 3;

fn machine_ip(machine: usize) -> IpAddr {
    let (high, low) = (machine / 200, machine % 200);
    IpAddr::from([127, 0, 1 + high as u8, 10 + low as u8])
}

fn free_port() -> u16 {
    loopback_address::reserve().expect("no free port").port()
}

impl Fleet {
    /// Starts a fleet. The daemons of a group share a peer port and connect to each other directly;
    /// connections from another group go through a proxy.
    pub async fn start(machines: usize, groups: usize, folder: &Path) -> Arc<Self> {
        let [outbound, readiness, backend, store] = [(); 4].map(|()| free_port());
        let peer_ports: Vec<u16> = (0..groups).map(|_| free_port()).collect();
        let store_addresses: Vec<SocketAddr> = (0..machines)
            .map(|machine| SocketAddr::new(machine_ip(machine), store))
            .collect();
        let mut fleet = Self {
            history: History::default(),
            daemons: Vec::new(),
            backends: Vec::new(),
            outbound_addresses: Vec::new(),
            proxies: Vec::new(),
            store: Store::start(&store_addresses).await,
            config_version: AtomicUsize::new(0),
            write_count: AtomicUsize::new(0),
            attempt_count: AtomicUsize::new(0),
            is_stopping: AtomicBool::new(false),
        };
        // The daemons use the port of their own group.
        let seeds: Vec<String> = (0..machines.min(SEEDS))
            .map(|machine| format!("\"{}:1\"", machine_ip(machine)))
            .collect();
        let seeds = seeds.join(", ");
        for machine in 0..machines {
            let address = |port| SocketAddr::new(machine_ip(machine), port);
            let own_group = machine % groups;
            let mut proxies = Vec::new();
            for (group, port) in peer_ports.iter().enumerate() {
                proxies.push(if group == own_group {
                    None
                } else {
                    Some(LinkProxy::start(address(*port), address(peer_ports[own_group])).await)
                });
            }
            fleet.proxies.push(proxies);
            let service = SERVICES[machine % SERVICES.len()];
            let settings = format!(
                "instance = \"d-{machine}\"\ndata_centre = \"{}\"\nservice = \"{service}\"\n\
                 backend = \"{}\"\noutbound = \"{}\"\npeer = \"{}\"\nreadiness = \"{}\"\n\
                 store = \"{}\"\nseeds = [{seeds}]\ngrace_s = {}\nbudget = {{ ratio = {RETRY_BUDGET_RATIO}, slack = \
                 {RETRY_BUDGET_SLACK:?}, window_s = {} }}\nlog = {{ level = \"info\", format = \
                 \"json\" }}\n",
                data_centre(machine),
                address(backend),
                address(outbound),
                address(peer_ports[own_group]),
                address(readiness),
                address(store),
                SHUTDOWN_GRACE.as_secs(),
                RETRY_BUDGET_WINDOW.as_secs(),
            );
            fleet
                .daemons
                .push(ManagedDaemon::new(machine, folder, settings));
            fleet.outbound_addresses.push(address(outbound));
            fleet.backends.push(Backend::new(
                machine,
                service,
                address(backend),
                address(outbound),
            ));
        }
        fleet.publish_next_config();
        for machine in 0..machines {
            fleet.publish_entry(machine, "ready");
        }
        let fleet = Arc::new(fleet);
        for backend in &fleet.backends {
            backend.start(&fleet).await;
        }
        for daemon in &fleet.daemons {
            daemon.start().await;
        }
        fleet
    }

    /// Returns the address at which a daemon accepts requests from callers.
    pub fn outbound(&self, machine: usize) -> SocketAddr {
        self.outbound_addresses[machine]
    }

    pub fn service(&self, machine: usize) -> &str {
        &self.backends[machine].service
    }

    /// Returns the services that some configuration assigns to a route.
    pub fn services_of_route(&self, route_name: &str) -> Vec<String> {
        let route = ROUTES.iter().find(|(name, _, _)| *name == route_name);
        let services = route.map_or(&[] as &[&str], |(_, _, services)| services);
        services.iter().map(|name| (*name).to_owned()).collect()
    }

    /// Returns a new `Attempt-Id`.
    pub fn next_attempt_id(&self) -> String {
        format!("t{:x}", self.attempt_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Whether callers must stop sending requests.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Runs callers for `round_duration` and injects the faults; returns all violations.
    pub async fn execute(
        self: &Arc<Self>,
        seed: u64,
        round_duration: Duration,
        faults: Vec<TimedFault>,
        checks_time_bounds: bool,
    ) -> Vec<String> {
        self.wait_until_serving().await;
        let mut callers = JoinSet::new();
        for caller in 0..self.daemons.len() * CALLERS_PER_DAEMON {
            let machine = caller % self.daemons.len();
            let seed = seed.wrapping_mul(1_000) + caller as u64;
            let fleet = Arc::clone(self);
            callers.spawn(caller::send_until_stopped(fleet, machine, seed));
        }
        let mut restarts = JoinSet::new();
        restarts.spawn(Arc::clone(self).restart_crashed());
        let begin = Instant::now();
        let mut fault_tasks = JoinSet::new();
        for timed in faults {
            let fleet = Arc::clone(self);
            fault_tasks.spawn(async move {
                tokio::time::sleep_until((begin + timed.at).into()).await;
                fleet.inject(timed.fault, timed.duration).await;
            });
        }
        tokio::time::sleep(round_duration).await;
        while let Some(finished) = fault_tasks.join_next().await {
            if let Err(error) = finished {
                self.history
                    .record_violation(format!("HARNESS: fault task failed: {error}"));
            }
        }
        self.is_stopping.store(true, Ordering::Relaxed);
        while callers.join_next().await.is_some() {}
        self.wait_until_serving().await;
        restarts.shutdown().await;
        let shutdowns = self
            .daemons
            .iter()
            .map(|daemon| daemon.shut_down(&self.history));
        futures_util::future::join_all(shutdowns).await;
        for backend in &self.backends {
            backend.crash();
        }
        self.history.violations(checks_time_bounds)
    }

    /// Waits until each daemon serves requests to each route that callers use.
    async fn wait_until_serving(&self) {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for (machine, address) in self.outbound_addresses.iter().enumerate() {
            for (route, method) in [("safe", "GET"), ("once", "POST"), ("nest", "GET")] {
                while !caller::is_served(self, machine, *address, route, method).await {
                    if Instant::now() > deadline {
                        let violation =
                            format!("RECOVER: daemon {machine} does not serve route {route}");
                        self.history.record_violation(violation);
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    fn publish_entry(&self, machine: usize, state: &str) {
        let backend = &self.backends[machine];
        let id = backend.id.lock().clone();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":24,"state":
            "{state}","cold-remaining-s":0,"sequence":0,"born":{}}}"#,
            backend.service,
            backend.address(),
            data_centre(machine),
            backend.start_count(),
        );
        let entry = self.with_new_sequence(&entry);
        self.store.put(&format!("servers/{id}"), Some(entry));
    }

    /// Returns an entry as its backend server writes it next. Other values stay as they are.
    pub fn with_new_sequence(&self, entry: &str) -> String {
        let Some((start, rest)) = entry.split_once(r#""sequence":"#) else {
            return entry.to_owned();
        };
        let rest = rest.trim_start_matches(|c: char| c.is_ascii_digit());
        let sequence = self.write_count.fetch_add(1, Ordering::Relaxed) + 1;
        format!(r#"{start}"sequence":{sequence}{rest}"#)
    }

    fn delete_entry(&self, machine: usize) {
        let id = self.backends[machine].id.lock().clone();
        self.store.put(&format!("servers/{id}"), None);
    }

    /// Publishes the next configuration, which moves each route to the next of its services.
    fn publish_next_config(&self) {
        let version = self.config_version.fetch_add(1, Ordering::Relaxed) + 1;
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
        self.history.record_config(version);
        self.store.put("op/config", Some(config));
    }

    /// Injects a fault and ends it after `duration`.
    async fn inject(self: &Arc<Self>, fault: Fault, duration: Duration) {
        let begin = Instant::now();
        let mut machines = vec![None];
        match fault {
            Fault::Link { group, to, mode } => {
                self.inject_link_fault(to, Some(group), mode, duration)
                    .await;
            }
            Fault::IncomingLinks { machine, mode } => {
                self.inject_link_fault(machine, None, mode, duration).await;
            }
            Fault::Store { machine, mode } => {
                self.store.set_endpoint_mode(machine, mode);
                tokio::time::sleep(duration).await;
                self.store.set_endpoint_mode(machine, EndpointMode::Serve);
            }
            Fault::ExpireEntries => self.expire_entries(duration).await,
            Fault::Compact => self.store.compact(),
            Fault::RestoreStore(drill) => return drill.play(self, duration).await,
            Fault::Pause { machine } => {
                machines = vec![Some(machine)];
                self.daemons[machine].pause(duration).await;
            }
            Fault::Kill { machine } => {
                machines = vec![Some(machine)];
                self.daemons[machine].kill(duration, &self.history).await;
            }
            Fault::KillHalf => {
                machines = (0..self.daemons.len()).step_by(2).map(Some).collect();
                let daemons = self.daemons.iter().step_by(2);
                let kills = daemons.map(|daemon| daemon.kill(duration / 4, &self.history));
                futures_util::future::join_all(kills).await;
            }
            Fault::Terminate { machine, signals } => {
                machines = vec![Some(machine)];
                self.daemons[machine]
                    .terminate(signals, &self.history)
                    .await;
            }
            Fault::UnreadableSettings { machine } => {
                machines = vec![Some(machine)];
                self.daemons[machine].reload(duration).await;
            }
            Fault::Backend { machine, mode } => {
                self.backends[machine].set_mode(mode);
                tokio::time::sleep(duration).await;
                self.backends[machine].set_mode(BackendMode::Normal);
            }
            Fault::Crash { machine, keeps_id } => self.crash(machine, keeps_id, duration).await,
            Fault::Drain { machine } => {
                self.publish_entry(machine, "draining");
                let id = self.backends[machine].id.lock().clone();
                self.history.record_draining(&id);
                tokio::time::sleep(duration + Duration::from_secs(3)).await;
                self.backends[machine].assign_new_id();
                self.store.put(&format!("servers/{id}"), None);
                self.publish_entry(machine, "ready");
                // Not recorded as a fault, since the check of drains excludes times with faults.
                return;
            }
            Fault::NameLimit { machine, rates } => {
                self.name_limits(machine, rates, duration).await;
                return;
            }
            Fault::AnnounceLeaving { machine } => {
                let backend = &self.backends[machine];
                let id = backend.id.lock().clone();
                backend.set_leaving(true);
                tokio::time::sleep(duration).await;
                backend.set_leaving(false);
                backend.assign_new_id();
                self.store.put(&format!("servers/{id}"), None);
                self.publish_entry(machine, "ready");
                return;
            }
            Fault::SendCulprit { machine } => {
                let other = (machine + 1) % self.daemons.len();
                caller::send_culprit(self, machine).await;
                caller::send_culprit(self, other).await;
                return;
            }
            Fault::MalformedEntries => {
                self.store.put("servers/f1", Some("{}".to_owned()));
                self.store.put("servers/f2", Some("\u{1}\u{2}".to_owned()));
                let entry = r#"{"service":7,"address":"127.0.0.1","state":"odd"}"#;
                self.store.put("servers/f3", Some(entry.to_owned()));
                return;
            }
            Fault::ConfigChange => {
                self.publish_next_config();
                return;
            }
            Fault::SilentConnections => {
                self.store.silence_connections();
                let proxies = self.proxies.iter().flatten().flatten();
                proxies.for_each(|proxy| proxy.silence_connections());
            }
        }
        // A daemon that stops affects requests at all machines, a paused one those at its own.
        let is_pause = matches!(fault, Fault::Pause { .. });
        let affected = (!is_pause).then_some(None);
        for machine in machines.into_iter().chain(affected) {
            self.history.record_fault_span(FaultSpan {
                machine,
                is_kill: false,
                begin,
                end: Instant::now(),
            });
        }
    }

    async fn inject_link_fault(
        &self,
        to: usize,
        only_group: Option<usize>,
        mode: LinkMode,
        duration: Duration,
    ) {
        let set = |mode| {
            let proxies = self.proxies[to].iter().enumerate();
            proxies
                .filter(|(group, _)| only_group.is_none_or(|only| only == *group))
                .filter_map(|(_, proxy)| proxy.as_ref())
                .for_each(|proxy| proxy.set_mode(mode));
        };
        set(mode);
        tokio::time::sleep(duration).await;
        set(LinkMode::Forward);
    }

    /// Makes the store fail for all daemons and deletes all entries meanwhile. They are published
    /// again soon after the store has recovered.
    async fn expire_entries(&self, duration: Duration) {
        self.store
            .set_endpoint_mode(None, EndpointMode::ErrorStatus(503));
        tokio::time::sleep(duration).await;
        (0..self.daemons.len()).for_each(|machine| self.delete_entry(machine));
        self.store.set_endpoint_mode(None, EndpointMode::Serve);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        (0..self.daemons.len()).for_each(|machine| self.publish_entry(machine, "ready"));
    }

    /// Lets a backend server name one limit after the other, each for half of `duration`, and then
    /// withdraw it. Does nothing while it names others.
    async fn name_limits(&self, machine: usize, rates: [u32; 2], duration: Duration) {
        let backend = &self.backends[machine];
        let Ok(_turn) = backend.limit_turn.try_lock() else {
            return;
        };
        for rate in rates {
            let begin = Instant::now();
            let instance = backend.id.lock().clone();
            backend.set_limit(Some(rate));
            tokio::time::sleep(duration / 2).await;
            self.history.record_limit(LimitSpan {
                instance,
                rate: rate.into(),
                begin,
                end: Instant::now(),
            });
        }
        backend.set_limit(None);
    }

    /// Restarts backend servers some time after a request has crashed them.
    async fn restart_crashed(self: Arc<Self>) {
        loop {
            for (machine, backend) in self.backends.iter().enumerate() {
                if backend.take_crash(CRASH_DOWNTIME) {
                    backend.start(&self).await;
                    self.publish_entry(machine, "ready");
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn crash(self: &Arc<Self>, machine: usize, keeps_id: bool, duration: Duration) {
        let backend = &self.backends[machine];
        if !backend.crash() {
            // It has crashed already.
            return;
        }
        tokio::time::sleep(duration).await;
        let old_id = backend.id.lock().clone();
        if !keeps_id {
            backend.assign_new_id();
        }
        backend.start(self).await;
        // The entry is published a little later than the start.
        tokio::time::sleep(Duration::from_millis(300)).await;
        if !keeps_id {
            self.store.put(&format!("servers/{old_id}"), None);
        }
        self.publish_entry(machine, "ready");
    }
}

fn data_centre(machine: usize) -> &'static str {
    DATA_CENTRES[machine % DATA_CENTRES.len()]
}
