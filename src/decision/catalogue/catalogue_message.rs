//! Messages that daemons exchange about the catalogue, and actions of a catalogue node.

use super::{
    catalogue_index::IndexHashes,
    catalogue_report::ValueSource,
    catalogue_value::CatalogueValue,
    version_stamp::{IndexRecord, VersionStamp},
};
use crate::common::*;

/// Hashes of the sender's index with some of its records; starts an exchange.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexDigest {
    /// Control address of the sender.
    pub sender: SocketAddr,
    /// Hashes of the index.
    pub hashes: IndexHashes,
    /// Records that changed recently or differ from the receiver's.
    pub records: Vec<IndexRecord>,
}

/// Response to an [`IndexDigest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexDelta {
    /// Hashes of the responder's index; those of the buckets are included if the digest had none
    /// and the indexes differ.
    pub hashes: IndexHashes,
    /// Records of the buckets that differ.
    pub records: Vec<IndexRecord>,
}

/// Call to the platform's configuration service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformCall {
    /// Reads the whole index.
    Index,
    /// Reads the changes after a revision.
    Watch {
        /// Latest known revision.
        after: u64,
        /// Whether the call waits until there is a change.
        is_long_poll: bool,
    },
    /// Reads a value.
    Value(SmolStr),
}

/// Action of a catalogue node, which the caller of the node carries out.
#[derive(Clone, Debug)]
pub enum CatalogueAction {
    /// Sends a digest to a peer.
    Exchange(SocketAddr, IndexDigest),
    /// Fetches a value from a peer.
    Fetch(SocketAddr, SmolStr, VersionStamp),
    /// Calls the platform.
    Platform(PlatformCall),
    /// Puts a value in force.
    Apply(AppliedValue),
    /// Logs that a version is refused.
    Refuse {
        /// Catalogue key.
        key: SmolStr,
        /// Refused version.
        version: u64,
        /// Human-readable reason.
        reason: String,
    },
}

/// Value that is put in force.
#[derive(Clone, Debug)]
pub struct AppliedValue {
    /// Catalogue key.
    pub key: SmolStr,
    /// Version and digest.
    pub stamp: VersionStamp,
    /// Validated value.
    pub value: CatalogueValue,
    /// Source of the value.
    pub source: ValueSource,
    /// Time from when the version was first seen until it was put in force.
    pub lag: Duration,
}
