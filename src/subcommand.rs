//! Command line.

use crate::{common::*, settings::SettingsError, shell::daemon::DaemonError};
use bpaf::Bpaf;
use std::process::ExitCode;

mod check;
mod demo;
mod run;

/// Overload control for service call graphs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Subcommand {
    /// Run the daemon.
    #[bpaf(command)]
    Run(#[bpaf(external(run::run_arguments))] run::RunArguments),
    /// Validate a settings file or a profile.
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_arguments))] check::CheckArguments),
    /// Run a small call chain on loopback.
    #[bpaf(command)]
    Demo,
}

/// A subcommand failed.
#[derive(Debug, Error)]
enum SubcommandError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The daemon failed.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// A file cannot be read.
    #[error("The file {} cannot be read: {source}", path.display())]
    Read {
        /// File that was asked for.
        path: std::path::PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The profile is refused.
    #[error("The profile {} is refused: {source}", path.display())]
    Profile {
        /// File that was asked for.
        path: std::path::PathBuf,
        /// Reason of the refusal.
        source: crate::decision::profile::service_profile::ProfileError,
    },
    /// The operating system failed.
    #[error("The operating system reports: {0}")]
    System(#[from] std::io::Error),
}

/// Runs the command line and returns its exit code.
pub fn run() -> ExitCode {
    let result = match subcommand().run() {
        Subcommand::Run(arguments) => run::run(&arguments),
        Subcommand::Check(arguments) => check::check(&arguments),
        Subcommand::Demo => demo::demo(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
