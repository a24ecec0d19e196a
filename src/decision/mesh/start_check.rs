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
#[derive(Debug, Default)]
pub struct StartCheck {
    /// Version of the configuration in the handshake of each peer, 0 without one.
    answers: IndexMap<IpAddr, u64>,
    unanswered: IndexSet<IpAddr>,
    requested: Option<IpAddr>,
    /// End of the wait; `None` before the question.
    until: Option<Instant>,
}

impl StartCheck {
    /// Asks peers; returns the one whose state is requested, if one has answered already.
    pub fn ask(&mut self, peers: impl Iterator<Item = IpAddr>, now: Instant) -> Option<IpAddr> {
        self.until = Some(now + ANSWER_TIMEOUT);
        for peer in peers.take(MAX_ASKED_PEERS) {
            match self.answers.get(&peer) {
                Some(0) => {}
                Some(_) => self.requested = Some(peer),
                None => {
                    self.unanswered.insert(peer);
                }
            }
        }
        self.requested
    }

    /// Records the handshake of a peer, which states the version of its configuration; returns
    /// whether to request the state of this peer.
    pub fn record_answer(&mut self, peer: IpAddr, config_version: u64) -> bool {
        self.answers.insert(peer, config_version);
        let was_asked = self.unanswered.swap_remove(&peer);
        if !was_asked || config_version == 0 || self.requested.is_some() {
            return false;
        }
        self.requested = Some(peer);
        true
    }

    /// Returns whether the daemon serves by what it has: no peer has a state, or none sent it in time.
    pub fn is_over(&self, now: Instant) -> bool {
        let has_answers = self.unanswered.is_empty() && self.requested.is_none();
        self.until.is_some_and(|until| now >= until || has_answers)
    }
}
