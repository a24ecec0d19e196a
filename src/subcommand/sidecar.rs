//! `sidecar`: runs a daemon that reads routes and instances from the platform's store.

use super::{SubcommandError, run::stop_signal};
use crate::{
    decision::clock::SystemClock,
    mesh::{mesh_daemon, mesh_settings::MeshSettings},
    platform::{context_names, store_format::PlatformStore},
    shell::logging,
};
use bpaf::Bpaf;
use std::{path::PathBuf, sync::Arc};
use tokio::runtime::Builder;

/// Arguments of `sidecar`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) struct SidecarArguments {
    /// Settings file of the daemon
    #[bpaf(short, long, argument("FILE"), env("SKYLARKSTREAM_CONFIG"))]
    settings: PathBuf,
}

pub(super) fn sidecar(arguments: &SidecarArguments) -> Result<(), SubcommandError> {
    let settings = MeshSettings::load(&arguments.settings)?;
    logging::init_queued(&settings.log)?;
    // The platform's machines run one thread at a time, so more threads would only add context
    // switches.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let stop = stop_signal()?;
        let format = Arc::new(PlatformStore);
        mesh_daemon::run(
            settings,
            arguments.settings.clone(),
            context_names::context_headers(),
            format,
            Arc::new(SystemClock),
            stop,
        )
        .await?;
        Ok(())
    })
}
