//! Connection to the local backend server that carries no attempt twice.

use crate::http1::client_connection::ClientConnection;
use xxhash_rust::xxh3::xxh3_64;

/// Most attempts without a final result that one connection carries. A server that refuses every
/// request still gets 64 of them over each connection.
const MAX_UNSETTLED_ATTEMPTS: usize = 64;

/// Connection to the local backend server, with the attempts whose requests may be sent again.
///
/// A server may send a second copy of a response late, where the next one is expected. Only the
/// identifier of the attempt tells the two apart, so a connection carries each attempt once.
#[derive(Debug)]
pub struct BackendConnection {
    /// Connection without pipelining.
    pub client: ClientConnection,
    /// Hashes of the attempts without a final result. If two attempts have the same hash, one of them
    /// takes another connection.
    unsettled: Vec<u64>,
}

impl BackendConnection {
    /// Returns whether the request of an attempt may be sent over this connection.
    pub fn accepts(&self, attempt_id: &[u8]) -> bool {
        !self.unsettled.contains(&xxh3_64(attempt_id))
    }

    /// Returns whether the connection has carried as many unsettled attempts as it may.
    pub fn is_exhausted(&self) -> bool {
        self.unsettled.len() >= MAX_UNSETTLED_ATTEMPTS
    }

    /// Records that an attempt ended without a final result, so that its request may be sent again.
    pub fn record_unsettled(&mut self, attempt_id: &[u8]) {
        self.unsettled.push(xxh3_64(attempt_id));
    }
}

impl From<ClientConnection> for BackendConnection {
    fn from(client: ClientConnection) -> Self {
        Self {
            client,
            unsettled: Vec::new(),
        }
    }
}
