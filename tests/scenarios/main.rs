//! Simulated overload and fault scenarios on a service chain with the daemons' decision code.

mod chain;
mod model;
mod report;

use chain::Chain;
use model::{Control, Fault, Scenario};
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn scenario(name: &'static str, demand: f64, faults: &[(Fault, u64, u64)]) -> Scenario {
    let faults = faults.iter();
    Scenario {
        name,
        seed: 7,
        services: vec![
            ("tug-dispatch", 6, 100, 5),
            ("stand-status", 6, 80, 10),
            ("crew-roster", 6, 25, 60),
        ],
        demand,
        duration: seconds(30),
        faults: faults
            .map(|(f, from, to)| (*f, seconds(*from), seconds(*to)))
            .collect(),
    }
}

/// Compares the results under each kind of control with the snapshot.
fn check_snapshot(scenario: &Scenario) {
    let controls = [Control::None, Control::Fixed, Control::Full];
    let text = controls
        .map(|control| Chain::run(scenario, control).to_text())
        .join("\n");
    println!("{}\n{text}", scenario.name);
    insta::assert_snapshot!(scenario.name, text);
}

/// Compares the results under full control with the targets in section 8 of the design page.
/// `is_capacity_known` adds the target for the goodput during the faults.
fn check_targets(scenario: &Scenario, protected_classes: &[u8], is_capacity_known: bool) {
    let full = Chain::run(scenario, Control::Full);
    let mut missed = Vec::new();
    let mut check = |is_met: bool, result: String| {
        if !is_met {
            missed.push(result);
        }
    };
    check(
        full.extra_share() < 0.10,
        format!("extra attempts {:.4}", full.extra_share()),
    );
    check(
        full.wasted_share() < 0.05,
        format!("wasted work {:.4}", full.wasted_share()),
    );
    for class in protected_classes {
        for span in [full.measured_span(), scenario.trigger()] {
            let answered = full.answered_share(*class, &span);
            check(
                answered >= 0.99,
                format!("class {class} answered {answered:.4}"),
            );
        }
    }
    let goodput = full.trigger_goodput();
    check(
        !is_capacity_known || goodput >= 0.90,
        format!("goodput {goodput:.4}"),
    );
    let recovery = full.recovery();
    let has_recovered = recovery.is_some_and(|time| time <= seconds(3));
    check(has_recovered, format!("recovery {recovery:?}"));
    assert!(
        missed.is_empty(),
        "{}: missed targets: {missed:?}",
        scenario.name
    );
}

/// Generates the tests `matches_snapshot` and `meets_targets` of each scenario.
macro_rules! scenario_tests {
    ($($name:ident: $protected_classes:expr, $is_capacity_known:expr, $faults:expr;)*) => {$(
        mod $name {
            use super::*;

            /// Guards against unnoticed changes of the simulated results.
            #[test]
            fn matches_snapshot() {
                check_snapshot(&scenario(stringify!($name), 0.8, &$faults));
            }

            /// Guards against missing the targets of the design page.
            #[test]
            fn meets_targets() {
                let scenario = scenario(stringify!($name), 0.8, &$faults);
                check_targets(&scenario, &$protected_classes, $is_capacity_known);
            }
        }
    )*};
}

// Instances 12 to 17 belong to the deepest service. Columns: name, classes whose own demand fits
// into the remaining capacity, whether that capacity is known, faults with their start and end in
// seconds.
scenario_tests! {
    slow_deep_service: [0], true, [(Fault::Slow(5.0), 8, 18), (Fault::Surge(2.0), 8, 18)];
    twice_the_capacity: [0, 1], true, [(Fault::Surge(2.5), 8, 18)];
    cold_third: [0, 1], false, [(Fault::Cold, 8, 13)];
    cut_off_data_centre: [0, 1], false, [(Fault::CutOff, 8, 18)];
    paused_daemon: [0, 1], false, [(Fault::Pause(13), 8, 18)];
    silent_connections: [0, 1], false, [(Fault::Silent(13), 8, 18)];
    cold_third_with_surge: [0, 1], false, [(Fault::Cold, 8, 13), (Fault::Surge(2.0), 8, 18)];
    cut_off_with_slow_service: [0, 1], true, [(Fault::CutOff, 8, 18), (Fault::Slow(2.0), 8, 18)];
}

/// Guards against a concurrency limit that falls below the slots of the backend server when service
/// times rise fivefold, or that exceeds them so that requests queue inside the backend server. The
/// lower bound is the goodput target of 90%.
#[test]
fn limit_converges_to_the_slots() {
    let mut missed = Vec::new();
    for slots in [25, 60, 110] {
        let mut single = scenario("single_service", 2.0, &[(Fault::Slow(5.0), 10, 18)]);
        single.services = vec![("crew-roster", 1, slots, 60)];
        let full = Chain::run(&single, Control::Full);
        for end in [10, 18, 26] {
            let limits = full.mean_limits(end);
            let range = slots as f64 * 0.9..slots as f64 * 1.3;
            if !limits
                .iter()
                .all(|limit| range.contains(&f64::from(*limit)))
            {
                missed.push(format!("{slots} slots at {end} s: {limits:?}"));
            }
        }
    }
    assert!(
        missed.is_empty(),
        "limits that do not match the slots: {missed:#?}"
    );
}

/// Guards against shedding the most important class while its own demand fits into the capacity.
/// With a fixed maximum wait in the queue, its target was missed for these seeds.
#[test]
fn slow_deep_service_with_other_seeds() {
    for seed in [2, 3, 6] {
        let faults = [(Fault::Slow(5.0), 8, 18), (Fault::Surge(2.0), 8, 18)];
        let mut seeded = scenario("slow_deep_service", 0.8, &faults);
        seeded.seed = seed;
        check_targets(&seeded, &[0], true);
    }
}
