//! Steps of a daemon from its start to its end.

use crate::{
    common::*,
    decision::{
        lifecycle::{
            lifecycle_phase::DrainCause,
            lifecycle_state::{Draining, Lifecycle, Starting},
        },
        pause_detector::{PAUSE_CHECK_INTERVAL, PauseDetector},
    },
    shell::daemon::DaemonState,
};
use tokio::{sync::watch, task::JoinSet, time::MissedTickBehavior};

/// Interval of the checks whether the configuration is complete.
const CONFIGURATION_POLL: Duration = Duration::from_millis(5);

/// Longest wait for the configuration of called services before the daemon serves without it.
const MAX_CALLS_WAIT: Duration = Duration::from_secs(1);

/// Shortest time for the requests of the connections that were accepted last.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Goes through the states of the life cycle up to the start of the drain.
pub(super) async fn serve_until_drain(
    daemon: &DaemonState,
    starting: Lifecycle<Starting>,
) -> Lifecycle<Draining> {
    let early = tokio::select! {
        cause = daemon.lifecycle.drain_requested() => Some(cause),
        () = wait_configured(daemon) => None,
    };
    let draining = match early {
        Some(cause) => starting.drain(cause, daemon.clock.now()),
        None => {
            let serving = starting.serve();
            daemon.lifecycle.enter(&serving);
            let settings = &daemon.settings;
            log::info!(
                "daemon: Serving {} as {}.",
                settings.service,
                settings.instance
            );
            let cause = daemon.lifecycle.drain_requested().await;
            serving.drain(cause, daemon.clock.now())
        }
    };
    daemon.lifecycle.enter(&draining);
    daemon.members.leave(daemon.clock.now());
    log::info!("daemon: Draining after {}.", draining.cause());
    draining
}

/// Waits for the own profile, and for a bounded time for the called services. The wait is bounded
/// since a called service without profile or instances must not keep this one from serving.
async fn wait_configured(daemon: &DaemonState) {
    let mut interval = tokio::time::interval(CONFIGURATION_POLL);
    let mut own_since = None;
    loop {
        interval.tick().await;
        if daemon.profiles.get(&daemon.settings.service).is_none() {
            continue;
        }
        let now = daemon.clock.now();
        let since = *own_since.get_or_insert(now);
        if daemon.is_configured() || now.saturating_duration_since(since) >= MAX_CALLS_WAIT {
            return;
        }
    }
}

/// Waits for the end of listeners, at most until the latest deadline of an accepted request.
pub(super) async fn finish_accepted(daemon: &DaemonState, listeners: &mut JoinSet<()>) {
    let margin = daemon.clock.now() + CLOSE_MARGIN;
    let bound = daemon
        .lifecycle
        .latest_deadline()
        .map_or(margin, |deadline| deadline.max(margin));
    let finish = async { while listeners.join_next().await.is_some() {} };
    let finished = tokio::time::timeout_at(bound.into(), finish).await;
    if finished.is_err() {
        log::warn!("daemon: Closing connections that are open after the latest deadline.");
        listeners.shutdown().await;
    }
}

/// Starts the drain when the owner of the daemon stops it.
pub(super) async fn drain_on_stop(daemon: Arc<DaemonState>, mut stop: watch::Receiver<bool>) {
    // A sender that is gone also stops the daemon, since nothing else could.
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    daemon.lifecycle.request_drain(DrainCause::Signal);
}

/// Feeds the pause detector and drops stale views after a pause.
pub(super) async fn detect_pauses(daemon: Arc<DaemonState>) {
    let mut detector = PauseDetector::new(daemon.clock.now());
    let mut interval = tokio::time::interval(PAUSE_CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = daemon.clock.now();
        if let Some(pause) = detector.tick(now) {
            daemon.drop_stale_views(now);
            log::warn!(
                "pause: The process did not run for {} ms; stale views are dropped.",
                pause.as_millis()
            );
        }
    }
}
