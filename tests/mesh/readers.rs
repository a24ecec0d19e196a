//! Which daemons read the store, and how the others learn of changes.

use crate::members::entry;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        fleet_view::{EntryItem, FleetView, LAPSE_GRACE, ServingState},
        news_gap::NewsGap,
        reader_rota::{READERS, ReaderRota, StoreContact},
    },
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(200);
const SILENCE: Duration = Duration::from_millis(1_200);

/// Daemons that tell each other every step whether they read the store.
struct Fleet {
    clock: ManualClock,
    daemons: Vec<Daemon>,
}

struct Daemon {
    id: u64,
    data_centre: &'static str,
    rota: ReaderRota,
    is_up: bool,
    /// Whether the store answers this daemon.
    is_answered: bool,
}

impl Fleet {
    fn start(data_centres: &[&'static str], each: u64) -> Self {
        let clock = ManualClock::new();
        let mut daemons = Vec::new();
        for number in 0..each * data_centres.len() as u64 {
            let data_centre = data_centres[number as usize % data_centres.len()];
            daemons.push(Daemon {
                id: number + 1,
                data_centre,
                rota: ReaderRota::new(number + 1, data_centre.into(), clock.now()),
                is_up: true,
                is_answered: true,
            });
        }
        Self { clock, daemons }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.clock.advance(STEP);
            let now = self.clock.now();
            let up = self.daemons.iter().filter(|daemon| daemon.is_up);
            let told: Vec<(u64, StoreContact)> = up
                .map(|daemon| {
                    let contact = StoreContact {
                        data_centre: daemon.data_centre.into(),
                        is_reading: daemon.rota.is_reading() && daemon.is_answered,
                        entries_revision: 0,
                        config_version: 0,
                    };
                    (daemon.id, contact)
                })
                .collect();
            for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_up) {
                for (id, contact) in &told {
                    daemon.rota.learn(*id, contact, now);
                }
                daemon.rota.decide(SILENCE, now);
            }
        }
    }

    /// Returns the daemons of a data centre that read the store and are answered.
    fn readers(&self, data_centre: &str) -> Vec<usize> {
        let daemons = self.daemons.iter().enumerate();
        let reading = daemons.filter(|(_, daemon)| {
            let is_up = daemon.is_up && daemon.is_answered;
            daemon.data_centre == data_centre && is_up && daemon.rota.is_reading()
        });
        reading.map(|(number, _)| number).collect()
    }
}

/// Guards against a fleet in which each daemon reads the store, and against one in which none does.
#[test]
fn few_daemons_of_each_data_centre_read() {
    let mut fleet = Fleet::start(&["a", "b", "c"], 10);
    assert_eq!(fleet.readers("a").len(), 10);
    fleet.run(Duration::from_secs(5));
    for data_centre in ["a", "b", "c"] {
        assert_eq!(fleet.readers(data_centre).len(), READERS);
    }
}

/// Guards against a data centre without readers after those that read have ended.
#[test]
fn readers_that_end_are_replaced() {
    let mut fleet = Fleet::start(&["a"], 10);
    fleet.run(Duration::from_secs(5));
    for number in fleet.readers("a") {
        fleet.daemons[number].is_up = false;
    }
    fleet.run(SILENCE + STEP * 5);
    assert!(fleet.readers("a").len() >= READERS);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.readers("a").len(), READERS);
}

/// Guards against daemons that the store turns away and that keep the others from reading.
#[test]
fn readers_that_the_store_turns_away_are_replaced() {
    let mut fleet = Fleet::start(&["a"], 10);
    fleet.run(Duration::from_secs(5));
    for number in fleet.readers("a") {
        fleet.daemons[number].is_answered = false;
    }
    fleet.run(STEP * 10);
    assert!(fleet.readers("a").len() >= READERS);
}

/// Guards against a daemon that does not read although it hears nobody, as in a cut-off data centre.
#[test]
fn daemon_that_hears_nobody_reads() {
    let mut fleet = Fleet::start(&["a"], 10);
    fleet.run(Duration::from_secs(5));
    let last = fleet.daemons.len() - 1;
    for daemon in &mut fleet.daemons[..last] {
        daemon.is_up = false;
    }
    fleet.run(SILENCE + STEP * 5);
    assert_eq!(fleet.readers("a"), [last]);
}

/// Guards against changes that are lost on the way to a daemon that does not read the store.
#[test]
fn lost_changes_are_asked_for() {
    let clock = ManualClock::new();
    let mut gap = NewsGap::default();
    gap.complete(10);
    gap.extend(10, 12);
    assert_eq!(gap.revision(), 12);
    // The changes up to 14 were lost, so that those up to 15 do not close the gap.
    gap.extend(14, 15);
    assert_eq!(gap.revision(), 12);
    assert!(!gap.needs_all(15, false, clock.now()));
    clock.advance(Duration::from_millis(300));
    assert!(gap.needs_all(15, false, clock.now()));
    assert!(!gap.needs_all(15, false, clock.now()), "asked twice");
    gap.complete(15);
    assert!(!gap.needs_all(15, false, clock.now()));
}

/// Guards against a daemon that starts while the store is away and waits for changes that nobody tells.
#[test]
fn daemon_that_knows_nothing_asks_at_once() {
    let now = ManualClock::new().now();
    let mut gap = NewsGap::default();
    assert!(gap.needs_all(15, true, now));
    assert!(!gap.needs_all(15, true, now), "asked twice");
}

/// Guards against questions for changes that another daemon has just told, and against a configuration
/// that never arrives.
#[test]
fn changes_that_are_under_way_are_not_asked_for() {
    let clock = ManualClock::new();
    let mut gap = NewsGap::default();
    gap.complete(10);
    assert!(!gap.needs_all(11, false, clock.now()));
    gap.extend(10, 11);
    clock.advance(Duration::from_secs(1));
    assert!(!gap.needs_all(11, false, clock.now()));
    assert!(!gap.needs_all(11, true, clock.now()));
    clock.advance(Duration::from_millis(300));
    assert!(gap.needs_all(11, true, clock.now()));
}

fn ready(id: &str, revision: u64) -> EntryItem {
    EntryItem {
        id: id.into(),
        revision,
        entry: Some(entry("s", "127.0.0.1:80", ServingState::Ready)),
    }
}

fn removed(id: &str, revision: u64) -> EntryItem {
    EntryItem {
        id: id.into(),
        revision,
        entry: None,
    }
}

/// Guards against instances that left and get work from a daemon that the store turns away: another
/// daemon that reads the store has told it.
#[test]
fn told_removal_does_not_wait_for_the_own_contact() {
    let now = ManualClock::new().now();
    let mut view = FleetView::new();
    view.apply(&ready("a", 1), now);
    view.store_lost();
    view.apply_told(&removed("a", 2), None, now);
    view.settle(now);
    assert!(view.is_empty());
}

/// Guards against a fleet that is emptied by the word of a daemon for which the store has just come
/// back, while the entries that lapsed meanwhile are still missing.
#[test]
fn told_lapse_waits_for_the_entries_to_come_back() {
    let clock = ManualClock::new();
    let mut view = FleetView::new();
    view.apply(&ready("a", 1), clock.now());
    view.apply(&ready("b", 2), clock.now());
    let returned = Some(clock.now());
    let gone = view.reconcile_told(&[], 5, returned, clock.now());
    assert_eq!(gone.len(), 2);
    view.settle(clock.now());
    assert_eq!(view.members().count(), 2);
    view.apply_told(&ready("a", 6), returned, clock.now());
    clock.advance(LAPSE_GRACE);
    view.settle(clock.now());
    let ids: Vec<&str> = view.members().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["a"]);
}
