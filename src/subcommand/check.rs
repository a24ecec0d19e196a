//! `check`: validation of settings and profiles.

use super::SubcommandError;
use crate::{
    common::*, decision::profile::service_profile::ServiceProfile, settings::DaemonSettings,
};
use bpaf::Bpaf;
use std::path::PathBuf;

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
pub(super) enum CheckArguments {
    /// Settings file of a daemon
    Settings(#[bpaf(long("settings"), argument("FILE"))] PathBuf),
    /// Profile file
    Profile(#[bpaf(long("profile"), argument("FILE"))] PathBuf),
}

pub(super) fn check(arguments: &CheckArguments) -> Result<(), SubcommandError> {
    match arguments {
        CheckArguments::Settings(path) => {
            DaemonSettings::load(path)?;
            println!("{}: valid settings", path.display());
        }
        CheckArguments::Profile(path) => {
            let profile = read_profile(path)?;
            println!("{}: valid profile `{}`", path.display(), profile.name);
        }
    }
    Ok(())
}

fn read_profile(path: &PathBuf) -> Result<ServiceProfile, SubcommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| SubcommandError::Read {
        path: path.clone(),
        source,
    })?;
    ServiceProfile::from_str(&text).map_err(|source| SubcommandError::Profile {
        path: path.clone(),
        source,
    })
}
