//! What a daemon reads from the store.

use crate::{
    common::*,
    decision::mesh::{fleet_view::BackendEntry, route_table::RouteTable},
};
use bytes::Bytes;

/// Part of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StorePrefix {
    /// The route configuration.
    Config,
    /// Entries of the backend servers.
    Entries,
}

/// Value under a key of the store.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct StoreItem {
    /// Whether it is the route configuration.
    pub is_config: bool,
    /// Instance id, if it is the entry of a backend server.
    pub instance: Option<SmolStr>,
    /// Revision of the store at the last change of the value.
    pub revision: u64,
    /// The value; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// Page of the items under a prefix.
#[derive(Clone, Debug)]
pub struct StorePage {
    /// Items of the page.
    pub items: Vec<StoreItem>,
    /// Key behind which the next page begins.
    pub last_key: Option<SmolStr>,
    /// Whether another page follows.
    pub has_more: bool,
    /// Revision of the store when it answered.
    pub revision: u64,
}

/// Changes under a prefix.
#[derive(Clone, Debug)]
pub struct StoreWatch {
    /// Changed items.
    pub items: Vec<StoreItem>,
    /// Revision from which the next watch continues.
    pub revision: u64,
}

/// A value or an answer of the store cannot be read.
#[derive(Clone, Debug, Error)]
#[error("{0}")]
pub struct StoreFormatError(pub SmolStr);

/// Calls of the store and the form of its values.
pub trait StoreFormat: Send + Sync {
    /// Returns the request target that reads one page of a prefix.
    fn range_target(&self, prefix: StorePrefix, after: Option<&str>) -> String;
    /// Returns the request target that waits for changes after a revision.
    fn watch_target(&self, prefix: StorePrefix, after: u64, wait: Duration) -> String;
    /// Decodes a page of items.
    fn decode_page(&self, bytes: &[u8]) -> Result<StorePage, StoreFormatError>;
    /// Decodes the changes that a watch returned.
    fn decode_watch(&self, bytes: &[u8]) -> Result<StoreWatch, StoreFormatError>;
    /// Decodes a route configuration.
    fn decode_config(&self, bytes: &[u8]) -> Result<RouteTable, StoreFormatError>;
    /// Decodes the entry of a backend server.
    fn decode_entry(&self, bytes: &[u8]) -> Result<BackendEntry, StoreFormatError>;
}
