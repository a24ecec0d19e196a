//! Total rate of calls to the platform.

use crate::fleet::{Fleet, list_entry};
use skylarkstream::decision::catalogue::{
    peer_view::PeerInfo,
    platform_budget::{NON_READER_CALLS_PER_SECOND, READER_BURST, READER_CALLS_PER_SECOND},
    role_election::MAX_READERS,
};

/// Calls per second that the platform can handle from all daemons together.
const PLATFORM_CALLS_PER_SECOND: u32 = 2_000;

/// Number of daemons in the tests with wrong lists.
const FLEET_SIZE: usize = 140;

/// Guards against budgets whose sum is more than the platform can handle.
#[test]
fn sum_of_the_budgets_is_within_the_platform_limit() {
    let readers = MAX_READERS as f64 * (READER_CALLS_PER_SECOND + READER_BURST);
    assert!(readers + NON_READER_CALLS_PER_SECOND <= f64::from(PLATFORM_CALLS_PER_SECOND));
}

/// Checks that in no second there were more calls than the readers, with their burst, and the other
/// daemons may make. The calls of the others are random; four times their mean allows for this.
fn assert_calls_within_limit(fleet: &Fleet, readers: usize) {
    let readers = readers as f64 * (READER_CALLS_PER_SECOND + READER_BURST);
    let others = NON_READER_CALLS_PER_SECOND * fleet.len() as f64 / 4_096.0;
    let max_calls = f64::from(fleet.max_platform_calls_per_second());
    assert!(
        max_calls <= readers + 4.0 * others,
        "{:?}",
        fleet.platform_calls_by_second
    );
}

/// Guards against a burst of calls when the whole fleet starts at once.
#[test]
fn start_of_the_whole_fleet_stays_within_the_limit() {
    let mut fleet = Fleet::new(280, 7, 40, 21);
    fleet.start_all();
    fleet.run_seconds(1);
    assert_calls_within_limit(&fleet, 0);
    fleet.run_seconds(89);
    assert!(fleet.is_converged());
    assert_calls_within_limit(&fleet, 21);
}

/// Guards against a burst of repeated calls during and after an outage of the platform.
#[test]
fn platform_outage_stays_within_the_limit() {
    let mut fleet = Fleet::new(280, 7, 40, 22);
    fleet.start_all();
    fleet.run_seconds(60);
    fleet.platform_calls_by_second.clear();
    fleet.faults.is_platform_down = true;
    fleet.run_seconds(60);
    (0..40).for_each(|service| fleet.publish_profile(&format!("s-{service}"), 2));
    fleet.faults.is_platform_down = false;
    fleet.run_seconds(60);
    assert!((0..40).all(|service| fleet.is_in_force(&format!("s-{service}"), 2)));
    assert_calls_within_limit(&fleet, 21);
}

/// Guards against every daemon of a fleet becoming a reader, or none of them reading the platform
/// any more, after a wrong list is published. `alter` changes an instance of the list, or returns
/// false to leave it out.
fn assert_recovery_from_wrong_list(seed: u64, alter: impl Fn(usize, &mut PeerInfo) -> bool) {
    let mut fleet = Fleet::new(FLEET_SIZE, 7, 4, seed);
    fleet.start_all();
    fleet.run_seconds(60);
    fleet.platform_calls_by_second.clear();
    let correct_lists: Vec<String> = (0..4)
        .map(|service| fleet.list(&format!("s-{service}")))
        .collect();
    for service in 0..4 {
        let name = format!("s-{service}");
        let list: String = (0..FLEET_SIZE)
            .filter(|index| fleet.service(*index) == &name)
            .filter_map(|index| {
                let mut info = PeerInfo {
                    instance: format!("i-{index}").into(),
                    data_centre: fleet.data_centre(index).clone(),
                    control: ([127, 0, 0, 1], 1_000 + index as u16).into(),
                };
                alter(index, &mut info).then(|| list_entry(&info))
            })
            .collect();
        fleet.platform.publish(&format!("instances/{name}"), list);
    }
    fleet.run_seconds(60);
    (0..FLEET_SIZE)
        .step_by(4)
        .for_each(|index| fleet.start(index));
    fleet.run_seconds(60);
    assert_calls_within_limit(&fleet, MAX_READERS);
    for (service, list) in correct_lists.into_iter().enumerate() {
        fleet
            .platform
            .publish(&format!("instances/s-{service}"), list);
        fleet.publish_profile(&format!("s-{service}"), 2);
    }
    fleet.run_seconds(60);
    assert!((0..4).all(|service| fleet.is_in_force(&format!("s-{service}"), 2)));
    assert!(fleet.is_converged());
}

#[test]
fn fleet_recovers_from_an_empty_list() {
    assert_recovery_from_wrong_list(23, |_, _| false);
}

#[test]
fn fleet_recovers_from_a_list_of_three_instances() {
    assert_recovery_from_wrong_list(24, |index, _| index < 3);
}

#[test]
fn fleet_recovers_from_a_list_of_unknown_instances() {
    assert_recovery_from_wrong_list(25, |index, info| {
        info.instance = format!("stranger-{index}").into();
        info.control = ([127, 0, 0, 2], 9).into();
        true
    });
}

#[test]
fn fleet_recovers_from_a_list_with_a_data_centre_for_each_instance() {
    assert_recovery_from_wrong_list(26, |index, info| {
        info.data_centre = format!("wrong-{index}").into();
        true
    });
}
