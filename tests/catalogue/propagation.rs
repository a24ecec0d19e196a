//! Propagation of versions and values between daemons.

use crate::fleet::Fleet;
use arbtest::arbitrary::{self, Unstructured};
use std::time::Duration;

/// Time within which a change must be in force on all daemons.
const MAX_TIME_UNTIL_IN_FORCE: Duration = Duration::from_secs(13);

fn started_fleet(size: usize, data_centres: usize, services: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, data_centres, services, seed);
    fleet.start_all();
    fleet.run_seconds(60);
    assert!(
        fleet.is_converged(),
        "the fleet did not converge after its start"
    );
    fleet
}

/// Guards against changes that reach only part of the fleet or take longer than the limit.
#[test]
fn change_is_in_force_everywhere_in_time() {
    let mut fleet = started_fleet(105, 7, 5, 1);
    fleet.publish_profile("s-2", 2);
    let time = fleet.run_until_in_force("s-2", 2);
    assert!(
        time.is_some_and(|time| time < MAX_TIME_UNTIL_IN_FORCE),
        "{time:?}"
    );
}

/// Guards against a value in several pieces that is never complete.
#[test]
fn large_value_is_transferred_in_pieces() {
    let mut fleet = started_fleet(21, 3, 1, 2);
    let filler = "#".repeat(1_000_000);
    fleet.platform.publish(
        "profiles/s-0",
        format!("name = \"s-0\"\n{}{filler}", crate::fleet::PROFILE_SETTINGS),
    );
    let time = fleet.run_until_in_force("s-0", 2);
    assert!(
        time.is_some_and(|time| time < MAX_TIME_UNTIL_IN_FORCE),
        "{time:?}"
    );
}

/// Guards against a change that is undone when the platform is restored from an older copy, which
/// lacks the new versions.
#[test]
fn platform_restored_from_an_older_copy_changes_nothing() {
    let mut fleet = started_fleet(42, 3, 2, 3);
    let copy = fleet.platform.snapshot();
    fleet.publish_profile("s-0", 2);
    fleet.publish_profile("s-0", 3);
    assert!(fleet.run_until_in_force("s-0", 3).is_some());
    fleet.faults.is_platform_down = true;
    fleet.run_seconds(60);
    fleet.platform.restore(copy);
    fleet.faults.is_platform_down = false;
    fleet.run_seconds(60);
    assert!(fleet.is_in_force("s-0", 3));
    (0..10).for_each(|index| fleet.start(index));
    fleet.run_seconds(60);
    assert!(fleet.is_in_force("s-0", 3));
    assert!(fleet.is_converged());
}

/// Guards against a known version with a different digest being put in force. A platform restored
/// from an older copy may assign the same version again.
#[test]
fn known_version_with_a_different_digest_is_only_counted() {
    let mut fleet = started_fleet(21, 3, 1, 4);
    let copy = fleet.platform.snapshot();
    fleet.publish_profile("s-0", 2);
    assert!(fleet.run_until_in_force("s-0", 2).is_some());
    let before = fleet.node(0).unwrap().in_force("profiles/s-0");
    fleet.platform.restore(copy);
    fleet.publish_profile("s-0", 9);
    fleet.run_seconds(60);
    let nodes: Vec<_> = (0..fleet.len())
        .filter_map(|index| fleet.node(index))
        .collect();
    assert!(
        nodes
            .iter()
            .all(|node| node.in_force("profiles/s-0") == before)
    );
    assert!(nodes.iter().any(|node| node.index().conflicts() > 0));
}

/// Guards against a new daemon that cannot start while the platform is unreachable.
#[test]
fn new_daemon_starts_from_peers_while_the_platform_is_down() {
    let mut fleet = started_fleet(42, 3, 2, 5);
    fleet.publish_profile("s-0", 2);
    assert!(fleet.run_until_in_force("s-0", 2).is_some());
    fleet.faults.is_platform_down = true;
    fleet.run_seconds(5);
    for index in [0, 7, 20] {
        fleet.start(index);
    }
    fleet.run_seconds(15);
    assert!(fleet.is_converged());
    assert!(fleet.is_in_force("s-0", 2));
}

/// Guards against a daemon that becomes ready without any profile.
#[test]
fn daemon_without_platform_and_peers_is_not_ready() {
    let mut fleet = Fleet::new(9, 3, 1, 6);
    fleet.faults.is_platform_down = true;
    fleet.start_all();
    fleet.run_seconds(60);
    assert!((0..9).all(|index| !fleet.node(index).unwrap().is_synced()));
    fleet.faults.is_platform_down = false;
    fleet.run_seconds(60);
    assert!(fleet.is_converged());
}

/// Guards against an invalid latest version that hides the older valid one from new daemons.
#[test]
fn new_daemon_uses_the_older_valid_version_when_the_latest_is_refused() {
    let mut fleet = started_fleet(42, 3, 2, 7);
    fleet.publish_profile("s-0", 2);
    assert!(fleet.run_until_in_force("s-0", 2).is_some());
    fleet.platform.publish("profiles/s-0", "retry = 1");
    fleet.run_seconds(20);
    assert!(fleet.is_in_force("s-0", 2));
    assert!(fleet.refusals > 0);
    let report = fleet.report(0);
    let profile = report
        .keys
        .iter()
        .find(|key| key.key == "profiles/s-0")
        .unwrap();
    assert_eq!(
        (profile.version, profile.latest_version),
        (Some(2), Some(3))
    );
    assert_eq!(
        profile.refusal.as_ref().map(|refusal| refusal.version),
        Some(3)
    );
    assert!(report.peers_heard > 0 && report.peers_in_agreement == report.peers_heard);
    (0..12).for_each(|index| fleet.start(index));
    fleet.run_seconds(30);
    assert!(fleet.is_in_force("s-0", 2));
    fleet.publish_profile("s-0", 4);
    assert!(fleet.run_until_in_force("s-0", 4).is_some());
}

/// Guards against a data centre that loses its configuration when all its daemons are replaced at
/// once.
#[test]
fn whole_data_centre_is_replaced_while_the_platform_is_down() {
    let mut fleet = started_fleet(63, 3, 3, 8);
    fleet.faults.is_platform_down = true;
    (0..63).step_by(3).for_each(|index| fleet.start(index));
    fleet.run_seconds(20);
    assert!(fleet.is_converged());
}

/// Guards against a data centre that keeps old versions after a network partition ends, or that
/// loses its profiles during the partition.
#[test]
fn partitioned_data_centre_catches_up() {
    let mut fleet = started_fleet(63, 3, 3, 9);
    fleet.faults.partitioned.insert("dc-1".into());
    fleet.publish_profile("s-1", 2);
    fleet.run_seconds(120);
    let partitioned = (0..63).filter(|index| index % 3 == 1 && fleet.service(*index) == "s-1");
    for index in partitioned {
        let stamp = fleet.node(index).unwrap().in_force("profiles/s-1");
        assert_eq!(stamp.map(|stamp| stamp.version), Some(1));
    }
    fleet.faults.partitioned.clear();
    let time = fleet.run_until_in_force("s-1", 2);
    assert!(
        time.is_some_and(|time| time < MAX_TIME_UNTIL_IN_FORCE),
        "{time:?}"
    );
}

fn fleet_converges_after_faults(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut fleet = Fleet::new(18, 3, 2, u.arbitrary()?);
    fleet.start_all();
    for _ in 0..u.int_in_range(3..=12)? {
        match u.int_in_range(0..=8)? {
            0 => fleet.publish_profile("s-0", u.int_in_range(0..=9)?),
            1 => fleet.publish_profile("s-1", u.int_in_range(0..=9)?),
            2 => {
                let text = format!("bad = {}", u.arbitrary::<u8>()?);
                fleet.platform.publish("profiles/s-0", text);
            }
            3 => fleet.faults.is_platform_down = u.arbitrary()?,
            4 => {
                fleet
                    .faults
                    .partitioned
                    .insert(format!("dc-{}", u.int_in_range(0..=2)?).into());
            }
            5 => fleet.faults.partitioned.clear(),
            6 => {
                let first = u.int_in_range(0..=17)?;
                (first..18)
                    .step_by(u.int_in_range(2..=9)?)
                    .for_each(|index| fleet.start(index));
            }
            7 => fleet.stop(u.int_in_range(1..=17)?),
            _ => {
                fleet.faults.loss_rate = f64::from(u.int_in_range(0..=6)?) / 10.0;
                fleet.faults.duplicate_rate = f64::from(u.int_in_range(0..=5)?) / 10.0;
            }
        }
        fleet.run_seconds(u.int_in_range(0..=15)?);
    }
    fleet.faults = crate::fleet::Faults::default();
    fleet.run_seconds(60);
    assert!(
        fleet.is_converged() && fleet.is_as_published(),
        "daemons differ after a minute without faults"
    );
    Ok(())
}

/// Guards against an order of messages, losses, duplicates, restarts and platform faults that
/// lowers a version in force (checked by the fleet) or leaves daemons with different values.
#[test]
fn fleets_converge_after_faults_end() {
    for seed in 1..=25_u64 {
        let seed = seed.wrapping_mul(0x9e37_79b9) << 32 | 512;
        arbtest::arbtest(fleet_converges_after_faults)
            .seed(seed)
            .run();
    }
}

/// Guards against unintended changes in the propagation of a version that is published during a
/// platform outage and a network partition.
#[test]
fn session_with_outage_and_partition() {
    let mut fleet = started_fleet(42, 3, 2, 10);
    fleet.log_event("42 daemons in 3 data centres run.");
    fleet.faults.is_platform_down = true;
    fleet.faults.partitioned.insert("dc-2".into());
    fleet.log_event("The platform goes down and dc-2 is cut off.");
    fleet.publish_profile("s-0", 2);
    fleet.log_event("Version 2 of profiles/s-0 is published.");
    for _ in 0..3 {
        fleet.run_seconds(10);
        log_versions(&mut fleet);
    }
    fleet.faults.is_platform_down = false;
    fleet.log_event("The platform is back.");
    for _ in 0..4 {
        fleet.run_seconds(4);
        log_versions(&mut fleet);
    }
    fleet.start(2);
    fleet.log_event("A daemon of dc-2 is replaced.");
    fleet.run_seconds(5);
    log_versions(&mut fleet);
    fleet.faults.partitioned.clear();
    fleet.log_event("The links of dc-2 are back.");
    for _ in 0..5 {
        fleet.run_seconds(2);
        log_versions(&mut fleet);
    }
    insta::assert_snapshot!(fleet.log);
}

fn log_versions(fleet: &mut Fleet) {
    let counts = |data_centre: &str| {
        let versions = (0..fleet.len())
            .filter(|index| {
                fleet.service(*index) == "s-0" && fleet.data_centre(*index) == data_centre
            })
            .map(|index| {
                fleet
                    .node(index)
                    .and_then(|node| node.in_force("profiles/s-0"))
            })
            .map(|stamp| stamp.map_or(0, |stamp| stamp.version));
        let versions: Vec<u64> = versions.collect();
        [0, 1, 2].map(|version| versions.iter().filter(|other| **other == version).count())
    };
    let text = ["dc-0", "dc-1", "dc-2"].map(|name| {
        let [none, first, second] = counts(name);
        format!("{name}: {none} none, {first} on version 1, {second} on version 2")
    });
    fleet.log_event(&text.join("; "));
}
