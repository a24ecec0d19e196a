//! Members from the store, merged from several sources.

use crate::fixed_seeds;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::fleet_view::{BackendEntry, EntryItem, FleetView, LAPSE_GRACE, ServingState},
};
use std::{collections::BTreeSet, time::Duration};

pub fn entry(service: &str, address: &str, state: ServingState) -> BackendEntry {
    BackendEntry {
        service: service.into(),
        address: address.parse().expect("an address"),
        data_centre: "dc-1".into(),
        slots: 10,
        state,
        cold: Duration::ZERO,
        born_ms: Some(1),
    }
}

fn item(id: &str, revision: u64, state: Option<ServingState>) -> EntryItem {
    EntryItem {
        id: id.into(),
        revision,
        entry: state.map(|state| entry("s", "127.0.0.1:80", state)),
    }
}

fn names(view: &FleetView) -> BTreeSet<String> {
    view.members().map(|(id, _)| id.to_string()).collect()
}

/// Guards against views that depend on the order in which the store and the peers report changes.
#[test]
fn order_of_reports_does_not_matter() {
    fixed_seeds::check(|random| {
        let mut items = Vec::new();
        for revision in 1..=12_u64 {
            let id = ["a", "b", "c"][random.choose_index(3)?];
            let states = [
                Some(ServingState::Ready),
                Some(ServingState::Draining),
                None,
            ];
            items.push(item(id, revision, states[random.choose_index(3)?]));
        }
        let now = ManualClock::new().now();
        let merge = |items: &[EntryItem]| {
            let mut view = FleetView::new();
            for item in items {
                view.apply(item, now);
            }
            view.settle(now);
            let state = |(id, entry): (&smol_str::SmolStr, &BackendEntry)| {
                (id.to_string(), entry.state == ServingState::Ready)
            };
            view.members().map(state).collect::<BTreeSet<_>>()
        };
        let expected = merge(&items);
        for _ in 0..4 {
            let (first, second) = (random.choose_index(12)?, random.choose_index(12)?);
            items.swap(first, second);
        }
        assert_eq!(merge(&items), expected);
        Ok(())
    });
}

/// Guards against a fleet that is emptied because leases ran out while the store was away.
#[test]
fn entries_that_lapse_during_an_outage_stay_until_the_grace_ends() {
    let clock = ManualClock::new();
    let mut view = FleetView::new();
    view.apply(&item("a", 1, Some(ServingState::Ready)), clock.now());
    view.apply(&item("b", 2, Some(ServingState::Ready)), clock.now());
    view.store_lost();
    clock.advance(Duration::from_secs(60));
    view.settle(clock.now());
    assert_eq!(names(&view).len(), 2);
    view.store_answered(clock.now());
    view.reconcile(&[], 5, clock.now());
    view.settle(clock.now());
    assert_eq!(names(&view).len(), 2);
    view.apply(&item("a", 6, Some(ServingState::Ready)), clock.now());
    clock.advance(LAPSE_GRACE);
    view.settle(clock.now());
    assert_eq!(names(&view), BTreeSet::from(["a".to_owned()]));
}

/// Guards against work for a server that left while the store could be read.
#[test]
fn removal_is_in_force_at_once_while_the_store_answers() {
    let now = ManualClock::new().now();
    let mut view = FleetView::new();
    view.apply(&item("a", 1, Some(ServingState::Ready)), now);
    view.apply(&item("a", 2, None), now);
    view.settle(now);
    assert!(view.is_empty());
    assert!(!view.apply(&item("a", 1, Some(ServingState::Ready)), now));
    assert!(view.is_empty());
}

/// Guards against a draining server that outlives its removal during an outage: it said itself that
/// it leaves.
#[test]
fn draining_entry_is_dropped_during_an_outage() {
    let now = ManualClock::new().now();
    let mut view = FleetView::new();
    view.apply(&item("a", 1, Some(ServingState::Draining)), now);
    view.store_lost();
    view.apply(&item("a", 2, None), now);
    view.settle(now);
    assert!(view.is_empty());
}
