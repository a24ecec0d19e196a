//! Messages and actions of the catalogue.

use super::{
    catalogue_index::IndexHashes,
    catalogue_report::ValueSource,
    catalogue_value::CatalogueValue,
    version_stamp::{IndexRecord, VersionStamp},
};
use crate::common::*;

/// Index of the sender, as far as the receiver needs it.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexDigest {
    /// Control address of the sender.
    pub sender: SocketAddr,
    /// Hashes of the index.
    pub hashes: IndexHashes,
    /// Records that changed or differ.
    pub records: Vec<IndexRecord>,
}

/// Answer to an [`IndexDigest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexDelta {
    /// Hashes of the answering index; the parts are given when the sender gave none.
    pub hashes: IndexHashes,
    /// Records of the parts that differ.
    pub records: Vec<IndexRecord>,
}

/// Call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformCall {
    /// Reads the whole index.
    Index,
    /// Waits for changes after a revision.
    Watch {
        /// Revision known.
        after: u64,
        /// Whether the call waits for a change.
        is_waiting: bool,
    },
    /// Reads a value.
    Value(SmolStr),
}

/// Action that the shell carries out for the catalogue.
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
    /// Reports that a version is refused.
    Refuse {
        /// Catalogue key.
        key: SmolStr,
        /// Refused version.
        version: u64,
        /// Reason for people.
        reason: String,
    },
}

/// Value that comes into force.
#[derive(Clone, Debug)]
pub struct AppliedValue {
    /// Catalogue key.
    pub key: SmolStr,
    /// Version and digest.
    pub stamp: VersionStamp,
    /// Valid value.
    pub value: CatalogueValue,
    /// Source of the value.
    pub source: ValueSource,
    /// Time from the first sight of the version until it came into force.
    pub lag: Duration,
}
