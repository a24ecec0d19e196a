//! Life cycle of a daemon: start, drain and stop.

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

/// Interval at which a starting daemon checks whether its configuration is complete.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Max wait for the configuration of called services; after it, the daemon serves without it.
const MAX_CALLED_SERVICES_WAIT: Duration = Duration::from_secs(1);

/// Minimum time for requests on connections that were accepted just before the listener closed.
const MIN_CLOSE_TIME: Duration = Duration::from_millis(500);

/// Advances the lifecycle from the start of the daemon to the start of its drain.
pub(super) async fn serve_until_drain(
    daemon: &DaemonState,
    starting: Lifecycle<Starting>,
) -> Lifecycle<Draining> {
    let early_drain = tokio::select! {
        cause = daemon.lifecycle.drain_requested() => Some(cause),
        () = wait_until_configured(daemon) => None,
    };
    let draining = match early_drain {
        Some(cause) => starting.drain(cause, daemon.clock.now()),
        None => {
            let serving = starting.serve();
            daemon.lifecycle.publish_phase(&serving);
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
    daemon.lifecycle.publish_phase(&draining);
    daemon.members.leave(daemon.clock.now());
    log::info!("daemon: Draining after {}.", draining.cause());
    draining
}

/// Waits for the profile of this daemon's service, and then at most [`MAX_CALLED_SERVICES_WAIT`]
/// for the called services: one without a profile or instances must not keep this service from
/// serving.
async fn wait_until_configured(daemon: &DaemonState) {
    let mut interval = tokio::time::interval(CONFIGURATION_POLL_INTERVAL);
    let mut own_profile_since = None;
    loop {
        interval.tick().await;
        if daemon.profiles.get(&daemon.settings.service).is_none() {
            continue;
        }
        let now = daemon.clock.now();
        let since = *own_profile_since.get_or_insert(now);
        if daemon.is_configured()
            || now.saturating_duration_since(since) >= MAX_CALLED_SERVICES_WAIT
        {
            return;
        }
    }
}

/// Waits until listeners have finished, at most until the latest deadline of an accepted request.
pub(super) async fn finish_accepted(daemon: &DaemonState, listeners: &mut JoinSet<()>) {
    let earliest = daemon.clock.now() + MIN_CLOSE_TIME;
    let bound = daemon
        .lifecycle
        .latest_deadline()
        .map_or(earliest, |deadline| deadline.max(earliest));
    let finish = async { while listeners.join_next().await.is_some() {} };
    let finished = tokio::time::timeout_at(bound.into(), finish).await;
    if finished.is_err() {
        log::warn!("daemon: Closing connections that are open after the latest deadline.");
        listeners.shutdown().await;
    }
}

/// Starts the drain when `stop` becomes true or its sender is dropped.
pub(super) async fn drain_on_stop(daemon: Arc<DaemonState>, mut stop: watch::Receiver<bool>) {
    // A dropped sender also starts the drain, since `stop` could no longer become true.
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    daemon.lifecycle.request_drain(DrainCause::Signal);
}

/// Detects pauses of the process and resets outdated state after each.
pub(super) async fn detect_pauses(daemon: Arc<DaemonState>) {
    let mut detector = PauseDetector::new(daemon.clock.now());
    let mut interval = tokio::time::interval(PAUSE_CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = daemon.clock.now();
        if let Some(pause) = detector.tick(now) {
            daemon.reset_after_pause(now);
            log::warn!(
                "pause: The process did not run for {} ms; outdated state is reset.",
                pause.as_millis()
            );
        }
    }
}
