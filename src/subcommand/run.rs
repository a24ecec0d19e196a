//! `run`: the daemon.

use super::SubcommandError;
use crate::{settings::DaemonSettings, shell::daemon};
use bpaf::Bpaf;
use std::{io, path::PathBuf};
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Arguments of `run`.
#[derive(Clone, Debug, Bpaf)]
pub(super) struct RunArguments {
    /// Settings file
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
}

pub(super) fn run(arguments: &RunArguments) -> Result<(), SubcommandError> {
    init_log()?;
    let settings = DaemonSettings::load(&arguments.settings)?;
    let runtime = Runtime::new()?;
    runtime.block_on(async {
        let stop = stop_signal()?;
        daemon::run(settings, stop).await?;
        Ok(())
    })
}

fn stop_signal() -> io::Result<watch::Receiver<bool>> {
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

fn init_log() -> io::Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{:5} {message}", record.level()));
        })
        .level(log::LevelFilter::Info)
        .chain(io::stderr())
        .apply()
        .map_err(|error| io::Error::other(error.to_string()))
}
