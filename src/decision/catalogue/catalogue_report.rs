//! Report of the catalogue for operators.

use crate::common::*;

/// Source from which a value in force was received.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ValueSource {
    /// The platform's configuration service.
    Platform,
    /// The control listener of another daemon.
    Peer(SocketAddr),
}

/// State of one catalogue key that this daemon uses.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct KeyReport {
    /// Catalogue key.
    pub key: SmolStr,
    /// Version in force, if any.
    pub version: Option<u64>,
    /// SHA-256 of the value in force, in hex.
    pub digest: Option<SmolStr>,
    /// Source of the value in force.
    pub source: Option<ValueSource>,
    /// Time since the value was put in force, in seconds.
    pub age_s: Option<u64>,
    /// Latest version received, which may be refused or not yet fetched.
    pub latest_version: Option<u64>,
    /// Version that was last refused, with the reason.
    pub refusal: Option<KeyRefusal>,
}

/// Refusal of a version.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct KeyRefusal {
    /// Refused version.
    pub version: u64,
    /// Human-readable reason.
    pub reason: String,
}

/// State of the catalogue of one daemon.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct CatalogueReport {
    /// Keys that this daemon uses.
    pub keys: Vec<KeyReport>,
    /// Number of keys in the index.
    pub index_keys: usize,
    /// Total size of the stored values, in bytes.
    pub value_bytes: usize,
    /// Whether this daemon reads the platform for its data centre.
    pub is_reader: bool,
    /// Peers from which a message was received in the last 10 s.
    pub peers_heard: usize,
    /// Those among them whose index was equal to this daemon's at the last exchange.
    pub peers_in_agreement: usize,
    /// Number of times that a known version was received with a different digest.
    pub conflicts: u64,
}
