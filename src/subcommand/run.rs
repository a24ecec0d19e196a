//! `run`: runs a daemon that reads profiles from the configuration service.

use super::SubcommandError;
use crate::{
    settings::DaemonSettings,
    shell::{daemon, logging},
};
use bpaf::Bpaf;
use std::{io, path::PathBuf};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Worker threads of a daemon. At the design size a daemon handles about 140 calls/s; with one
/// thread per core, calls would move between cores and each thread would hold memory of its own.
const WORKER_THREADS: usize = 2;

/// Arguments of `run`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) struct RunArguments {
    /// Settings file of the daemon
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
}

pub(super) fn run(arguments: &RunArguments) -> Result<(), SubcommandError> {
    let settings = DaemonSettings::load(&arguments.settings)?;
    logging::init(&settings.log)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let stop = stop_signal()?;
        daemon::run(settings, stop).await?;
        Ok(())
    })
}

/// Returns a receiver whose value becomes true at the first SIGTERM or SIGINT.
pub(super) fn stop_signal() -> io::Result<watch::Receiver<bool>> {
    let (sender, receiver) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("daemon: Draining after a signal.");
        sender.send_replace(true);
    });
    Ok(receiver)
}
