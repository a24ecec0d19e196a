//! Links to all other daemons.

use crate::{
    common::*,
    mesh::{
        fleet_state::FleetState,
        peer_frame::{HelloFrame, NewsFrame, PeerFrame},
        peer_link::{LinkObserver, PeerLink},
    },
};
use std::sync::Weak;

/// Most daemons that tell a daemon what it lacks. One is enough; the others cover losses.
const MAX_TELLERS: f64 = 6.0;

/// Links to all other daemons.
pub struct PeerLinks {
    state: Arc<FleetState>,
    links: Mutex<IndexMap<SocketAddr, LinkEntry>>,
    own: Weak<Self>,
}

struct LinkEntry {
    link: Arc<PeerLink>,
    is_reached: bool,
}

impl PeerLinks {
    /// Creates an empty set of links.
    pub fn new(state: Arc<FleetState>) -> Arc<Self> {
        Arc::new_cyclic(|own| Self {
            state,
            links: Mutex::default(),
            own: own.clone(),
        })
    }

    /// Returns the link to the daemon at an address.
    pub fn link(&self, address: SocketAddr) -> Option<Arc<PeerLink>> {
        let own = self.own.upgrade()?;
        let mut links = self.links.lock();
        let entry = links.entry(address).or_insert_with(|| LinkEntry {
            link: PeerLink::start(address, own),
            is_reached: true,
        });
        Some(Arc::clone(&entry.link))
    }

    /// Sends a message to all daemons.
    pub fn broadcast(&self, frame: &PeerFrame) {
        for address in self.state.peer_addresses() {
            if let Some(link) = self.link(address) {
                link.send(frame.clone());
            }
        }
    }

    /// Sends what was learned from the store to all daemons.
    pub fn tell(&self, news: NewsFrame) {
        if !news.items.is_empty() {
            self.broadcast(&PeerFrame::News(Arc::new(news)));
        }
    }

    /// Tries the daemons again that could not be reached, and drops links to daemons that are gone.
    pub fn probe(&self) {
        let members = self.state.peer_addresses();
        let mut links = self.links.lock();
        links.retain(|address, entry| entry.is_reached || members.contains(address));
        for entry in links.values().filter(|entry| !entry.is_reached) {
            entry.link.send(PeerFrame::Ping);
        }
    }

    /// Sends all that is known to a daemon that knows less, while the store is away. Otherwise it reads
    /// the store itself, or asks for what it lacks after the next load message.
    fn tell_all(&self, address: SocketAddr, hello: &HelloFrame) {
        let own = self.state.hello();
        let lacks_config = hello.config_version < own.config_version;
        let lacks_members = hello.members < own.members / 2;
        let share = MAX_TELLERS / f64::from(own.members.max(1));
        if (lacks_config || lacks_members)
            && self.state.is_store_unreachable()
            && rand::random::<f64>() < share
            && let Some(link) = self.link(address)
        {
            link.send(PeerFrame::News(Arc::new(self.state.all_items())));
        }
    }
}

impl LinkObserver for PeerLinks {
    fn reached(&self, address: SocketAddr, is_reached: bool) {
        if let Some(entry) = self.links.lock().get_mut(&address) {
            entry.is_reached = is_reached;
        }
        let mut choice = self.state.choice.lock();
        choice.set_reachable(address.ip(), is_reached);
    }

    fn greeted(&self, address: SocketAddr, hello: &HelloFrame) {
        let now = self.state.clock.now();
        let mut choice = self.state.choice.lock();
        choice.set_leaving(address.ip(), hello.is_leaving, now);
        drop(choice);
        self.tell_all(address, hello);
    }

    fn told(&self, news: &NewsFrame) {
        self.state.learn_news(news);
    }

    fn hello(&self) -> HelloFrame {
        self.state.hello()
    }

    fn now(&self) -> Instant {
        self.state.clock.now()
    }
}
