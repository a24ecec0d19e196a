//! Start of a daemon, which asks its peers for their state before it serves.

use super::FleetState;
use crate::{decision::mesh::start_check::StartCheck, mesh::peer_frame::HelloFrame};
use std::{net::IpAddr, sync::atomic::Ordering};

impl FleetState {
    /// Holds requests of callers back until [`Self::finish_start`].
    pub fn begin_start(&self) {
        *self.start_check.lock() = Some(StartCheck::default());
        self.is_starting.store(true, Ordering::Relaxed);
    }

    /// Returns whether this daemon has not yet asked its peers for their state.
    pub fn is_starting(&self) -> bool {
        self.is_starting.load(Ordering::Relaxed)
    }

    /// Starts the question to peers, whose handshakes answer it; returns the peer whose state is
    /// requested, if one has answered already.
    pub fn ask_peers(&self, peers: impl Iterator<Item = IpAddr>) -> Option<IpAddr> {
        let mut check = self.start_check.lock();
        check.as_mut()?.ask(peers, self.clock.now())
    }

    /// Returns whether a peer sent its state, or none has one or sends it in time.
    pub fn has_asked_peers(&self) -> bool {
        let check = self.start_check.lock();
        let now = self.clock.now();
        self.has_peer_state.load(Ordering::Relaxed)
            || check.as_ref().is_none_or(|check| check.is_over(now))
    }

    /// Records the handshake of a peer; returns whether to request its state.
    pub fn record_handshake(&self, peer: IpAddr, hello: &HelloFrame) -> bool {
        let mut check = self.start_check.lock();
        let check = check.as_mut();
        check.is_some_and(|check| check.record_answer(peer, hello.config_version))
    }

    /// Serves from now on by the state that this daemon has.
    pub fn finish_start(&self) {
        *self.start_check.lock() = None;
        if !self.is_starting.swap(false, Ordering::Relaxed) {
            return;
        }
        let position = self.update_gap.lock().position();
        let source = self.config_source.lock().map(|source| source.to_string());
        log::info!(
            config = self.routes().map(|routes| routes.version().0),
            source = source,
            position:% = position;
            "start: Serving by this configuration."
        );
    }
}
