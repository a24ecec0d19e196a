//! `check`: validates settings and profiles.

use super::{SubcommandError, print};
use crate::{decision::profile::service_profile::ServiceProfile, settings::DaemonSettings};
use bpaf::Bpaf;
use std::path::{Path, PathBuf};

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) enum CheckArguments {
    /// Check the settings of a daemon.
    Settings {
        /// Settings file of a daemon
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Check a profile.
    Profile {
        /// Profile file
        #[bpaf(long("profile"), argument("FILE"))]
        profile: PathBuf,
        /// Print the canonical form and its SHA-256 digest
        canonical: bool,
    },
}

pub(super) fn check(arguments: &CheckArguments) -> Result<(), SubcommandError> {
    match arguments {
        CheckArguments::Settings { settings } => {
            DaemonSettings::load(settings)?;
            print(&format_args!("{}: valid settings\n", settings.display()))
        }
        CheckArguments::Profile {
            profile: path,
            canonical,
        } => {
            let profile = read_profile(path)?;
            if *canonical {
                let digest = profile.digest();
                return print(&format_args!(
                    "{}\n# sha256 {digest}\n",
                    profile.canonical()
                ));
            }
            let name = &profile.name;
            print(&format_args!(
                "{}: valid profile `{name}`\n",
                path.display()
            ))
        }
    }
}

fn read_profile(path: &Path) -> Result<ServiceProfile, SubcommandError> {
    let bytes = std::fs::read(path).map_err(|source| SubcommandError::Read {
        path: path.to_owned(),
        source,
    })?;
    ServiceProfile::from_bytes(&bytes).map_err(|source| SubcommandError::Profile {
        path: path.to_owned(),
        source,
    })
}
