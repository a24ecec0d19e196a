//! Command line interface.

use crate::{
    common::*,
    mesh::mesh_daemon::MeshError,
    platform::config_document::ConfigDocumentError,
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

/// Exit code for invalid input or a failure.
const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Maximum width of the help text, in columns.
const HELP_WIDTH: usize = 100;

/// Overload control for service call graphs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Exit codes: 0 success, 1 failure or invalid file, 2 invalid command line.")
)]
enum Subcommand {
    /// Run a daemon that reads profiles from the configuration service.
    #[bpaf(command)]
    Run(#[bpaf(external(run::run_arguments))] run::RunArguments),
    /// Run a daemon that reads routes and instances from the platform's store.
    #[bpaf(command)]
    Sidecar(#[bpaf(external(sidecar::sidecar_arguments))] sidecar::SidecarArguments),
    /// Validate a settings file, a route configuration or a profile.
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
    /// Show a load surge on a call chain on loopback, without and with control.
    #[bpaf(command)]
    Demo,
}

/// Error of a subcommand.
#[derive(Debug, Error)]
enum SubcommandError {
    /// The settings cannot be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The daemon of `run` failed.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The daemon of `sidecar` failed.
    #[error(transparent)]
    Mesh(#[from] MeshError),
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A daemon sent no usable response.
    #[error(transparent)]
    Admin(#[from] admin_client::AdminError),
    /// A file cannot be read.
    #[error("The file {} cannot be read: {source}.", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The profile is invalid.
    #[error("The profile {} is invalid. {source}", path.display())]
    Profile {
        /// Path of the file.
        path: PathBuf,
        /// Reason why the profile is invalid.
        source: crate::decision::profile::service_profile::ProfileError,
    },
    /// The route configuration is invalid.
    #[error("The route configuration {} is invalid. {source}", path.display())]
    Config {
        /// Path of the file.
        path: PathBuf,
        /// Reason why the configuration is invalid.
        source: ConfigDocumentError,
    },
    /// Another input or output operation failed.
    #[error("I/O error: {0}.")]
    Io(#[from] io::Error),
}

/// Runs the subcommand of the command line and returns the exit code.
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

/// Writes to standard output. A reader that closes the pipe early does not cause an error.
fn print(text: &impl Display) -> Result<(), SubcommandError> {
    match write!(io::stdout().lock(), "{text}") {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result?),
    }
}
