//! Scenarios of overload and faults over the decision code of a service chain.

mod chain;
mod model;
mod report;

use chain::Chain;
use model::{Control, Fault, Scenario, Service};
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn scenario(name: &'static str, demand: f64, faults: &[(Fault, u64, u64)]) -> Scenario {
    let service = |name, slots, service_ms| Service {
        name,
        instances: 6,
        slots,
        service_ms,
    };
    Scenario {
        name,
        seed: 7,
        services: vec![
            service("tug-dispatch", 100, 5),
            service("stand-status", 80, 10),
            service("crew-roster", 25, 60),
        ],
        classes: vec![(0, 0.08), (1, 0.22), (4, 0.7)],
        demand,
        length: seconds(30),
        faults: faults
            .iter()
            .map(|(f, from, to)| (*f, seconds(*from), seconds(*to)))
            .collect(),
    }
}

/// Compares the figures of the three kinds of control with the snapshot.
fn check_figures(scenario: &Scenario) {
    let controls = [Control::None, Control::Fixed, Control::Full];
    let text = controls
        .map(|control| Chain::run(scenario, control).text())
        .join("\n");
    println!("{}\n{text}", scenario.name);
    insta::assert_snapshot!(scenario.name, text);
}

/// Targets of the design page, section 8, that hold in every scenario.
#[derive(Clone, Copy, Default)]
struct Targets {
    /// Classes whose own demand fits into the capacity left.
    fitting: &'static [u8],
    goodput: bool,
    recovery: bool,
}

fn check_targets(scenario: &Scenario, targets: Targets) {
    let full = Chain::run(scenario, Control::Full);
    let mut missed = Vec::new();
    let mut check = |is_met: bool, what: String| {
        if !is_met {
            missed.push(what);
        }
    };
    check(
        full.extra() < 0.10,
        format!("extra attempts {:.4}", full.extra()),
    );
    check(
        full.wasted() < 0.05,
        format!("wasted work {:.4}", full.wasted()),
    );
    for class in targets.fitting {
        for span in [full.span(), scenario.trigger()] {
            let answered = full.answered(*class, &span);
            check(
                answered >= 0.99,
                format!("class {class} answered {answered:.4}"),
            );
        }
    }
    let goodput = full.trigger_goodput();
    check(
        !targets.goodput || goodput >= 0.90,
        format!("goodput {goodput:.4}"),
    );
    let recovery = full.recovery();
    let is_back = recovery.is_some_and(|time| time <= seconds(3));
    check(
        !targets.recovery || is_back,
        format!("recovery {recovery:?}"),
    );
    assert!(
        missed.is_empty(),
        "{}: missed targets: {missed:?}",
        scenario.name
    );
}

/// Writes the figures test and the targets test of a scenario.
macro_rules! scenario_tests {
    ($name:ident, $demand:expr, $faults:expr, $targets:expr) => {
        mod $name {
            use super::*;

            /// Guards against a change of the measured figures that nobody looked at.
            #[test]
            fn figures() {
                check_figures(&scenario(stringify!($name), $demand, &$faults));
            }

            /// Guards against a miss of the targets of the design page.
            #[test]
            fn targets() {
                check_targets(&scenario(stringify!($name), $demand, &$faults), $targets);
            }
        }
    };
}

// The instances 12 to 17 belong to the deepest service.
scenario_tests!(
    slow_deep_service,
    0.8,
    [(Fault::Slow(5.0), 8, 18), (Fault::Surge(2.0), 8, 18)],
    Targets {
        fitting: &[0],
        goodput: true,
        recovery: true
    }
);
scenario_tests!(
    twice_the_capacity,
    0.8,
    [(Fault::Surge(2.5), 8, 18)],
    Targets {
        fitting: &[0, 1],
        goodput: true,
        recovery: true
    }
);
scenario_tests!(
    cold_third,
    0.8,
    [(Fault::Cold, 8, 13)],
    Targets {
        fitting: &[0, 1],
        goodput: false,
        recovery: true
    }
);
scenario_tests!(
    cut_off_data_centre,
    0.8,
    [(Fault::CutOff, 8, 18)],
    Targets {
        fitting: &[0, 1],
        goodput: false,
        recovery: true
    }
);
scenario_tests!(
    paused_daemon,
    0.8,
    [(Fault::Pause(13), 8, 18)],
    Targets {
        fitting: &[0, 1],
        goodput: false,
        recovery: true
    }
);
scenario_tests!(
    silent_connections,
    0.8,
    [(Fault::Silent(13), 8, 18)],
    Targets {
        fitting: &[0, 1],
        goodput: false,
        recovery: true
    }
);
scenario_tests!(
    cold_third_with_surge,
    0.8,
    [(Fault::Cold, 8, 13), (Fault::Surge(2.0), 8, 18)],
    Targets {
        fitting: &[0, 1],
        goodput: false,
        recovery: true
    }
);
scenario_tests!(
    cut_off_with_slow_service,
    0.8,
    [(Fault::CutOff, 8, 18), (Fault::Slow(2.0), 8, 18)],
    Targets {
        fitting: &[0, 1],
        goodput: true,
        recovery: true
    }
);

/// Guards against a limit that loses slots when service times rise fivefold, or that lets requests
/// queue inside the backend server. The lower bound is the goodput target of 90%.
#[test]
fn limit_finds_the_slots() {
    let mut missed = Vec::new();
    for slots in [25, 60, 110] {
        for length in [10, 18, 26] {
            let mut single = scenario("single_service", 2.0, &[(Fault::Slow(5.0), 10, 18)]);
            single.services = vec![Service {
                name: "crew-roster",
                instances: 1,
                slots,
                service_ms: 60,
            }];
            single.length = seconds(length);
            let limits = Chain::run(&single, Control::Full).limits();
            let range = slots as f64 * 0.9..slots as f64 * 1.3;
            if !limits
                .iter()
                .all(|limit| range.contains(&f64::from(*limit)))
            {
                missed.push(format!("{slots} slots at {length} s: {limits:?}"));
            }
        }
    }
    assert!(missed.is_empty(), "limits off the slots: {missed:#?}");
}
