//! Command line.

use crate::{
    common::*,
    mesh::mesh_daemon::MeshError,
    settings::SettingsError,
    shell::{daemon::DaemonError, logging::LogError},
};
use bpaf::{Args, Bpaf, ParseFailure};
use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

mod admin_client;
mod check;
mod demo;
mod explain;
mod profiles;
mod run;
mod sidecar;
mod status;

/// Exit code of a refusal or failure.
const EXIT_FAILURE: u8 = 1;
/// Exit code of a wrong command line.
const EXIT_USAGE: u8 = 2;
/// Width of the help, in columns.
const HELP_WIDTH: usize = 100;

/// Overload control for service call graphs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Exit codes: 0 success, 1 refused or failed, 2 wrong command line.")
)]
enum Subcommand {
    /// Run the daemon.
    #[bpaf(command)]
    Run(#[bpaf(external(run::run_arguments))] run::RunArguments),
    /// Run the daemon on a platform whose routes and members come from a store.
    #[bpaf(command)]
    Sidecar(#[bpaf(external(sidecar::sidecar_arguments))] sidecar::SidecarArguments),
    /// Validate a settings file or a profile.
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_arguments))] check::CheckArguments),
    /// Show limits, queue, threshold and budgets of a daemon.
    #[bpaf(command)]
    Status(#[bpaf(external(status::status_arguments))] status::StatusArguments),
    /// Show the profiles that a daemon has in force.
    #[bpaf(command)]
    Profiles(#[bpaf(external(profiles::profiles_arguments))] profiles::ProfilesArguments),
    /// Show why a request would be admitted or shed.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_arguments))] explain::ExplainArguments),
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
    /// The daemon of a fleet failed.
    #[error(transparent)]
    Mesh(#[from] MeshError),
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A daemon gave no usable answer.
    #[error(transparent)]
    Admin(#[from] admin_client::AdminError),
    /// A file cannot be read.
    #[error("The file {} cannot be read: {source}.", path.display())]
    Read {
        /// File that was asked for.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The profile is refused.
    #[error("The profile {} is refused. {source}", path.display())]
    Profile {
        /// File that was asked for.
        path: PathBuf,
        /// Reason of the refusal.
        source: crate::decision::profile::service_profile::ProfileError,
    },
    /// The operating system failed.
    #[error("The operating system reports: {0}.")]
    System(#[from] io::Error),
}

/// Runs the command line and returns its exit code.
pub fn run() -> ExitCode {
    let subcommand = match subcommand().run_inner(Args::current_args()) {
        Ok(subcommand) => subcommand,
        Err(failure) => {
            if let ParseFailure::Stderr(message) = &failure {
                eprintln!("error: {}", message.monochrome(true));
                return ExitCode::from(EXIT_USAGE);
            }
            failure.print_message(HELP_WIDTH);
            return ExitCode::SUCCESS;
        }
    };
    let result = match subcommand {
        Subcommand::Run(arguments) => run::run(&arguments),
        Subcommand::Sidecar(arguments) => sidecar::sidecar(&arguments),
        Subcommand::Check(arguments) => check::check(&arguments),
        Subcommand::Status(arguments) => status::status(&arguments),
        Subcommand::Profiles(arguments) => profiles::profiles(&arguments),
        Subcommand::Explain(arguments) => explain::explain(&arguments),
        Subcommand::Demo => demo::demo(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Writes to the standard output. A reader that closes the pipe early is no failure.
fn print(text: &impl Display) -> Result<(), SubcommandError> {
    match write!(io::stdout().lock(), "{text}") {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result?),
    }
}
