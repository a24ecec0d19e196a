//! Exchange of the catalogue of published values with other daemons.

use crate::{
    common::*,
    decision::{
        catalogue::{
            catalogue_message::{CatalogueAction, IndexDelta, IndexDigest},
            catalogue_node::{CatalogueNode, NodeSettings},
            catalogue_report::ValueSource,
            piece_assembler::ValuePiece,
            version_stamp::VersionStamp,
        },
        clock::Clock,
    },
    shell::control_traffic::ControlTraffic,
};
use bytes::Bytes;

/// Catalogue of this daemon, shared by its controllers.
pub type SharedNode = Arc<Mutex<CatalogueNode>>;

/// Passes messages between the catalogue and the control listener and client.
pub struct GossipController {
    node: SharedNode,
    clock: Arc<dyn Clock>,
    /// Bytes on control connections.
    pub traffic: Arc<ControlTraffic>,
}

impl GossipController {
    /// Creates the controller with an empty catalogue.
    pub fn new(settings: NodeSettings, clock: Arc<dyn Clock>) -> Self {
        let node = CatalogueNode::new(settings, clock.now());
        Self {
            node: Arc::new(Mutex::new(node)),
            clock,
            traffic: Arc::default(),
        }
    }

    /// Returns the catalogue.
    pub fn node(&self) -> SharedNode {
        Arc::clone(&self.node)
    }

    /// Returns the first actions after a start: the exchanges with the seed peers.
    pub fn start(&self) -> Vec<CatalogueAction> {
        self.node.lock().start()
    }

    /// Returns the actions that are due.
    pub fn tick(&self) -> Vec<CatalogueAction> {
        self.node.lock().tick(self.clock.now())
    }

    /// Handles a digest received from a peer and returns the response.
    pub fn on_exchange(&self, digest: &IndexDigest) -> IndexDelta {
        self.node.lock().on_exchange(digest, self.clock.now())
    }

    /// Returns the piece of a value at `offset` for a peer.
    pub fn piece(&self, key: &str, stamp: VersionStamp, offset: u32) -> Option<ValuePiece> {
        self.node.lock().piece(key, stamp, offset)
    }

    /// Handles a peer's response to a digest; `None` means that the exchange failed.
    pub fn on_exchange_result(
        &self,
        peer: SocketAddr,
        delta: Option<&IndexDelta>,
    ) -> Vec<CatalogueAction> {
        let mut node = self.node.lock();
        match delta {
            Some(delta) => node.on_delta(peer, delta, self.clock.now()),
            None => {
                node.on_exchange_failed(peer);
                Vec::new()
            }
        }
    }

    /// Handles a value fetched from a peer; `None` means that the fetch failed.
    pub fn on_fetch_result(
        &self,
        peer: SocketAddr,
        key: &SmolStr,
        stamp: VersionStamp,
        value: Option<&Bytes>,
    ) -> Vec<CatalogueAction> {
        let now = self.clock.now();
        let mut node = self.node.lock();
        match value {
            Some(bytes) => node.on_value(key, stamp, bytes, ValueSource::Peer(peer), now),
            None => {
                node.on_fetch_failed(key, stamp, now);
                Vec::new()
            }
        }
    }
}
