//! Links to all peers.

use crate::{
    common::*,
    mesh::{
        fleet_state::FleetState,
        peer_frame::{HelloFrame, LoadFrame, PeerFrame, StoreUpdateFrame},
        peer_link::{LinkObserver, PeerLink},
        sender_connections::SenderConnections,
    },
};
use indexmap::IndexSet;
use std::{net::IpAddr, sync::Weak};

/// Average number of daemons that send missing store values to the same peer. One is enough; the
/// others cover lost messages.
const TARGET_STATE_SENDERS: f64 = 6.0;

/// Most peers that wait for the first store state of this daemon. The full state of a large fleet has
/// hundreds of kilobytes; further peers read the store.
const MAX_AWAITING_PEERS: usize = 256;

/// Links to all peers.
pub struct PeerLinks {
    /// Connections that peers opened to this daemon.
    pub senders: SenderConnections,
    state: Arc<FleetState>,
    links: Mutex<IndexMap<SocketAddr, LinkEntry>>,
    /// Ids of the peers that requested the store state before this daemon had it.
    awaiting_state: Mutex<IndexSet<u64>>,
    weak_self: Weak<Self>,
}

struct LinkEntry {
    link: Arc<PeerLink>,
    is_reachable: bool,
}

impl PeerLinks {
    /// Creates an empty set of links.
    pub fn new(state: Arc<FleetState>) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            senders: SenderConnections::default(),
            state,
            links: Mutex::default(),
            awaiting_state: Mutex::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns the link to the daemon at an address, and creates it if there is none.
    pub fn link(&self, address: SocketAddr) -> Option<Arc<PeerLink>> {
        let observer = self.weak_self.upgrade()?;
        let mut links = self.links.lock();
        let entry = links.entry(address).or_insert_with(|| LinkEntry {
            link: PeerLink::start(address, observer, Arc::clone(&self.state.tasks)),
            is_reachable: true,
        });
        Some(Arc::clone(&entry.link))
    }

    /// Sends a message to all peers.
    pub fn broadcast(&self, frame: &PeerFrame) {
        for address in self.state.peer_addresses() {
            if let Some(link) = self.link(address) {
                link.send(frame.clone());
            }
        }
    }

    /// Sends a store update to all peers, unless it is empty. Daemons that are no members, for
    /// example because their backend server crashed, get it over the connections that they opened.
    pub fn broadcast_update(&self, update: StoreUpdateFrame) {
        if update.items.is_empty() {
            return;
        }
        let frame = PeerFrame::StoreUpdate(Arc::new(update));
        self.broadcast(&frame);
        let members = self.state.peer_addresses();
        let is_member = |ip| members.binary_search_by_key(&ip, SocketAddr::ip).is_ok();
        self.senders.send_where(|ip| !is_member(ip), &frame);
    }

    /// Returns the full store state for a peer that requested it. Without one, the peer gets it as
    /// soon as this daemon has read it, unless too many peers wait.
    pub fn state_for(&self, sender: u64) -> Option<PeerFrame> {
        let mut awaiting = self.awaiting_state.lock();
        if self.state.has_entries() && !self.state.is_starting() {
            return Some(PeerFrame::StoreUpdate(Arc::new(
                self.state.full_store_state(),
            )));
        }
        if awaiting.len() < MAX_AWAITING_PEERS {
            awaiting.insert(sender);
        }
        None
    }

    /// Sends the full store state to the peers that requested it before this daemon had it.
    pub fn send_awaited_state(&self) {
        let awaiting = std::mem::take(&mut *self.awaiting_state.lock());
        if awaiting.is_empty() {
            return;
        }
        log::info!(peers = awaiting.len() as u64; "store: Sending the first state to peers.");
        let frame = PeerFrame::StoreUpdate(Arc::new(self.state.full_store_state()));
        for sender in awaiting {
            self.senders.send(sender, frame.clone());
        }
    }

    /// Applies the load of the daemon at an address, and requests its store state if this daemon
    /// missed updates.
    pub fn receive_load(&self, ip: IpAddr, load: &LoadFrame) {
        let needs_full_sync = self.state.apply_load_from_peer(load);
        let now = self.state.clock.now();
        self.state.selector.lock().set_last_seen(ip, now);
        if !needs_full_sync {
            return;
        }
        let address = SocketAddr::new(ip, self.state.settings.peer.port());
        log::info!("store: Missed updates that {address} has; requesting its full store state.");
        if let Some(link) = self.link(address) {
            link.send(PeerFrame::FetchStoreState);
        }
    }

    /// Tries to connect to unreachable peers again, and removes the links to those that are no
    /// longer members.
    pub fn probe_unreachable(&self) {
        let members = self.state.peer_addresses();
        let mut links = self.links.lock();
        links.retain(|address, entry| entry.is_reachable || members.contains(address));
        for entry in links.values().filter(|entry| !entry.is_reachable) {
            entry.link.send(PeerFrame::Ping);
        }
    }

    /// Sends the full store state to a peer that lacks parts of it, while the store is unreachable.
    /// Otherwise the peer reads the store itself, or requests the state after the next load
    /// message.
    fn send_missing_state(&self, address: SocketAddr, hello: &HelloFrame) {
        let local_hello = self.state.hello();
        let lacks_config = hello.config_version < local_hello.config_version;
        let lacks_members = hello.member_count < local_hello.member_count / 2;
        let share = TARGET_STATE_SENDERS / f64::from(local_hello.member_count.max(1));
        if (lacks_config || lacks_members)
            && self.state.is_store_unreachable()
            && rand::random::<f64>() < share
            && let Some(link) = self.link(address)
        {
            link.send(PeerFrame::StoreUpdate(Arc::new(
                self.state.full_store_state(),
            )));
        }
    }
}

impl LinkObserver for PeerLinks {
    fn on_connection_attempt(&self, address: SocketAddr, is_reachable: bool) {
        if let Some(entry) = self.links.lock().get_mut(&address) {
            entry.is_reachable = is_reachable;
        }
        let mut selector = self.state.selector.lock();
        selector.set_reachable(address.ip(), is_reachable);
    }

    fn on_hello(&self, address: SocketAddr, hello: &HelloFrame) {
        let now = self.state.clock.now();
        let mut selector = self.state.selector.lock();
        selector.set_leaving(address.ip(), hello.is_leaving, now);
        selector.record_peer_notes(address.ip(), &hello.notes);
        drop(selector);
        self.send_missing_state(address, hello);
        if self.state.record_handshake(address.ip(), hello)
            && let Some(link) = self.link(address)
        {
            link.send(PeerFrame::FetchStoreState);
        }
        let suspects = self.state.suspects.known_suspects();
        if !suspects.is_empty()
            && let Some(link) = self.link(address)
        {
            link.send(PeerFrame::Suspects(Arc::new(suspects)));
        }
    }

    fn on_store_update(&self, address: SocketAddr, update: &StoreUpdateFrame) {
        self.state.apply_update_from_peer(address.ip(), update);
    }

    fn on_silence(&self, _: SocketAddr) {
        self.state.metrics.count_silent_link();
    }

    fn on_load(&self, address: SocketAddr, load: &LoadFrame) {
        self.receive_load(address.ip(), load);
    }

    fn hello(&self, address: SocketAddr) -> HelloFrame {
        HelloFrame {
            notes: self.state.selector.lock().server_notes(address.ip()),
            ..self.state.hello()
        }
    }

    fn now(&self) -> Instant {
        self.state.clock.now()
    }
}
