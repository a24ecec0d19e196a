//! Reader election, and how the other daemons receive store updates.

use crate::fleet_view::{entry, position};
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        fleet_view::{FleetView, ServingState, VersionedEntry},
        reader_election::{
            ReaderElection, STORE_READERS_PER_DATA_CENTRE, StartProgress, StoreStatus,
        },
        store_outage::EXPIRY_GRACE,
        store_position::StorePosition,
        update_gap::UpdateGap,
    },
};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(200);
/// Time between the publications of two daemons of a fleet that starts.
const PUBLICATION_STEP: Duration = Duration::from_millis(100);
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Daemons that exchange their store status at every step.
struct Fleet {
    clock: ManualClock,
    daemons: Vec<Daemon>,
}

struct Daemon {
    id: u64,
    data_centre: &'static str,
    election: ReaderElection,
    is_up: bool,
    /// Whether the store responds to this daemon.
    has_store: bool,
    /// Whether the daemon has read the store or received its state.
    has_state: bool,
    /// Time from which the daemon is published, so that its peers send it their status.
    published_at: Instant,
    /// Whether the daemon was a reader at any step.
    has_read: bool,
}

impl Fleet {
    fn start(data_centres: &[&'static str], daemons_each: u64) -> Self {
        let clock = ManualClock::new();
        let mut daemons = Vec::new();
        for number in 0..daemons_each * data_centres.len() as u64 {
            let data_centre = data_centres[number as usize % data_centres.len()];
            daemons.push(Daemon {
                id: number + 1,
                data_centre,
                election: ReaderElection::new(number + 1, data_centre.into(), clock.now()),
                is_up: true,
                has_store: true,
                has_state: true,
                published_at: clock.now(),
                has_read: false,
            });
        }
        Self { clock, daemons }
    }

    /// Starts a fleet in which the daemons request the state of the first ones, the seeds.
    fn start_with_seeds(
        data_centres: &[&'static str],
        daemons_each: u64,
        seeds: usize,
        is_seed_up: bool,
    ) -> Self {
        let mut fleet = Self::start(data_centres, daemons_each);
        for (number, daemon) in fleet.daemons.iter_mut().enumerate() {
            daemon.is_up = number >= seeds || is_seed_up;
            daemon.has_state = is_seed_up;
            daemon.published_at = fleet.clock.now() + PUBLICATION_STEP * number as u32;
            if number >= seeds {
                let data_centre = daemon.data_centre.into();
                daemon.election =
                    ReaderElection::with_seeds(daemon.id, data_centre, fleet.clock.now());
            }
        }
        fleet
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.clock.advance(STEP);
            let now = self.clock.now();
            let up = self.daemons.iter().filter(|daemon| daemon.is_up);
            let sent: Vec<(u64, StoreStatus)> = up
                .map(|daemon| {
                    let status = StoreStatus {
                        data_centre: daemon.data_centre.into(),
                        is_reading: daemon.election.is_reading() && daemon.has_store,
                        position: StorePosition::default(),
                        config_version: 0,
                        knows_eras: true,
                        contact_age: None,
                    };
                    (daemon.id, status)
                })
                .collect();
            for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_up) {
                let sent = sent.iter().filter(|_| daemon.published_at <= now);
                for (id, status) in sent {
                    daemon.election.record_status(*id, status, now);
                }
                let progress = match (daemon.has_state, daemon.published_at <= now) {
                    (false, _) => StartProgress::WithoutState,
                    (true, false) => StartProgress::Unpublished,
                    (true, true) => StartProgress::Published,
                };
                daemon.election.decide(progress, PEER_TIMEOUT, now);
                daemon.has_read |= daemon.election.is_reading();
            }
        }
    }

    /// Returns the indices of the daemons of a data centre that read the store and get responses.
    fn readers(&self, data_centre: &str) -> Vec<usize> {
        let daemons = self.daemons.iter().enumerate();
        let reading = daemons.filter(|(_, daemon)| {
            let is_up = daemon.is_up && daemon.has_store;
            daemon.data_centre == data_centre && is_up && daemon.election.is_reading()
        });
        reading.map(|(number, _)| number).collect()
    }
}

/// Guards against a fleet in which every daemon reads the store, and against one in which none
/// does.
#[test]
fn few_daemons_of_each_data_centre_read() {
    let mut fleet = Fleet::start(&["a", "b", "c"], 10);
    assert_eq!(fleet.readers("a").len(), 10);
    fleet.run(Duration::from_secs(5));
    for data_centre in ["a", "b", "c"] {
        assert_eq!(
            fleet.readers(data_centre).len(),
            STORE_READERS_PER_DATA_CENTRE
        );
    }
}

/// Guards against a fleet that starts at once and in which each daemon reads the store.
#[test]
fn few_daemons_read_at_the_start_of_a_fleet() {
    let mut fleet = Fleet::start_with_seeds(&["a", "b", "c"], 10, 3, true);
    fleet.run(Duration::from_secs(10));
    for data_centre in ["a", "b", "c"] {
        assert_eq!(
            fleet.readers(data_centre).len(),
            STORE_READERS_PER_DATA_CENTRE
        );
    }
    let has_read = fleet.daemons.iter().filter(|daemon| daemon.has_read);
    let count = has_read.count();
    // The seeds, the elected readers, and one more in each data centre whose status crossed theirs.
    assert!(
        count <= 3 + 3 * (STORE_READERS_PER_DATA_CENTRE + 1),
        "{count}"
    );
}

/// Guards against daemons that wait for the state of seeds that are down.
#[test]
fn daemons_read_if_no_seed_responds() {
    let mut fleet = Fleet::start_with_seeds(&["a"], 10, 3, false);
    fleet.run(Duration::from_millis(600));
    let readers = fleet.readers("a");
    assert_eq!(readers.len(), 7, "{readers:?}");
}

/// Guards against a data centre without readers after its readers have stopped.
#[test]
fn stopped_readers_are_replaced() {
    let mut fleet = Fleet::start(&["a"], 10);
    fleet.run(Duration::from_secs(5));
    for number in fleet.readers("a") {
        fleet.daemons[number].is_up = false;
    }
    fleet.run(PEER_TIMEOUT + STEP * 5);
    assert!(fleet.readers("a").len() >= STORE_READERS_PER_DATA_CENTRE);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.readers("a").len(), STORE_READERS_PER_DATA_CENTRE);
}

/// Guards against readers that the store refuses and that still keep their peers from reading.
#[test]
fn readers_refused_by_the_store_are_replaced() {
    let mut fleet = Fleet::start(&["a"], 10);
    fleet.run(Duration::from_secs(5));
    for number in fleet.readers("a") {
        fleet.daemons[number].has_store = false;
    }
    fleet.run(STEP * 10);
    assert!(fleet.readers("a").len() >= STORE_READERS_PER_DATA_CENTRE);
}

/// Guards against a daemon that does not read although it receives no messages from peers, such as
/// in a data centre that is cut off.
#[test]
fn daemon_without_peers_reads() {
    let mut fleet = Fleet::start(&["a"], 10);
    fleet.run(Duration::from_secs(5));
    let last = fleet.daemons.len() - 1;
    for daemon in &mut fleet.daemons[..last] {
        daemon.is_up = false;
    }
    fleet.run(PEER_TIMEOUT + STEP * 5);
    assert_eq!(fleet.readers("a"), [last]);
}

/// Guards against a daemon that does not read the store because of readers of an earlier build, which
/// take what a restored store says for old.
#[test]
fn readers_of_an_earlier_build_do_not_count() {
    let now = ManualClock::new().now();
    let mut election = ReaderElection::new(9, "a".into(), now);
    let mut status = StoreStatus {
        data_centre: "a".into(),
        is_reading: true,
        position: position(7),
        config_version: 1,
        knows_eras: false,
        contact_age: None,
    };
    for (knows_eras, expected) in [(false, 0), (true, 2)] {
        status.knows_eras = knows_eras;
        (1..=2).for_each(|peer| election.record_status(peer, &status, now));
        assert_eq!(election.other_readers(), expected);
    }
}

/// Guards against updates that leave a daemon without entries, or with removed ones, and still count as
/// complete: from one era to the next, and from a list of a daemon that was behind.
#[test]
fn updates_that_close_no_gap_do_not_count() {
    let restored = |revision| StorePosition { era: 1, revision };
    let mut gap = UpdateGap::default();
    gap.mark_complete(position(10));
    gap.record_range(position(10), restored(4));
    assert_eq!(gap.position(), position(10));
    let mut gap = UpdateGap::default();
    gap.mark_complete(position(10));
    gap.record_list(position(10), position(11));
    assert_eq!(gap.position(), position(11));
    gap.record_list(position(8), position(12));
    assert_eq!(gap.position(), position(11));
    gap.mark_complete(position(12));
    assert_eq!(gap.position(), position(12));
    gap.record_range(position(13), position(14));
    gap.record_list(position(12), position(15));
    assert_eq!(gap.position(), position(12));
    gap.mark_complete(restored(4));
    gap.record_list(restored(4), restored(6));
    assert_eq!(gap.position(), restored(4));
}

/// Guards against store updates that are lost on the way to a daemon that does not read the store.
#[test]
fn lost_updates_are_requested() {
    let clock = ManualClock::new();
    let mut gap = UpdateGap::default();
    gap.mark_complete(position(10));
    gap.record_range(position(10), position(12));
    assert_eq!(gap.position(), position(12));
    // The updates up to 14 were lost, so the update from 14 to 15 does not close the gap.
    gap.record_range(position(14), position(15));
    assert_eq!(gap.position(), position(12));
    assert!(!gap.needs_full_sync(position(15), false, clock.now()));
    clock.advance(Duration::from_millis(300));
    assert!(gap.needs_full_sync(position(15), false, clock.now()));
    assert!(
        !gap.needs_full_sync(position(15), false, clock.now()),
        "requested twice"
    );
    gap.mark_complete(position(15));
    assert!(!gap.needs_full_sync(position(15), false, clock.now()));
}

/// Guards against a daemon that starts while the store is unreachable and waits for updates that no
/// peer sends.
#[test]
fn daemon_without_entries_requests_them_at_once() {
    let now = ManualClock::new().now();
    let mut gap = UpdateGap::default();
    assert!(gap.needs_full_sync(position(15), true, now));
    assert!(
        !gap.needs_full_sync(position(15), true, now),
        "requested twice"
    );
}

/// Guards against requests for updates that a peer has just sent, and against a configuration that
/// never arrives.
#[test]
fn updates_in_transit_are_not_requested() {
    let clock = ManualClock::new();
    let mut gap = UpdateGap::default();
    gap.mark_complete(position(10));
    assert!(!gap.needs_full_sync(position(11), false, clock.now()));
    gap.record_range(position(10), position(11));
    clock.advance(Duration::from_secs(1));
    assert!(!gap.needs_full_sync(position(11), false, clock.now()));
    assert!(!gap.needs_full_sync(position(11), true, clock.now()));
    clock.advance(Duration::from_millis(300));
    assert!(gap.needs_full_sync(position(11), true, clock.now()));
}

/// Guards against requests to a server that has announced its leaving, from a daemon that missed the
/// announcement and does not notice: a peer that lacks even more sends its load, too.
#[test]
fn gap_is_detected_beside_a_peer_that_lacks_more() {
    let clock = ManualClock::new();
    let mut gap = UpdateGap::default();
    gap.mark_complete(position(10));
    let is_detected = (0..20).any(|_| {
        clock.advance(Duration::from_millis(100));
        let is_detected = gap.needs_full_sync(position(11), false, clock.now());
        gap.needs_full_sync(position(3), false, clock.now());
        is_detected
    });
    assert!(is_detected, "no request within 2 s");
}

fn ready(id: &str, revision: u64) -> VersionedEntry {
    VersionedEntry {
        id: id.into(),
        position: position(revision),
        value: Some(entry("s", "127.0.0.1:80", ServingState::Ready)),
    }
}

fn removed(id: &str, revision: u64) -> VersionedEntry {
    VersionedEntry {
        id: id.into(),
        position: position(revision),
        value: None,
    }
}

/// Guards against requests to instances that have left, from a daemon that cannot read the store
/// but has received the removal from a peer.
#[test]
fn removal_from_a_peer_does_not_wait_for_the_store() {
    let now = ManualClock::new().now();
    let mut view = FleetView::new();
    view.apply(&ready("a", 1), now);
    view.mark_store_unreachable(now);
    view.apply_from_peer(&removed("a", 2), None, now);
    view.drop_removed(now);
    assert!(view.is_empty());
}

/// Guards against the loss of all members because of a list from a peer that has just reached the
/// store again, while the entries that expired during the outage are still missing.
#[test]
fn expiry_from_a_peer_waits_for_the_entries_to_be_renewed() {
    let clock = ManualClock::new();
    let mut view = FleetView::new();
    view.apply(&ready("a", 1), clock.now());
    view.apply(&ready("b", 2), clock.now());
    let recovered_at = Some(clock.now());
    let removed = view.reconcile_from_peer(&[], position(5), recovered_at, clock.now());
    assert_eq!(removed.len(), 2);
    view.drop_removed(clock.now());
    assert_eq!(view.members().count(), 2);
    view.apply_from_peer(&ready("a", 6), recovered_at, clock.now());
    clock.advance(EXPIRY_GRACE);
    view.drop_removed(clock.now());
    let ids: Vec<&str> = view.members().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["a"]);
}
