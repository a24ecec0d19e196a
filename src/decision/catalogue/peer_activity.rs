//! Peers that were heard, and the start peers that are still to answer.

use super::peer_view::MAX_PEERS;
use crate::common::*;

/// Time without any peer after which a daemon reads for itself.
const SILENCE: Duration = Duration::from_secs(10);

/// Longest wait of a fresh daemon for the start peers once one of them has answered.
const START_WAIT: Duration = Duration::from_secs(2);

/// What is known of the peers of exchanges.
#[derive(Debug)]
pub struct PeerActivity {
    heard: IndexMap<SocketAddr, (Instant, u64)>,
    last_heard: Instant,
    started_at: Instant,
    asked: Vec<SocketAddr>,
}

impl PeerActivity {
    /// Creates the record of a daemon that starts.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: IndexMap::new(),
            last_heard: now,
            started_at: now,
            asked: Vec::new(),
        }
    }

    /// Sets the start peers.
    pub fn ask(&mut self, peers: Vec<SocketAddr>) {
        self.asked = peers;
    }

    /// Returns whether a start peer can still answer.
    pub fn is_start_open(&self, now: Instant) -> bool {
        !self.asked.is_empty() && now < self.started_at + START_WAIT
    }

    /// Records a message of a peer with the hash of its index.
    pub fn note(&mut self, peer: SocketAddr, whole: u64, now: Instant) {
        self.last_heard = now;
        if self.heard.len() < MAX_PEERS {
            self.heard.insert(peer, (now, whole));
        }
    }

    /// Records that the exchange with a peer is over.
    pub fn finish(&mut self, peer: SocketAddr) {
        self.asked.retain(|asked| *asked != peer);
    }

    /// Records that a peer did not answer.
    pub fn fail(&mut self, peer: SocketAddr) {
        self.finish(peer);
        self.heard.swap_remove(&peer);
    }

    /// Forgets peers that were not heard for a long time.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, (at, _)| now < *at + SILENCE);
    }

    /// Returns whether no peer was heard for a long time.
    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.last_heard + SILENCE
    }

    /// Returns the peers heard, and those among them with the same index.
    pub fn count(&self, whole: u64) -> (usize, usize) {
        let agreeing = self.heard.values().filter(|(_, hash)| *hash == whole);
        (self.heard.len(), agreeing.count())
    }
}
