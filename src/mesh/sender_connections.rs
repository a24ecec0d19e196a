//! Connections that peers opened to this daemon.

use crate::{
    common::*,
    mesh::{
        fleet_state::OpenRequest,
        peer_frame::{HelloFrame, PeerFrame},
    },
};
use std::net::IpAddr;
use tokio::sync::{Notify, mpsc};

/// Message that waits to be written to a sender.
#[derive(Debug)]
pub struct QueuedFrame {
    /// Message.
    pub frame: PeerFrame,
    /// Keeps the request open until its result is written.
    pub open: Option<OpenRequest>,
}

impl From<PeerFrame> for QueuedFrame {
    fn from(frame: PeerFrame) -> Self {
        Self { frame, open: None }
    }
}

/// Queue of the messages that are sent over one connection.
pub type Outbox = mpsc::UnboundedSender<QueuedFrame>;

/// Current connection of each peer that sends requests to this daemon, by its daemon id.
#[derive(Debug, Default)]
pub struct SenderConnections {
    connections: Mutex<IndexMap<u64, SenderConnection>>,
}

/// Connection over which a sender receives its results.
#[derive(Debug)]
struct SenderConnection {
    /// Counter of the sender's connections.
    number: u32,
    ip: IpAddr,
    outbox: Outbox,
    /// Notified when the sender has opened a newer connection.
    replaced: Arc<Notify>,
}

impl SenderConnections {
    /// Registers the connection of a sender; returns false if the sender has a newer one. An older
    /// one, which may be silent and would stay open for good, is notified through `replaced`.
    pub fn register(&self, hello: &HelloFrame, outbox: &Outbox, replaced: &Arc<Notify>) -> bool {
        let mut connections = self.connections.lock();
        let current = connections.get(&hello.daemon_id);
        if current.is_some_and(|current| current.number > hello.connection_number) {
            return false;
        }
        let connection = SenderConnection {
            number: hello.connection_number,
            ip: hello.ip,
            outbox: outbox.clone(),
            replaced: Arc::clone(replaced),
        };
        let older = connections.insert(hello.daemon_id, connection);
        if let Some(older) = older.filter(|older| !older.outbox.same_channel(outbox)) {
            older.replaced.notify_one();
        }
        true
    }

    /// Removes a connection; returns false if the sender has registered another one.
    pub fn remove(&self, sender: u64, outbox: &Outbox) -> bool {
        let mut connections = self.connections.lock();
        let is_current = connections
            .get(&sender)
            .is_some_and(|current| current.outbox.same_channel(outbox));
        if is_current {
            connections.swap_remove(&sender);
        }
        is_current
    }

    /// Sends a message to a sender, if it is connected.
    pub fn send(&self, sender: u64, frame: impl Into<QueuedFrame>) {
        if let Some(connection) = self.connections.lock().get(&sender) {
            let _ = connection.outbox.send(frame.into());
        }
    }

    /// Sends a message to each connected sender whose address passes the filter.
    pub fn send_where(&self, is_receiver: impl Fn(IpAddr) -> bool, frame: &PeerFrame) {
        let connections = self.connections.lock();
        let receivers = connections.values().filter(|sender| is_receiver(sender.ip));
        for receiver in receivers {
            let _ = receiver.outbox.send(frame.clone().into());
        }
    }
}
