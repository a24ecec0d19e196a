//! Runs the fleet of the catalogue tests at full size under virtual time and prints the load on the
//! platform and the times until all daemons have converged.

#[allow(dead_code)]
#[path = "../tests/catalogue/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../tests/catalogue/fleet_checks.rs"]
mod fleet_checks;

use bpaf::Bpaf;
use fleet::Fleet;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Number of daemons
    #[bpaf(argument("N"), fallback(2_300))]
    daemons: usize,
    /// Number of data centres
    #[bpaf(argument("N"), fallback(7))]
    data_centres: usize,
    /// Number of services
    #[bpaf(argument("N"), fallback(300))]
    services: usize,
}

fn main() {
    let arguments = arguments().run();
    let Arguments {
        daemons,
        data_centres,
        services,
    } = arguments;
    let mut fleet = Fleet::new(daemons, data_centres, services, 1);
    fleet.start_all();
    run_phase(&mut fleet, "start of the whole fleet");
    run_phase(&mut fleet, "normal operation");
    fleet.publish_profile("s-7", 2);
    let time = fleet.run_until_in_force("s-7", 2);
    println!("one change: in force after {time:?}");
    run_phase(&mut fleet, "normal operation after a change");
    fleet.faults.is_platform_down = true;
    run_phase(&mut fleet, "platform down");
    (0..services).for_each(|service| fleet.publish_profile(&format!("s-{service}"), 3));
    fleet.faults.is_platform_down = false;
    run_phase(
        &mut fleet,
        "platform up again with a change of each profile",
    );
    let is_in_data_centre_1 = |index: &usize| index % data_centres == 1;
    (0..daemons)
        .filter(is_in_data_centre_1)
        .for_each(|index| fleet.start(index));
    run_phase(&mut fleet, "all daemons of a data centre replaced");
    fleet.faults.partitioned.insert("dc-1".into());
    run_phase(&mut fleet, "a data centre cut off");
    fleet.faults.partitioned.clear();
    run_phase(&mut fleet, "data centre reconnected");
}

/// Runs the fleet for one minute of virtual time and prints the load on the platform and the time
/// after which the fleet stayed converged.
fn run_phase(fleet: &mut Fleet, name: &str) {
    let start = fleet.platform_calls_by_second.len();
    let mut converged_after = None;
    for second in 1..=60 {
        fleet.run_seconds(1);
        if !fleet.is_converged() {
            converged_after = None;
        } else if converged_after.is_none() {
            converged_after = Some(second);
        }
    }
    let calls = fleet
        .platform_calls_by_second
        .get(start..)
        .unwrap_or_default();
    let total: u32 = calls.iter().sum();
    let busiest = calls.iter().max().copied().unwrap_or_default();
    println!(
        "{name}: {total} platform calls in the minute, {busiest} in the busiest second, \
         permanently converged after {converged_after:?} s"
    );
}
