//! `check`: validates settings, route configurations and profiles.

use super::{SubcommandError, print};
use crate::{
    decision::{
        mesh::route_table::RouteTable, organisation::organisation_table::OrganisationTable,
        profile::service_profile::ServiceProfile,
    },
    platform::config_document,
    settings::DaemonSettings,
};
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
    /// Check a route configuration of the platform's store.
    Config {
        /// File with a route configuration, as the operator writes it to the store
        #[bpaf(long("config"), argument("FILE"))]
        config: PathBuf,
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
        CheckArguments::Config { config } => {
            let table = read_config(config)?;
            let organisations = table.organisations().map_or(0, OrganisationTable::len);
            print(&format_args!(
                "{}: valid configuration, version {}, {} routes, {organisations} organisations\n",
                config.display(),
                table.version().0,
                table.len(),
            ))
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

fn read_config(path: &Path) -> Result<RouteTable, SubcommandError> {
    let bytes = read_file(path)?;
    config_document::decode(&bytes).map_err(|source| SubcommandError::Config {
        path: path.to_owned(),
        source,
    })
}

fn read_file(path: &Path) -> Result<Vec<u8>, SubcommandError> {
    std::fs::read(path).map_err(|source| SubcommandError::Read {
        path: path.to_owned(),
        source,
    })
}

fn read_profile(path: &Path) -> Result<ServiceProfile, SubcommandError> {
    let bytes = read_file(path)?;
    ServiceProfile::from_bytes(&bytes).map_err(|source| SubcommandError::Profile {
        path: path.to_owned(),
        source,
    })
}
