//! Members of the fleet, merged from several sources.

use crate::fixed_seeds;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        fleet_view::{BackendEntry, EXPIRY_GRACE, FleetView, ServingState, VersionedEntry},
        store_position::StorePosition,
    },
};
use std::{collections::BTreeSet, time::Duration};

pub fn entry(service: &str, address: &str, state: ServingState) -> BackendEntry {
    BackendEntry {
        service: service.into(),
        address: address.parse().expect("an address"),
        data_centre: "dc-1".into(),
        slots: 10,
        state,
        remaining_warm_up: Duration::ZERO,
        started_ms: Some(1),
        sequence: 1,
    }
}

/// Returns a position in the first era.
pub fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn versioned(id: &str, revision: u64, state: Option<ServingState>) -> VersionedEntry {
    VersionedEntry {
        id: id.into(),
        position: position(revision),
        value: state.map(|state| entry("s", "127.0.0.1:80", state)),
    }
}

fn member_ids(view: &FleetView) -> BTreeSet<String> {
    view.members().map(|(id, _)| id.to_string()).collect()
}

/// Guards against members that depend on the order in which updates arrive from the store and from
/// peers.
#[test]
fn order_of_updates_does_not_matter() {
    fixed_seeds::check(|random| {
        let mut entries = Vec::new();
        for revision in 1..=12_u64 {
            let id = ["a", "b", "c"][random.choose_index(3)?];
            let states = [
                Some(ServingState::Ready),
                Some(ServingState::Draining),
                None,
            ];
            entries.push(versioned(id, revision, states[random.choose_index(3)?]));
        }
        let now = ManualClock::new().now();
        let merge = |entries: &[VersionedEntry]| {
            let mut view = FleetView::new();
            for entry in entries {
                view.apply(entry, now);
            }
            view.drop_removed(now);
            let state = |(id, entry): (&smol_str::SmolStr, &BackendEntry)| {
                (id.to_string(), entry.state == ServingState::Ready)
            };
            view.members().map(state).collect::<BTreeSet<_>>()
        };
        let expected = merge(&entries);
        for _ in 0..4 {
            let (first, second) = (random.choose_index(12)?, random.choose_index(12)?);
            entries.swap(first, second);
        }
        assert_eq!(merge(&entries), expected);
        Ok(())
    });
}

/// Guards against the loss of all members because their leases expired while the store was
/// unreachable.
#[test]
fn entries_that_expire_during_an_outage_stay_until_the_grace_period_ends() {
    let clock = ManualClock::new();
    let mut view = FleetView::new();
    view.apply(&versioned("a", 1, Some(ServingState::Ready)), clock.now());
    view.apply(&versioned("b", 2, Some(ServingState::Ready)), clock.now());
    view.mark_store_unreachable();
    clock.advance(Duration::from_secs(60));
    view.drop_removed(clock.now());
    assert_eq!(member_ids(&view).len(), 2);
    view.mark_store_reachable(clock.now());
    view.reconcile(&[], position(5), clock.now());
    view.drop_removed(clock.now());
    assert_eq!(member_ids(&view).len(), 2);
    view.apply(&versioned("a", 6, Some(ServingState::Ready)), clock.now());
    clock.advance(EXPIRY_GRACE);
    view.drop_removed(clock.now());
    assert_eq!(member_ids(&view), BTreeSet::from(["a".to_owned()]));
}

/// Guards against requests to a server that left while the store was reachable.
#[test]
fn removal_takes_effect_at_once_while_the_store_is_reachable() {
    let now = ManualClock::new().now();
    let mut view = FleetView::new();
    view.apply(&versioned("a", 1, Some(ServingState::Ready)), now);
    view.apply(&versioned("a", 2, None), now);
    view.drop_removed(now);
    assert!(view.is_empty());
    assert!(!view.apply(&versioned("a", 1, Some(ServingState::Ready)), now));
    assert!(view.is_empty());
}

/// Guards against a draining server that stays a member after its removal during a store outage.
/// Its entry did not expire, since it had announced that it was leaving.
#[test]
fn draining_entry_is_dropped_during_an_outage() {
    let now = ManualClock::new().now();
    let mut view = FleetView::new();
    view.apply(&versioned("a", 1, Some(ServingState::Draining)), now);
    view.mark_store_unreachable();
    view.apply(&versioned("a", 2, None), now);
    view.drop_removed(now);
    assert!(view.is_empty());
}
