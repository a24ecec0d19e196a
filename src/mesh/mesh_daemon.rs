//! Tasks and shutdown of a daemon whose routes and instances are published in a store.

use crate::{
    common::*,
    controller::task_supervisor::TaskName,
    decision::{
        clock::Clock,
        mesh::{
            instance_selector::MAX_MISSED_LOAD_MESSAGES,
            load_schedule::{LoadSchedule, PLAN_INTERVAL, regular_interval},
            shutdown_wait::ShutdownWait,
        },
        pause_detector::PauseDetector,
    },
    mesh::{
        caller_connection,
        context_headers::ContextHeaders,
        entry_proxy::EntryProxy,
        fleet_state::FleetState,
        mesh_settings::MeshSettings,
        monitoring_listener::{self, MonitoringEndpoint},
        peer_frame::PeerFrame,
        peer_links::PeerLinks,
        peer_listener::PeerListener,
        start_sync::request_state,
        store_interface::StoreFormat,
        store_reader::StoreReader,
        task_names,
    },
};
use std::{
    future::Future,
    io,
    path::{Path, PathBuf},
    time::SystemTime,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{AbortHandle, JoinSet},
    time::timeout,
};

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Interval of the housekeeping while requests are queued at the gate, and of the checks during a
/// drain.
const FAST_HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the housekeeping while no request is queued.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which unreachable peers are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a daemon checks whether it is elected to read the store.
const READER_ELECTION_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest interval between the messages with records of suspected requests.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the stop signal in which clients detect that the daemon is not ready: they probe once
/// a second and disconnect after two negative responses.
const CLIENT_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time that is reserved for the exit of the process before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// A daemon cannot start.
#[derive(Debug, Error)]
pub enum MeshError {
    /// A listener cannot be opened.
    #[error("Cannot listen on {address}: {source}.")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Tasks that run as long as the daemon.
struct DaemonTasks<'a> {
    state: &'a Arc<FleetState>,
    tasks: JoinSet<()>,
}

impl<'a> DaemonTasks<'a> {
    fn new(state: &'a Arc<FleetState>) -> Self {
        Self {
            state,
            tasks: JoinSet::new(),
        }
    }

    /// Spawns a task that `start` creates, also after each panic.
    fn spawn<F>(&mut self, name: TaskName, start: impl FnMut() -> F + Send + 'static) -> AbortHandle
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let supervisor = Arc::clone(&self.state.tasks);
        self.tasks.spawn(supervisor.supervise(name, start))
    }

    /// Spawns a task that works on the state and the links.
    fn spawn_with_links<F>(
        &mut self,
        name: TaskName,
        links: &Arc<PeerLinks>,
        start: impl Fn(Arc<FleetState>, Arc<PeerLinks>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let (state, links) = (Arc::clone(self.state), Arc::clone(links));
        self.spawn(name, move || start(Arc::clone(&state), Arc::clone(&links)));
    }
}

/// Runs a daemon until it has received the stop signal and completed its requests, at most until
/// `EXIT_MARGIN` before the end of the grace period. The settings are reloaded when their file
/// changes.
pub async fn run(
    settings: MeshSettings,
    settings_path: PathBuf,
    headers: ContextHeaders,
    format: Arc<dyn StoreFormat>,
    clock: Arc<dyn Clock>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), MeshError> {
    let state = Arc::new(FleetState::new(settings, headers, format, clock));
    let settings = &state.settings;
    let outbound = listen(settings.outbound).await?;
    let peer = listen(settings.peer).await?;
    let readiness = listen(settings.readiness).await?;
    log::info!(
        "daemon: Started for backend server {} of service {}.",
        settings.backend,
        settings.service
    );
    state.begin_start();
    let links = PeerLinks::new(Arc::clone(&state));
    let peer_listener = PeerListener::new(Arc::clone(&state), Arc::clone(&links));
    let proxy = Arc::new(EntryProxy::new(Arc::clone(&state), Arc::clone(&links)));
    let is_first_reader = state.reader_election.lock().is_reading();
    let is_reader = watch::Sender::new(is_first_reader);
    let mut tasks = DaemonTasks::new(&state);
    tasks.spawn(task_names::STORE_READER, {
        let (state, links, is_reader) = (Arc::clone(&state), Arc::clone(&links), is_reader.clone());
        move || {
            // A reader that panicked counts as one no longer, until it has read all items again.
            state.stop_reading();
            StoreReader::new(
                Arc::clone(&state),
                Arc::clone(&links),
                is_reader.subscribe(),
            )
            .run()
        }
    });
    tasks.spawn(task_names::READER_ELECTION, {
        let state = Arc::clone(&state);
        move || elect_readers(Arc::clone(&state), is_reader.clone())
    });
    let peer_accepting = tasks.spawn(task_names::PEER_LISTENER, {
        let (peer, peer_listener) = (Arc::new(peer), Arc::clone(&peer_listener));
        move || Arc::clone(&peer_listener).serve(Arc::clone(&peer))
    });
    let caller_accepting = tasks.spawn(task_names::CALLER_LISTENER, {
        let outbound = Arc::new(outbound);
        move || caller_connection::serve(Arc::clone(&outbound), Arc::clone(&proxy))
    });
    let monitoring = |listener: TcpListener, endpoint| {
        let (state, listener) = (Arc::clone(&state), Arc::new(listener));
        move || monitoring_listener::serve(Arc::clone(&listener), endpoint, Arc::clone(&state))
    };
    tasks.spawn(
        task_names::READINESS_LISTENER,
        monitoring(readiness, MonitoringEndpoint::Readiness),
    );
    if let Some(address) = settings.metrics {
        let listener = listen(address).await?;
        tasks.spawn(
            task_names::METRICS_LISTENER,
            monitoring(listener, MonitoringEndpoint::Metrics),
        );
    }
    tasks.spawn(task_names::HOUSEKEEPING, {
        let (state, links) = (Arc::clone(&state), Arc::clone(&links));
        let peer_listener = Arc::clone(&peer_listener);
        move || {
            run_housekeeping(
                Arc::clone(&state),
                Arc::clone(&peer_listener),
                Arc::clone(&links),
            )
        }
    });
    tasks.spawn_with_links(task_names::LEAVING_NOTICE, &links, announce_leaving);
    tasks.spawn_with_links(task_names::SUSPECT_SHARING, &links, share_suspects);
    tasks.spawn_with_links(task_names::LOAD_SENDER, &links, send_load);
    tasks.spawn(task_names::SETTINGS_RELOAD, {
        let state = Arc::clone(&state);
        move || reload_settings(Arc::clone(&state), settings_path.clone())
    });
    for seed in &settings.seeds {
        let address = SocketAddr::new(seed.ip(), settings.peer.port());
        if address.ip() != settings.peer.ip()
            && let Some(link) = links.link(address)
        {
            link.send(PeerFrame::Ping);
        }
    }
    tasks.spawn_with_links(task_names::START_SYNC, &links, request_state);
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    let latest = state.clock.now() + state.settings.grace_period().saturating_sub(EXIT_MARGIN);
    state.start_leaving(latest);
    links.broadcast(&PeerFrame::Leaving);
    wait_until_drained(&state, &peer_listener, latest).await;
    for accepting in [peer_accepting, caller_accepting] {
        accepting.abort();
    }
    close_connections(&state, latest).await;
    log::info!(
        "daemon: Stopped with {} open requests and {} open connections.",
        state.open_requests(),
        state.connections.count()
    );
    Ok(())
}

/// Closes all connections and waits until the other ends have received everything and closed them, too,
/// at most until `latest`. The end of the process closes the rest.
async fn close_connections(state: &FleetState, latest: Instant) {
    state.connections.close_all();
    while state.connections.count() > 0 && state.clock.now() < latest {
        tokio::time::sleep(FAST_HOUSEKEEPING_INTERVAL).await;
    }
}

/// Waits until the clients have disconnected and all requests are completed, or until `latest`.
async fn wait_until_drained(state: &FleetState, peer_listener: &PeerListener, latest: Instant) {
    let now = state.clock.now();
    let mut wait = ShutdownWait::new(now + CLIENT_DRAIN_TIME, latest, now);
    loop {
        tokio::time::sleep(FAST_HOUSEKEEPING_INTERVAL).await;
        let is_idle = state.open_requests() == 0 && peer_listener.running_count() == 0;
        if wait.is_done(is_idle, state.clock.now()) {
            return;
        }
    }
}

/// Tells the peers when the local backend server announces that it leaves. Its entry in the store may
/// say so later.
async fn announce_leaving(state: Arc<FleetState>, links: Arc<PeerLinks>) {
    loop {
        let notes = state.server_leaving().await;
        links.broadcast(&PeerFrame::ServerLeaving(notes));
    }
}

/// Sends the records of suspected requests that changed to the peers: those of a crash at once, the
/// following ones together.
async fn share_suspects(state: Arc<FleetState>, links: Arc<PeerLinks>) {
    loop {
        let records = state.suspects.changes().await;
        if !records.is_empty() {
            links.broadcast(&PeerFrame::Suspects(Arc::new(records)));
        }
        tokio::time::sleep(SUSPECT_INTERVAL).await;
    }
}

/// Updates regularly whether this daemon is elected to read the store.
async fn elect_readers(state: Arc<FleetState>, is_reader_sender: watch::Sender<bool>) {
    loop {
        tokio::time::sleep(READER_ELECTION_INTERVAL).await;
        let peer_timeout = regular_interval(state.member_count()) * MAX_MISSED_LOAD_MESSAGES;
        let is_reader = state.reader_election.lock().decide(
            state.start_progress(),
            peer_timeout,
            state.clock.now(),
        );
        is_reader_sender
            .send_if_modified(|current| std::mem::replace(current, is_reader) != is_reader);
    }
}

/// Recomputes the admission plan regularly, and sends the load of this daemon to its peers when it is
/// due.
async fn send_load(state: Arc<FleetState>, links: Arc<PeerLinks>) {
    let mut schedule = LoadSchedule::default();
    loop {
        let load = state.update_plan();
        let members = state.member_count();
        let service_daemons = state.service_member_count();
        let now = state.clock.now();
        if schedule.is_due(&load.summary, members, service_daemons, now) && !state.is_leaving() {
            links.broadcast(&PeerFrame::Load(load));
        }
        let interval = regular_interval(members);
        state.selector.lock().set_load_interval(interval);
        let delay = PLAN_INTERVAL.mul_f64(0.9 + 0.2 * rand::random::<f64>());
        if timeout(delay, state.load_due.notified()).await.is_ok() {
            schedule.advance();
        }
    }
}

/// Reloads the settings after SIGHUP, or when their file has changed.
async fn reload_settings(state: Arc<FleetState>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!("settings: Cannot receive SIGHUP: {error}.");
            return;
        }
    };
    let mut last_modified = modified_time(&path);
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {
                let current = modified_time(&path);
                if current == last_modified {
                    continue;
                }
                last_modified = current;
            }
        }
        match MeshSettings::load(&path) {
            Ok(settings) => state.reload(&settings),
            Err(error) => log::warn!("settings: The settings in force are kept. {error}"),
        }
    }
}

fn modified_time(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path).ok()?;
    metadata.modified().ok()
}

/// Applies decisions that are due and probes unreachable peers at regular intervals.
async fn run_housekeeping(
    state: Arc<FleetState>,
    peer_listener: Arc<PeerListener>,
    links: Arc<PeerLinks>,
) {
    let mut next_probe = state.clock.now() + PROBE_INTERVAL;
    let mut last_housekeeping = state.clock.now();
    let mut pauses = PauseDetector::new(last_housekeeping);
    let mut handled_panics = 0;
    loop {
        let has_queue = state.executor.tick();
        let interval = if has_queue {
            FAST_HOUSEKEEPING_INTERVAL
        } else {
            HOUSEKEEPING_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let now = state.clock.now();
        if let Some(pause) = pauses.tick(now) {
            log::warn!(pause_ms = pause.as_millis() as u64; "daemon: The process was paused.");
            state.selector.lock().reset_failures();
        }
        if now < last_housekeeping + HOUSEKEEPING_INTERVAL {
            continue;
        }
        last_housekeeping = now;
        peer_listener.expire();
        state.apply_due_removals();
        let panics = state.tasks.panic_count();
        if panics != handled_panics {
            // The panic may have left members that are merged but not selected yet.
            handled_panics = panics;
            state.refresh_members();
        }
        if now >= next_probe {
            next_probe = now + PROBE_INTERVAL;
            links.probe_unreachable();
            state.suspects.forget_old();
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, MeshError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| MeshError::Listen { address, source })
}
