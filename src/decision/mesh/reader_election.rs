//! Election of the daemons that read the store.
//!
//! Calls to the store are limited and paid for, so only a few daemons of each data centre read it
//! and pass store updates to their peers. Each daemon decides on its own from the status of its
//! peers: it starts to read if there are too few readers, and stops if enough daemons with smaller
//! ids read. A data centre that is cut off from the others has readers of its own.
//!
//! When a whole fleet starts, only the seeds read at once. The other daemons request the state of a
//! seed, and elect the readers of each data centre when their peers know them and have sent their
//! status.

use crate::{common::*, decision::mesh::store_position::StorePosition};

/// Number of daemons of each data centre that read the store. With two, store updates continue when
/// one fails; the readers of the other data centres are further reserves.
pub const STORE_READERS_PER_DATA_CENTRE: usize = 2;

/// Shortest time for which a daemon reads, so that its peers receive its status before it counts
/// them.
const MIN_READING_TIME: Duration = Duration::from_millis(1_500);

/// Delay before a daemon replaces a missing reader, for each other candidate with a smaller id, so
/// that not all of them start at once.
const START_DELAY_STEP: Duration = Duration::from_millis(100);

/// Time after its start for which a daemon with seeds waits for the store state of another daemon
/// before it reads the store itself.
const STATE_WAIT: Duration = Duration::from_millis(600);

/// Time after its start for which a daemon that has received its first store state waits until its
/// backend server is published. Peers send their status to published daemons only, and a whole fleet
/// needs up to 3 s to be published. Until then the seeds send it the changes.
const PUBLICATION_WAIT: Duration = Duration::from_secs(4);

/// Part of the peer timeout for which a published daemon that has started waits for the status of its
/// peers: one and a half of the intervals in which they send it.
const STATUS_WAIT_SHARE: f64 = 0.5;

/// Longest delay before a daemon replaces a missing reader.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// State of a daemon's reads from the store, as sent to its peers.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct StoreStatus {
    /// Data centre of the daemon.
    pub data_centre: SmolStr,
    /// Whether the daemon reads the store and got its last responses in time.
    pub is_reading: bool,
    /// Position of the store up to which the daemon has all entries.
    pub position: StorePosition,
    /// Version of the route configuration in force; 0 without one.
    pub config_version: u64,
    /// Whether the daemon tells the eras of the store apart. Earlier builds do not, and take what a
    /// restored store says for old. Appended to the message.
    #[serde(skip)]
    pub knows_eras: bool,
    /// Time since the store last responded to the daemon, if it reads the store and knows of no outage
    /// in which entries can have expired. Appended to the message.
    #[serde(skip)]
    pub contact_age: Option<Duration>,
}

#[derive(Debug)]
struct PeerState {
    is_reading: bool,
    last_seen: Instant,
}

/// Reader election from the view of one daemon.
#[derive(Debug)]
pub struct ReaderElection {
    daemon_id: u64,
    data_centre: SmolStr,
    peers: IndexMap<u64, PeerState>,
    reading_since: Option<Instant>,
    shortage_since: Option<Instant>,
    start_wait: Option<StartWait>,
}

/// What a daemon that has just started knows of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartProgress {
    /// It has no store state.
    WithoutState,
    /// It has a store state, in which its backend server is not published.
    Unpublished,
    /// Its backend server is published, so that peers send it their status.
    Published,
}

/// Wait of a daemon that has just started.
#[derive(Debug)]
struct StartWait {
    started: Instant,
    published_at: Option<Instant>,
}

impl ReaderElection {
    /// Creates the election state of a daemon that has just started. It reads until it has received
    /// the status of other readers.
    pub fn new(daemon_id: u64, data_centre: SmolStr, now: Instant) -> Self {
        Self {
            daemon_id,
            data_centre,
            peers: IndexMap::new(),
            reading_since: Some(now),
            shortage_since: None,
            start_wait: None,
        }
    }

    /// Creates the election state of a daemon that has just started and requests the store state of
    /// its seeds. It reads only if no state arrives in time.
    pub fn with_seeds(daemon_id: u64, data_centre: SmolStr, now: Instant) -> Self {
        Self {
            reading_since: None,
            start_wait: Some(StartWait {
                started: now,
                published_at: None,
            }),
            ..Self::new(daemon_id, data_centre, now)
        }
    }

    /// Records the status of a peer. Peers in other data centres do not count, and those of earlier
    /// builds do not count as readers.
    pub fn record_status(&mut self, peer_id: u64, status: &StoreStatus, now: Instant) {
        if status.data_centre == self.data_centre && peer_id != self.daemon_id {
            let peer = PeerState {
                is_reading: status.is_reading && status.knows_eras,
                last_seen: now,
            };
            self.peers.insert(peer_id, peer);
        }
    }

    /// Decides whether to read the store from now on. `progress` matters for a daemon that has just
    /// started. Peers last seen more than `peer_timeout` ago do not count.
    pub fn decide(
        &mut self,
        progress: StartProgress,
        peer_timeout: Duration,
        now: Instant,
    ) -> bool {
        self.peers
            .retain(|_, peer| peer.last_seen + peer_timeout > now);
        if self.is_waiting(progress, peer_timeout, now) {
            return false;
        }
        let readers = self.other_readers();
        if let Some(since) = self.reading_since {
            let is_smaller =
                |(id, peer): &(&u64, &PeerState)| peer.is_reading && **id < self.daemon_id;
            let smaller = self.peers.iter().filter(is_smaller).count();
            if smaller >= STORE_READERS_PER_DATA_CENTRE && since + MIN_READING_TIME <= now {
                self.reading_since = None;
                self.shortage_since = None;
            }
            return self.reading_since.is_some();
        }
        if readers >= STORE_READERS_PER_DATA_CENTRE {
            self.shortage_since = None;
            return false;
        }
        let since = *self.shortage_since.get_or_insert(now);
        let candidates = self.peers.iter();
        let candidates = candidates.filter(|(id, peer)| !peer.is_reading && **id < self.daemon_id);
        let delay = START_DELAY_STEP * u32::try_from(candidates.count()).unwrap_or(u32::MAX);
        if since + delay.min(MAX_START_DELAY) <= now {
            self.reading_since = Some(now);
            self.shortage_since = None;
        }
        self.reading_since.is_some()
    }

    /// Returns whether this daemon, which has just started, waits for the state of a seed, its
    /// publication or the status of its peers. Begins to read if no state arrived in time.
    fn is_waiting(
        &mut self,
        progress: StartProgress,
        peer_timeout: Duration,
        now: Instant,
    ) -> bool {
        let Some(wait) = &mut self.start_wait else {
            return false;
        };
        let until = match progress {
            StartProgress::WithoutState => wait.started + STATE_WAIT,
            StartProgress::Unpublished => wait.started + PUBLICATION_WAIT,
            StartProgress::Published => {
                let published_at = *wait.published_at.get_or_insert(now);
                published_at + peer_timeout.mul_f64(STATUS_WAIT_SHARE)
            }
        };
        if now < until {
            return true;
        }
        self.start_wait = None;
        if progress == StartProgress::WithoutState {
            self.reading_since = Some(now);
        }
        false
    }

    /// Returns whether this daemon reads the store.
    pub fn is_reading(&self) -> bool {
        self.reading_since.is_some()
    }

    /// Returns the number of peers in this data centre that read the store.
    pub fn other_readers(&self) -> usize {
        self.peers.values().filter(|peer| peer.is_reading).count()
    }

    /// Returns the number of peers in this data centre that have not timed out.
    pub fn live_peers(&self) -> usize {
        self.peers.len()
    }
}
