//! Small call chain on loopback: a platform, services, daemons and backend servers.

use crate::{
    common::*,
    experiment::work_log::WorkLog,
    settings::{DaemonSettings, LogSettings},
    shell::{
        daemon::{self, DaemonError},
        http_server,
    },
    standin::{
        backend_server::{BackendBehaviour, BackendServer},
        plain_router::PlainRouter,
        platform_service::PlatformService,
    },
};
use gotham::handler::NewHandler;
use std::{
    io,
    net::Ipv4Addr,
    path::PathBuf,
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Interval of the checks whether a daemon is ready.
const READY_POLL: Duration = Duration::from_millis(10);

/// First port for listeners.
const FIRST_PORT: u16 = 10_000;

/// Ports of one process.
const BLOCK_PORTS: u16 = 400;

/// Blocks of ports; they end below the default range for outgoing connections.
const BLOCKS: u16 = 55;

/// Describes a chain before it starts.
#[derive(Debug, Default)]
pub struct ChainBuilder {
    profiles: Vec<(SmolStr, String)>,
    services: Vec<ServicePlan>,
    trace_file: Option<PathBuf>,
    log: WorkLog,
    is_uncontrolled: bool,
}

#[derive(Debug)]
struct ServicePlan {
    name: SmolStr,
    profile: SmolStr,
    instances: usize,
    behaviour: BackendBehaviour,
}

/// Daemon of a chain with its backend server.
#[derive(Debug)]
pub struct ChainInstance {
    /// Settings of the daemon.
    pub settings: DaemonSettings,
    /// Backend server beside the daemon.
    pub backend: BackendServer,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), DaemonError>>,
}

/// Running chain.
#[derive(Debug)]
pub struct ServiceChain {
    /// Platform that the daemons read.
    pub platform: PlatformService,
    /// Instances in the order of the builder.
    pub instances: Vec<ChainInstance>,
    stop: watch::Sender<bool>,
}

impl ChainBuilder {
    /// Publishes a profile before the daemons start.
    pub fn profile(mut self, name: &str, text: impl Into<String>) -> Self {
        self.profiles.push((name.into(), text.into()));
        self
    }

    /// Adds a service; services that it calls must be added, too.
    pub fn service(
        mut self,
        name: &str,
        profile: &str,
        instances: usize,
        behaviour: BackendBehaviour,
    ) -> Self {
        self.services.push(ServicePlan {
            name: name.into(),
            profile: profile.into(),
            instances,
            behaviour,
        });
        self
    }

    /// Writes the spans of all daemons to a file.
    pub fn trace_file(mut self, path: PathBuf) -> Self {
        self.trace_file = Some(path);
        self
    }

    /// Reports the work of all backend servers to a log.
    pub fn work_log(mut self, log: WorkLog) -> Self {
        self.log = log;
        self
    }

    /// Replaces the daemons by routers without overload control.
    pub fn uncontrolled(mut self) -> Self {
        self.is_uncontrolled = true;
        self
    }

    /// Starts the chain and waits until each daemon has a profile in force.
    pub async fn start(self) -> io::Result<ServiceChain> {
        let stop = watch::Sender::new(false);
        let platform = PlatformService::new();
        let listener = loopback_listener().await?;
        let platform_address = listener.local_addr()?;
        let served = platform.clone();
        tokio::spawn(http_server::serve(listener, served, stop.subscribe()));
        for (name, text) in &self.profiles {
            platform.publish(&format!("profiles/{name}"), text);
        }
        let plans = self.instance_plans(platform_address).await?;
        publish_services(&platform, &self.services, &plans);
        let router = self.is_uncontrolled.then(|| plain_router(&plans));
        let mut instances = Vec::new();
        for (settings, behaviour) in plans {
            let backend = BackendServer::with_log(behaviour, settings.outbound, self.log.clone());
            serve_on(settings.backend, backend.clone(), &stop).await?;
            instances.push(match &router {
                Some(router) => start_router(settings, backend, router.clone(), &stop).await?,
                None => start_daemon(settings, backend),
            });
        }
        let chain = ServiceChain {
            platform,
            instances,
            stop,
        };
        chain.wait_ready().await;
        Ok(chain)
    }

    async fn instance_plans(
        &self,
        platform: SocketAddr,
    ) -> io::Result<Vec<(DaemonSettings, BackendBehaviour)>> {
        let mut plans = Vec::new();
        for plan in &self.services {
            for index in 1..=plan.instances {
                let mut settings = instance_settings(plan, index, platform).await?;
                settings.trace_file = self.trace_file.clone();
                plans.push((settings, plan.behaviour.clone()));
            }
        }
        Ok(plans)
    }
}

impl ServiceChain {
    /// Starts the description of a chain.
    pub fn builder() -> ChainBuilder {
        ChainBuilder::default()
    }

    /// Returns the instances of a service.
    pub fn service<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a ChainInstance> {
        self.instances
            .iter()
            .filter(move |instance| instance.settings.service == name)
    }

    /// Drains all daemons, then ends the backend servers and the platform.
    pub async fn stop(self) {
        for instance in self.instances {
            instance.stop.send_replace(true);
            let _ = instance.task.await;
        }
        self.stop.send_replace(true);
    }

    async fn wait_ready(&self) {
        for instance in &self.instances {
            while tokio::net::TcpStream::connect(instance.settings.edge)
                .await
                .is_err()
            {
                tokio::time::sleep(READY_POLL).await;
            }
        }
        // A daemon opens its listeners before it has read the platform.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

async fn serve_on<H: NewHandler + 'static>(
    address: SocketAddr,
    handler: H,
    stop: &watch::Sender<bool>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(http_server::serve(listener, handler, stop.subscribe()));
    Ok(())
}

fn start_daemon(settings: DaemonSettings, backend: BackendServer) -> ChainInstance {
    let stop = watch::Sender::new(false);
    let task = tokio::spawn(daemon::run(settings.clone(), stop.subscribe()));
    ChainInstance {
        settings,
        backend,
        stop,
        task,
    }
}

/// Starts a router for the calls of a backend server; callers reach the backend server directly.
async fn start_router(
    mut settings: DaemonSettings,
    backend: BackendServer,
    router: PlainRouter,
    stop: &watch::Sender<bool>,
) -> io::Result<ChainInstance> {
    settings.edge = settings.backend;
    serve_on(settings.outbound, router, stop).await?;
    Ok(ChainInstance {
        settings,
        backend,
        stop: watch::Sender::new(false),
        task: tokio::spawn(async { Ok(()) }),
    })
}

fn plain_router(plans: &[(DaemonSettings, BackendBehaviour)]) -> PlainRouter {
    let mut backends = IndexMap::<_, Vec<_>>::new();
    for (settings, _) in plans {
        backends
            .entry(settings.service.clone())
            .or_default()
            .push(settings.backend);
    }
    PlainRouter::new(backends)
}

fn publish_services(
    platform: &PlatformService,
    services: &[ServicePlan],
    plans: &[(DaemonSettings, BackendBehaviour)],
) {
    for plan in services {
        let selection = format!("profile = \"{}\"", plan.profile);
        platform.publish(&format!("services/{}", plan.name), selection);
        let list: String = plans
            .iter()
            .filter(|(settings, _)| settings.service == plan.name)
            .map(|(settings, _)| instance_entry(settings))
            .collect();
        platform.publish(&format!("instances/{}", plan.name), list);
    }
}

fn instance_entry(settings: &DaemonSettings) -> String {
    format!(
        "[[instances]]\ninstance = \"{}\"\ndata_centre = \"{}\"\npeer = \"{}\"\ncontrol = \"{}\"\n",
        settings.instance, settings.data_centre, settings.peer, settings.control
    )
}

async fn instance_settings(
    plan: &ServicePlan,
    index: usize,
    platform: SocketAddr,
) -> io::Result<DaemonSettings> {
    let calls = plan.behaviour.calls.iter();
    Ok(DaemonSettings {
        cluster: "loopback".into(),
        data_centre: "dc-1".into(),
        instance: format!("{}-{index}", plan.name).into(),
        service: plan.name.clone(),
        backend: free_address().await?,
        edge: free_address().await?,
        peer: free_address().await?,
        outbound: free_address().await?,
        control: free_address().await?,
        admin: free_address().await?,
        platform,
        seed_peers: Vec::new(),
        calls: calls.map(|call| call.service.clone()).collect(),
        log: LogSettings::default(),
        trace_endpoint: None,
        trace_file: None,
    })
}

async fn loopback_listener() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

/// Finds a free port outside the range from which the operating system takes the local ports of
/// outgoing connections; a port of that range can be taken before its listener opens. For the same
/// reason each process takes its ports in turn from a block that no other process uses.
pub async fn free_address() -> io::Result<SocketAddr> {
    static BLOCK: OnceLock<PortBlock> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let block = BLOCK.get_or_init(PortBlock::claim);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) % (BLOCK_PORTS - 1);
        let port = block.first + 1 + step;
        match TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            bound => return bound?.local_addr(),
        }
    }
}

/// Block of ports, claimed by a listener on its first port for the life of the process.
struct PortBlock {
    first: u16,
    _claim: Option<std::net::TcpListener>,
}

impl PortBlock {
    fn claim() -> Self {
        let claimed = (0..BLOCKS).find_map(|block| {
            let first = FIRST_PORT + block * BLOCK_PORTS;
            let claim = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some(Self {
                first,
                _claim: Some(claim),
            })
        });
        claimed.unwrap_or(Self {
            first: FIRST_PORT,
            _claim: None,
        })
    }
}
