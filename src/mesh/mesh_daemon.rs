//! Life of a daemon whose routes and members come from a store.

use crate::{
    common::*,
    decision::{
        clock::SystemClock,
        mesh::{instance_choice::MISSED_MESSAGES, leave_wait::LeaveWait},
        pause_detector::PauseDetector,
    },
    mesh::{
        caller_connection,
        context_headers::ContextHeaders,
        entry::RequestEntry,
        fleet_state::FleetState,
        mesh_settings::MeshSettings,
        peer_frame::PeerFrame,
        peer_links::PeerLinks,
        peer_listener::PeerListener,
        readiness_listener::{self, ShortQuestion},
        store_interface::{StoreFormat, StorePrefix},
        store_reader::StoreReader,
    },
};
use std::{
    io,
    path::{Path, PathBuf},
    time::SystemTime,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::JoinSet,
};

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Interval of the housekeeping while requests wait at the gate.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the housekeeping otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which unreachable daemons are tried again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest interval at which daemons tell each other their load.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(400);

/// Time between load messages for each daemon of the fleet, so that a daemon receives at most 100 in a
/// second.
const LOAD_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

/// Interval at which a daemon decides whether it reads the store.
const READER_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the signal to end in which clients notice that the daemon is not ready: they ask once
/// a second and leave after two answers.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// Time that is left for the end of the process before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// A daemon cannot start.
#[derive(Debug, Error)]
pub enum MeshError {
    /// A listener cannot be opened.
    #[error("The address {address} cannot be opened: {source}.")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs a daemon until it is asked to end and its requests are answered. The settings are read again
/// from their file when it changes.
pub async fn run(
    settings: MeshSettings,
    settings_path: PathBuf,
    headers: ContextHeaders,
    format: Arc<dyn StoreFormat>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), MeshError> {
    let state = Arc::new(FleetState::new(
        settings,
        headers,
        format,
        Arc::new(SystemClock),
    ));
    let settings = &state.settings;
    let outbound = listen(settings.outbound).await?;
    let peer = listen(settings.peer).await?;
    let readiness = listen(settings.readiness).await?;
    log::info!(
        "daemon: Started beside {} of {}.",
        settings.backend,
        settings.service
    );
    let links = PeerLinks::new(Arc::clone(&state));
    let runs = PeerListener::new(Arc::clone(&state), Arc::clone(&links));
    let entry = Arc::new(RequestEntry::new(Arc::clone(&state), Arc::clone(&links)));
    let mut tasks = JoinSet::new();
    let (choice, is_chosen) = watch::channel(true);
    for prefix in [StorePrefix::Config, StorePrefix::Entries] {
        let (state, links) = (Arc::clone(&state), Arc::clone(&links));
        tasks.spawn(StoreReader::new(state, links, prefix, is_chosen.clone()).run());
    }
    tasks.spawn(choose_readers(Arc::clone(&state), choice));
    tasks.spawn(Arc::clone(&runs).serve(peer));
    tasks.spawn(caller_connection::serve(outbound, entry));
    let question = ShortQuestion::Readiness;
    tasks.spawn(readiness_listener::serve(
        readiness,
        question,
        Arc::clone(&state),
    ));
    if let Some(address) = settings.metrics {
        let listener = listen(address).await?;
        let question = ShortQuestion::Metrics;
        tasks.spawn(readiness_listener::serve(
            listener,
            question,
            Arc::clone(&state),
        ));
    }
    tasks.spawn(keep_house(
        Arc::clone(&state),
        Arc::clone(&runs),
        Arc::clone(&links),
    ));
    tasks.spawn(tell_load(Arc::clone(&state), Arc::clone(&links)));
    tasks.spawn(reload(Arc::clone(&state), settings_path));
    for seed in &settings.seeds {
        let address = SocketAddr::new(seed.ip(), settings.peer.port());
        if address.ip() != settings.peer.ip()
            && let Some(link) = links.link(address)
        {
            link.send(PeerFrame::Ping);
        }
    }
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    let latest = state.clock.now() + state.settings.grace().saturating_sub(EXIT_MARGIN);
    state.leave(latest);
    links.broadcast(&PeerFrame::Leaving);
    leave(&state, &runs, latest).await;
    log::info!(
        "daemon: Stopped with {} open requests.",
        state.open_requests()
    );
    Ok(())
}

/// Waits until the clients have left and all requests are answered.
async fn leave(state: &FleetState, runs: &PeerListener, latest: Instant) {
    let now = state.clock.now();
    let mut wait = LeaveWait::new(now + LEAVE_TIME, latest, now);
    loop {
        tokio::time::sleep(BUSY_INTERVAL).await;
        let is_idle = state.open_requests() == 0 && runs.running() == 0;
        if wait.is_over(is_idle, state.clock.now()) {
            return;
        }
    }
}

/// Decides whether this daemon reads the store.
async fn choose_readers(state: Arc<FleetState>, choice: watch::Sender<bool>) {
    loop {
        tokio::time::sleep(READER_INTERVAL).await;
        let silence = load_interval(&state) * MISSED_MESSAGES;
        let is_chosen = state.rota.lock().decide(silence, state.clock.now());
        choice.send_if_modified(|known| std::mem::replace(known, is_chosen) != is_chosen);
    }
}

/// Returns the interval at which daemons tell each other their load.
fn load_interval(state: &FleetState) -> Duration {
    let members = u32::try_from(state.members()).unwrap_or(u32::MAX);
    MIN_LOAD_INTERVAL.max(LOAD_INTERVAL_PER_DAEMON * members)
}

/// Tells the other daemons the own load and renews the plan.
async fn tell_load(state: Arc<FleetState>, links: Arc<PeerLinks>) {
    loop {
        let load = state.renew_plan();
        if !state.is_leaving() {
            links.broadcast(&PeerFrame::Load(Arc::new(load)));
        }
        let interval = load_interval(&state);
        state.choice.lock().set_load_interval(interval);
        tokio::time::sleep(interval.mul_f64(0.9 + 0.2 * rand::random::<f64>())).await;
    }
}

/// Reads the settings again after a signal, or when the file has changed.
async fn reload(state: Arc<FleetState>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!("settings: The signal to reload cannot be received: {error}.");
            return;
        }
    };
    let mut known = modified(&path);
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {
                let current = modified(&path);
                if current == known {
                    continue;
                }
                known = current;
            }
        }
        match MeshSettings::load(&path) {
            Ok(settings) => state.reload(&settings),
            Err(error) => log::warn!("settings: The settings in force stay. {error}"),
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path).ok()?;
    metadata.modified().ok()
}

async fn keep_house(state: Arc<FleetState>, runs: Arc<PeerListener>, links: Arc<PeerLinks>) {
    let mut next_probe = state.clock.now() + PROBE_INTERVAL;
    let mut last = state.clock.now();
    let mut pauses = PauseDetector::new(last);
    loop {
        let is_busy = state.executor.tick();
        let interval = if is_busy {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let now = state.clock.now();
        if let Some(pause) = pauses.tick(now) {
            log::warn!(pause_ms = pause.as_millis() as u64; "daemon: The process did not run.");
            state.choice.lock().forget_failures();
        }
        if now < last + IDLE_INTERVAL {
            continue;
        }
        last = now;
        runs.expire();
        state.settle();
        if now >= next_probe {
            next_probe = now + PROBE_INTERVAL;
            links.probe();
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, MeshError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| MeshError::Listen { address, source })
}
