//! Interface to the store from which daemons read routes and instances.

use crate::{
    common::*,
    decision::mesh::{
        fleet_view::BackendEntry, route_table::RouteTable, store_position::StorePosition,
    },
    http1::header_list::HeaderList,
};
use bytes::Bytes;

/// Value under a key of the store.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct StoreItem {
    /// Whether the value is the route configuration.
    pub is_config: bool,
    /// Instance id, if the value is the entry of a backend server.
    pub instance: Option<SmolStr>,
    /// Position of the store at which the value was last changed.
    pub position: StorePosition,
    /// Encoded value; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// Page of all items.
#[derive(Clone, Debug)]
pub struct StorePage {
    /// Items of the page.
    pub items: Vec<StoreItem>,
    /// Key after which the next page begins.
    pub last_key: Option<SmolStr>,
    /// Whether another page follows.
    pub has_more: bool,
    /// Position of the store at the time of the response.
    pub position: StorePosition,
}

/// Changes of any items.
#[derive(Clone, Debug)]
pub struct StoreChanges {
    /// Changed items.
    pub items: Vec<StoreItem>,
    /// Position after which the next watch continues.
    pub position: StorePosition,
}

/// A value or a response of the store could not be decoded.
#[derive(Clone, Debug, Error)]
#[error("{0}")]
pub struct StoreFormatError(pub SmolStr);

/// Request targets of the store and decoders for its responses and values.
pub trait StoreFormat: Send + Sync {
    /// Returns the request target that reads one page of all items.
    fn range_target(&self, after: Option<&str>) -> String;
    /// Returns the request target that waits for changes after a position.
    fn watch_target(&self, after: StorePosition, wait: Duration) -> String;
    /// Decodes the era that a response of any status states, 0 if it states none.
    fn decode_era(&self, headers: &HeaderList) -> Result<u64, StoreFormatError>;
    /// Decodes the response to the read of a page in an era.
    fn decode_page(&self, era: u64, bytes: &[u8]) -> Result<StorePage, StoreFormatError>;
    /// Decodes the response to a watch in an era.
    fn decode_watch(&self, era: u64, bytes: &[u8]) -> Result<StoreChanges, StoreFormatError>;
    /// Decodes a route configuration.
    fn decode_config(&self, bytes: &[u8]) -> Result<RouteTable, StoreFormatError>;
    /// Decodes the entry of a backend server.
    fn decode_entry(&self, bytes: &[u8]) -> Result<BackendEntry, StoreFormatError>;
}
