//! Question of a daemon that has just started to its peers, before it serves by what it read from the
//! store. A store that came back from an older copy has older routes and entries than its peers.

use crate::common::*;
use indexmap::IndexSet;
use std::net::IpAddr;

/// Most peers that are asked.
pub const MAX_ASKED_PEERS: usize = 3;

/// Longest time for which the peers are waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Progress of the question.
#[derive(Debug)]
pub struct StartCheck {
    unanswered: IndexSet<IpAddr>,
    requested: Option<IpAddr>,
    until: Instant,
}

impl StartCheck {
    /// Starts the question to these peers.
    pub fn new(peers: impl Iterator<Item = IpAddr>, now: Instant) -> Self {
        Self {
            unanswered: peers.take(MAX_ASKED_PEERS).collect(),
            requested: None,
            until: now + ANSWER_TIMEOUT,
        }
    }

    /// Records the handshake of a peer, which states the version of its configuration, 0 without
    /// one; returns whether to request the state of this peer.
    pub fn record_answer(&mut self, peer: IpAddr, config_version: u64) -> bool {
        if !self.unanswered.swap_remove(&peer) || config_version == 0 || self.requested.is_some() {
            return false;
        }
        self.requested = Some(peer);
        true
    }

    /// Returns whether the daemon serves by what it has: no peer has a state, or none sent it in time.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.until || (self.unanswered.is_empty() && self.requested.is_none())
    }
}
