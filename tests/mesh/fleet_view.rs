//! Members of the fleet, merged from several sources.

use crate::fixed_seeds;
use skylarkstream::decision::{
    clock::{Clock, ManualClock},
    mesh::{
        fleet_view::{BackendEntry, FleetView, ServingState, VersionedEntry},
        store_outage::EXPIRY_GRACE,
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

/// Returns all orders of four numbers.
fn orders() -> impl Iterator<Item = [usize; 4]> {
    let numbers = (0..4 * 4 * 4 * 4).map(|code| [code % 4, code / 4 % 4, code / 16 % 4, code / 64]);
    numbers.filter(|order| BTreeSet::from(*order).len() == order.len())
}

/// Guards against a removal that takes effect later, since a report of it that tells to wait arrives
/// before one that does not.
#[test]
fn order_of_reports_of_removals_does_not_matter() {
    fixed_seeds::check(|random| {
        let clock = ManualClock::new();
        clock.advance(EXPIRY_GRACE);
        let start = clock.now();
        let mut reports = Vec::new();
        for _ in 0..4 {
            let state = match random.int_in_range(0..=5)? {
                0 => Some(ServingState::Ready),
                1 => Some(ServingState::Draining),
                _ => None,
            };
            let age = Duration::from_millis(random.int_in_range(0..=4)? * 500);
            let recovered_at = random.arbitrary::<bool>()?.then(|| start - age);
            let revision = random.int_in_range(2..=6)?;
            let source = random.int_in_range(0..=2)?;
            reports.push((versioned("a", revision, state), recovered_at, source));
        }
        // Two different values at one position do not occur.
        let values = reports.iter().filter(|(entry, ..)| entry.value.is_some());
        let positions: BTreeSet<_> = reports.iter().map(|(entry, ..)| entry.position).collect();
        if values.count() > 0 && positions.len() < reports.len() {
            return Ok(());
        }
        let times_of_use = |order: [usize; 4]| {
            let mut view = FleetView::new();
            view.apply(&versioned("a", 1, Some(ServingState::Ready)), start);
            for (entry, recovered_at, source) in order.map(|index| &reports[index]) {
                match (source, entry.value.is_none()) {
                    (0, _) => view.apply(entry, start),
                    (1, true) => {
                        let removed =
                            view.reconcile_from_peer(&[], entry.position, *recovered_at, start);
                        !removed.is_empty()
                    }
                    _ => view.apply_from_peer(entry, *recovered_at, start),
                };
            }
            let times = (0..10).map(|step| start + Duration::from_millis(300) * step);
            times
                .take_while(|now| {
                    view.drop_removed(*now);
                    !view.is_empty()
                })
                .count()
        };
        let expected = times_of_use([0, 1, 2, 3]);
        for order in orders() {
            assert_eq!(
                times_of_use(order),
                expected,
                "{reports:?} in the order {order:?}"
            );
        }
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
    view.mark_store_unreachable(clock.now());
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

/// Guards against a removal that a daemon holds back for as long as the store turns it away, although it
/// serves others.
#[test]
fn removal_waits_for_a_store_that_responds_to_nobody() {
    for has_contact in [false, true] {
        let clock = ManualClock::new();
        let mut view = FleetView::new();
        view.apply(&versioned("a", 1, Some(ServingState::Ready)), clock.now());
        view.mark_store_reachable(clock.now());
        view.apply(&versioned("a", 2, None), clock.now());
        for _ in 0..30 {
            clock.advance(Duration::from_secs(1));
            view.mark_store_unreachable(clock.now());
            if has_contact {
                view.record_peer_contact(clock.now(), clock.now());
            }
        }
        view.drop_removed(clock.now());
        assert_eq!(view.is_empty(), has_contact);
    }
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
    view.mark_store_unreachable(now);
    view.apply(&versioned("a", 2, None), now);
    view.drop_removed(now);
    assert!(view.is_empty());
}
