//! Settings of a daemon whose routes and instances are published in a store.

use crate::{
    common::*,
    decision::{
        mesh::{
            fleet_retry_budget::BudgetBounds,
            request_fingerprint::{FingerprintError, RequestFingerprint},
            store_outage::DEFAULT_HEARTBEAT,
        },
        organisation::{allotment_bounds::AllotmentBounds, config_currency::KeyRules},
    },
    settings::{InvalidSettings, LogSettings, SettingsError},
    toml_location::{self, KeyLocation},
};
use serde::{Deserializer, Serializer, de::Error as _};
use std::path::Path;

/// Largest settings file, in bytes.
const MAX_SETTINGS_BYTES: usize = 1 << 20;

/// Longest grace period. Sums of longer ones with the clock can overflow.
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// Longest interval at which backend servers renew their entries.
const MAX_HEARTBEAT: Duration = Duration::from_secs(60 * 60);

/// Settings of one daemon, read from a TOML file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Address of the local backend server.
    pub backend: SocketAddr,
    /// Address of the listener for requests of clients and of the local backend server.
    pub outbound: SocketAddr,
    /// Address of the listener for other daemons; all daemons use the same port.
    pub peer: SocketAddr,
    /// Address of the listener for readiness probes.
    pub readiness: SocketAddr,
    /// Address of the listener for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of daemons to connect to at the start, before any members are known; their ports
    /// are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// Interval at which backend servers renew their entries in the store, in seconds. An entry expires
    /// after three of them.
    #[serde(
        default = "default_heartbeat_s",
        deserialize_with = "deserialize_heartbeat_s"
    )]
    pub heartbeat_s: f64,
    /// Bounds on retries that all daemons share.
    #[serde(default)]
    pub budget: BudgetBounds,
    /// Tolerance with which the allotments of organisations are kept.
    #[serde(default)]
    pub allotment: AllotmentBounds,
    /// Treatment of keys at a daemon that is out of touch.
    #[serde(default)]
    pub keys: KeyRules,
    /// Fingerprints of requests that are never refused although servers ended while they ran, as the
    /// log shows them.
    #[serde(
        default,
        deserialize_with = "deserialize_fingerprints",
        serialize_with = "serialize_fingerprints"
    )]
    pub released_requests: Vec<RequestFingerprint>,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
}

impl MeshSettings {
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
        toml::from_str(text).map_err(|error| InvalidSettings::Syntax {
            location: KeyLocation::of_error(text, &error),
            message: toml_location::one_line_message(&error),
        })
    }

    /// Returns the peer addresses of the seeds, unless this daemon is one: the seeds read the store at
    /// their start.
    pub fn other_seeds(&self) -> Vec<SocketAddr> {
        let local_ip = self.peer.ip();
        if self.seeds.iter().any(|seed| seed.ip() == local_ip) {
            return Vec::new();
        }
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.peer.port()))
            .collect()
    }

    /// Returns the time from the stop signal until the process is killed.
    pub fn grace_period(&self) -> Duration {
        let grace = Duration::try_from_secs_f64(self.grace_s).unwrap_or_default();
        grace.min(MAX_GRACE_PERIOD)
    }

    /// Returns the interval at which backend servers renew their entries in the store.
    pub fn heartbeat(&self) -> Duration {
        Duration::try_from_secs_f64(self.heartbeat_s).unwrap_or(DEFAULT_HEARTBEAT)
    }
}

fn default_heartbeat_s() -> f64 {
    DEFAULT_HEARTBEAT.as_secs_f64()
}

fn deserialize_heartbeat_s<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    if seconds > 0.0 && seconds <= MAX_HEARTBEAT.as_secs_f64() {
        return Ok(seconds);
    }
    Err(D::Error::custom(format_args!(
        "the interval of {seconds} s is not above 0 and at most {} s",
        MAX_HEARTBEAT.as_secs()
    )))
}

fn deserialize_fingerprints<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<RequestFingerprint>, D::Error> {
    let texts = Vec::<SmolStr>::deserialize(deserializer)?;
    let fingerprints = texts.iter().map(|text| text.parse());
    fingerprints
        .collect::<Result<_, FingerprintError>>()
        .map_err(D::Error::custom)
}

fn serialize_fingerprints<S: Serializer>(
    fingerprints: &[RequestFingerprint],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(fingerprints.iter().map(RequestFingerprint::to_string))
}
