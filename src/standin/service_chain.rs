//! Call chain on loopback: a platform and services with their daemons and backend servers.

use crate::{
    common::*,
    experiment::work_log::WorkLog,
    settings::{DaemonSettings, LogSettings},
    shell::{
        daemon::{self, DaemonError},
        http_client::HttpClient,
        http_server,
    },
    standin::{
        backend_server::{BackendBehaviour, BackendServer},
        baseline_router::BaselineRouter,
        daemon_process::DaemonProcess,
        loopback_address,
        platform_service::PlatformService,
    },
};
use gotham::{handler::NewHandler, helpers::http::Body};
use http::Request;
use std::{
    io,
    net::Ipv4Addr,
    path::{Path, PathBuf},
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Time between two checks whether a daemon is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Configuration of a chain that has not been started.
#[derive(Debug, Default)]
pub struct ChainBuilder {
    profiles: Vec<(SmolStr, String)>,
    services: Vec<ServicePlan>,
    trace_file: Option<PathBuf>,
    work_log: WorkLog,
    is_uncontrolled: bool,
    refusal_ms: u64,
    /// Service whose daemons run as separate processes, and the path of their binary.
    binary: Option<(SmolStr, PathBuf)>,
}

#[derive(Debug)]
struct ServicePlan {
    name: SmolStr,
    profile: SmolStr,
    instances: usize,
    behaviour: BackendBehaviour,
}

/// Instance of a service in a chain.
#[derive(Debug)]
pub struct ChainInstance {
    /// Settings of the daemon.
    pub settings: DaemonSettings,
    /// Backend server beside the daemon.
    pub backend: BackendServer,
    /// Daemon beside the backend server.
    pub daemon: ChainDaemon,
}

/// Daemon of a chain.
#[derive(Debug)]
pub enum ChainDaemon {
    /// Task in this process.
    Task {
        /// Starts a drain when set to true.
        stop: watch::Sender<bool>,
        /// Completes when the daemon has ended.
        task: JoinHandle<Result<(), DaemonError>>,
    },
    /// Separate process.
    Process(DaemonProcess),
    /// No daemon, because the chain runs without overload control.
    Absent,
}

/// Running chain.
#[derive(Debug)]
pub struct ServiceChain {
    /// Platform from which the daemons read.
    pub platform: PlatformService,
    /// Instances in the order in which their services were added.
    pub instances: Vec<ChainInstance>,
    stop: watch::Sender<bool>,
}

impl ChainBuilder {
    /// Adds a profile that is published before the daemons start.
    pub fn profile(mut self, name: &str, text: impl Into<String>) -> Self {
        self.profiles.push((name.into(), text.into()));
        self
    }

    /// Adds a service. The services that it calls must be added as well.
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

    /// Records the work of all backend servers in a log.
    pub fn work_log(mut self, work_log: WorkLog) -> Self {
        self.work_log = work_log;
        self
    }

    /// Replaces the daemons with routers that have no overload control.
    pub fn uncontrolled(mut self) -> Self {
        self.is_uncontrolled = true;
        self
    }

    /// Sets the refusal time of all daemons. The default is zero, so that a chain stops quickly.
    pub fn refusal_ms(mut self, refusal_ms: u64) -> Self {
        self.refusal_ms = refusal_ms;
        self
    }

    /// Runs each daemon of a service as a separate process of a binary.
    pub fn run_as_processes(mut self, service: &str, binary: PathBuf) -> Self {
        self.binary = Some((service.into(), binary));
        self
    }

    /// Starts the chain and waits until all daemons are ready.
    pub async fn start(self) -> io::Result<ServiceChain> {
        let stop = watch::Sender::new(false);
        let platform = PlatformService::new();
        let listener = loopback_listener().await?;
        let platform_address = listener.local_addr()?;
        let handler = platform.clone();
        tokio::spawn(http_server::serve(listener, handler, stop.subscribe()));
        for (name, text) in &self.profiles {
            platform.publish(&format!("profiles/{name}"), text);
        }
        let plans = self.instance_plans(platform_address)?;
        publish_services(&platform, &self.services, &plans);
        let router = self.is_uncontrolled.then(|| baseline_router(&plans));
        let mut instances = Vec::new();
        for (settings, behaviour) in plans {
            let backend =
                BackendServer::with_work_log(behaviour, settings.outbound, self.work_log.clone());
            serve_on(settings.backend, backend.clone(), &stop).await?;
            let binary = self.binary.as_ref();
            let binary = binary.filter(|(service, _)| *service == settings.service);
            let binary = binary.map(|(_, path)| path.as_path());
            instances.push(match &router {
                Some(router) => start_router(settings, backend, router.clone(), &stop).await?,
                None => start_daemon(settings, backend, binary)?,
            });
        }
        let mut chain = ServiceChain {
            platform,
            instances,
            stop,
        };
        for instance in &mut chain.instances {
            instance.wait_until_ready().await?;
        }
        Ok(chain)
    }

    fn instance_plans(
        &self,
        platform: SocketAddr,
    ) -> io::Result<Vec<(DaemonSettings, BackendBehaviour)>> {
        let mut plans = Vec::new();
        for plan in &self.services {
            for index in 1..=plan.instances {
                let mut settings = instance_settings(plan, index, platform)?;
                settings.trace_file = self.trace_file.clone();
                settings.refusal_ms = self.refusal_ms;
                plans.push((settings, plan.behaviour.clone()));
            }
        }
        Ok(plans)
    }
}

impl ServiceChain {
    /// Returns an empty builder.
    pub fn builder() -> ChainBuilder {
        ChainBuilder::default()
    }

    /// Returns the instances of a service.
    pub fn service<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a ChainInstance> {
        self.instances
            .iter()
            .filter(move |instance| instance.settings.service == name)
    }

    /// Drains the daemons in this process and kills the others, then stops the backend servers and
    /// the platform.
    pub async fn stop(self) {
        for instance in self.instances {
            if let ChainDaemon::Task { stop, task } = instance.daemon {
                stop.send_replace(true);
                let _ = task.await;
            }
        }
        self.stop.send_replace(true);
    }
}

impl ChainInstance {
    /// Waits until the daemon is ready. Fails if the daemon ends first.
    pub async fn wait_until_ready(&mut self) -> io::Result<()> {
        while !self.is_ready().await {
            let has_ended = match &mut self.daemon {
                ChainDaemon::Task { task, .. } => task.is_finished(),
                ChainDaemon::Process(process) => process.try_wait()?.is_some(),
                ChainDaemon::Absent => return Ok(()),
            };
            if has_ended {
                return Err(io::Error::other("The daemon ended before it was ready."));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the process of the daemon if it runs in a separate process.
    pub fn process(&mut self) -> Option<&mut DaemonProcess> {
        match &mut self.daemon {
            ChainDaemon::Process(process) => Some(process),
            ChainDaemon::Task { .. } | ChainDaemon::Absent => None,
        }
    }

    /// Returns whether `/ready` reports that the daemon is ready.
    pub async fn is_ready(&self) -> bool {
        let admin = self.settings.admin;
        let request = Request::get(format!("http://{admin}/ready")).body(Body::default());
        let Ok(request) = request else {
            return false;
        };
        let response = HttpClient::new().send(admin, request).await;
        response.is_ok_and(|response| response.status().is_success())
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

fn start_daemon(
    settings: DaemonSettings,
    backend: BackendServer,
    binary: Option<&Path>,
) -> io::Result<ChainInstance> {
    let daemon = match binary {
        Some(binary) => ChainDaemon::Process(DaemonProcess::start(binary, &settings)?),
        None => {
            let stop = watch::Sender::new(false);
            let task = tokio::spawn(daemon::run(settings.clone(), stop.subscribe()));
            ChainDaemon::Task { stop, task }
        }
    };
    Ok(ChainInstance {
        settings,
        backend,
        daemon,
    })
}

/// Starts a router for the calls of a backend server. Callers connect to the backend server itself.
async fn start_router(
    mut settings: DaemonSettings,
    backend: BackendServer,
    router: BaselineRouter,
    stop: &watch::Sender<bool>,
) -> io::Result<ChainInstance> {
    settings.edge = settings.backend;
    serve_on(settings.outbound, router, stop).await?;
    Ok(ChainInstance {
        settings,
        backend,
        daemon: ChainDaemon::Absent,
    })
}

fn baseline_router(plans: &[(DaemonSettings, BackendBehaviour)]) -> BaselineRouter {
    let mut backends = IndexMap::<_, Vec<_>>::new();
    for (settings, _) in plans {
        backends
            .entry(settings.service.clone())
            .or_default()
            .push(settings.backend);
    }
    BaselineRouter::new(backends)
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

fn instance_settings(
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
        backend: loopback_address::reserve()?,
        edge: loopback_address::reserve()?,
        peer: loopback_address::reserve()?,
        outbound: loopback_address::reserve()?,
        control: loopback_address::reserve()?,
        admin: loopback_address::reserve()?,
        platform,
        seed_peers: Vec::new(),
        calls: calls.map(|call| call.service.clone()).collect(),
        log: LogSettings::default(),
        trace_endpoint: None,
        trace_file: None,
        refusal_ms: 0,
    })
}

async fn loopback_listener() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}
