//! When peers were last seen, and which start peers have not responded yet.

use super::peer_view::MAX_PEERS;
use crate::common::*;

/// Time without a message after which a peer is dropped. After the same time without a message from
/// any peer, the daemon reads the platform more often.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// Max wait of a starting daemon for the responses of its start peers if its index is not empty.
const MAX_START_WAIT: Duration = Duration::from_secs(2);

/// Peers from which messages were received, each with the root hash of its index.
#[derive(Debug)]
pub struct PeerActivity {
    last_seen: IndexMap<SocketAddr, (Instant, u64)>,
    any_last_seen: Instant,
    started_at: Instant,
    pending_start_peers: Vec<SocketAddr>,
}

impl PeerActivity {
    /// Creates the activity record of a daemon that starts.
    pub fn new(now: Instant) -> Self {
        Self {
            last_seen: IndexMap::new(),
            any_last_seen: now,
            started_at: now,
            pending_start_peers: Vec::new(),
        }
    }

    /// Sets the seed peers to which the daemon sends its first digests.
    pub fn set_start_peers(&mut self, peers: Vec<SocketAddr>) {
        self.pending_start_peers = peers;
    }

    /// Returns whether the daemon still waits for the response of a start peer.
    pub fn is_awaiting_start_peers(&self, now: Instant) -> bool {
        !self.pending_start_peers.is_empty() && now < self.started_at + MAX_START_WAIT
    }

    /// Records a message received from a peer with the root hash of its index.
    pub fn record_message(&mut self, peer: SocketAddr, root_hash: u64, now: Instant) {
        self.any_last_seen = now;
        if self.last_seen.len() < MAX_PEERS {
            self.last_seen.insert(peer, (now, root_hash));
        }
    }

    /// Records that the exchange with a peer is over.
    pub fn complete_exchange(&mut self, peer: SocketAddr) {
        self.pending_start_peers.retain(|pending| *pending != peer);
    }

    /// Records that a peer did not respond.
    pub fn record_failure(&mut self, peer: SocketAddr) {
        self.complete_exchange(peer);
        self.last_seen.swap_remove(&peer);
    }

    /// Drops the peers that were last seen longer ago than the peer timeout.
    pub fn expire(&mut self, now: Instant) {
        self.last_seen.retain(|_, (at, _)| now < *at + PEER_TIMEOUT);
    }

    /// Returns whether no message was received from any peer within the peer timeout.
    pub fn is_isolated(&self, now: Instant) -> bool {
        now >= self.any_last_seen + PEER_TIMEOUT
    }

    /// Returns the number of peers, and of those among them with the same index.
    pub fn count_seen(&self, root_hash: u64) -> (usize, usize) {
        let same_index = self
            .last_seen
            .values()
            .filter(|(_, hash)| *hash == root_hash);
        (self.last_seen.len(), same_index.count())
    }
}
