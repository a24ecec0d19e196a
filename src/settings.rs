//! Settings of a daemon that reads profiles from the configuration service.

use crate::{
    common::*,
    toml_location::{self, KeyLocation},
};
use std::path::{Path, PathBuf};

pub mod log_settings;
pub mod settings_error;
mod settings_validation;

pub use log_settings::{LogFormat, LogLevel, LogSettings};
pub use settings_error::{InvalidSettings, SettingsError};

/// Maximum size of a settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 1 << 20;

/// Settings of one daemon, read from a TOML file at startup.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the cluster; daemons of other clusters are refused.
    pub cluster: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Name of the instance.
    pub instance: SmolStr,
    /// Service that the backend server implements.
    pub service: SmolStr,
    /// Address of the backend server beside the daemon.
    pub backend: SocketAddr,
    /// Address of the listener for outside callers.
    pub edge: SocketAddr,
    /// Address of the listener for calls from other daemons.
    pub peer: SocketAddr,
    /// Address of the listener for the calls that the backend server makes.
    pub outbound: SocketAddr,
    /// Address of the listener for control messages from other daemons.
    pub control: SocketAddr,
    /// Address of the listener for operators: status, metrics and readiness.
    pub admin: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Control addresses of the first daemons to contact at startup.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Services that the backend server calls.
    #[serde(default)]
    pub calls: Vec<SmolStr>,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Time for which a draining daemon keeps accepting connections and refuses their requests, in
    /// milliseconds, at most 60,000. Other daemons close their idle connections after 4 s; a
    /// shorter time can break connections that they are about to reuse.
    #[serde(default = "default_refusal_ms")]
    pub refusal_ms: u64,
    /// Address of a collector that receives spans by OTLP over HTTP.
    #[serde(default)]
    pub trace_endpoint: Option<SocketAddr>,
    /// File to which spans are written as OTLP JSON lines, for development.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
}

fn default_refusal_ms() -> u64 {
    5_000
}

impl DaemonSettings {
    /// Reads the settings from a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::from_bytes(&bytes).map_err(|source| SettingsError::Invalid {
            path: path.to_owned(),
            source,
        })
    }

    /// Reads the settings from the bytes of a file.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidSettings> {
        if bytes.len() > MAX_SETTINGS_BYTES {
            return Err(InvalidSettings::TooLarge(bytes.len()));
        }
        let text = std::str::from_utf8(bytes).map_err(|error| InvalidSettings::Encoding {
            line: toml_location::line_number(bytes, error.valid_up_to()),
        })?;
        let settings: Self = toml::from_str(text).map_err(|error| InvalidSettings::Syntax {
            location: KeyLocation::of_error(text, &error),
            message: toml_location::one_line_message(&error),
        })?;
        match settings_validation::validate(&settings) {
            Ok(()) => Ok(settings),
            Err((path, violation)) => Err(InvalidSettings::Rule {
                location: KeyLocation::of_path(text, &path),
                violation,
            }),
        }
    }
}
