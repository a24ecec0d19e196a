//! Settings of a daemon.

use crate::common::*;
use std::path::{Path, PathBuf};

/// Settings of one daemon, read from a TOML file at start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the cluster; daemons of other clusters are refused.
    pub cluster: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Name of the instance.
    pub instance: SmolStr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Address of the own backend server.
    pub backend: SocketAddr,
    /// Listener for outside callers.
    pub edge: SocketAddr,
    /// Listener for other daemons' calls.
    pub peer: SocketAddr,
    /// Listener for the calls of the own backend server.
    pub outbound: SocketAddr,
    /// Listener for control messages.
    pub control: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Control addresses of daemons to ask at start.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Services that the backend server calls.
    #[serde(default)]
    pub calls: Vec<SmolStr>,
    /// Time in milliseconds for which a draining daemon accepts connections and refuses their
    /// requests. Idle connections of other daemons end after 4 s; a shorter time can break them.
    #[serde(default = "default_refusal_ms")]
    pub refusal_ms: u64,
    /// File for spans as OTLP JSON lines.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
}

fn default_refusal_ms() -> u64 {
    5_000
}

/// Settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("The settings file {} cannot be read: {source}", path.display())]
    Read {
        /// File that was asked for.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid TOML or has unknown or missing keys.
    #[error("The settings file {} is not valid: {source}", path.display())]
    Syntax {
        /// File that was asked for.
        path: PathBuf,
        /// Error with line and key.
        source: toml::de::Error,
    },
}

impl DaemonSettings {
    /// Reads the settings from a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        toml::from_str(&text).map_err(|source| SettingsError::Syntax {
            path: path.to_owned(),
            source,
        })
    }
}
