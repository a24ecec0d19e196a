//! Backend servers of the deep service name limits on their requests for some seconds.

use crate::*;

/// Limit of each server when all of them name one, in requests per second.
const LIMIT: f64 = 60.0;

fn limits(rates: &[f64]) -> Vec<(u64, FleetChange)> {
    let named = rates.iter().enumerate().map(|(index, rate)| {
        (
            6,
            FleetChange::NameLimit(DEEP_INSTANCE + index, Some(*rate)),
        )
    });
    let withdrawn =
        (0..rates.len()).map(|index| (18, FleetChange::NameLimit(DEEP_INSTANCE + index, None)));
    named.chain(withdrawn).collect()
}

/// Guards against requests that fail or are refused although the other servers of the service have
/// room for what one server does not take.
#[test]
fn other_servers_take_what_one_does_not() {
    for seed in SEEDS {
        let tally = play(call_chain(), &limits(&[30.0]), 18, seed);
        for route in ["order", "count", "page", "report"] {
            let share = served_share(&tally, route, 9, 17);
            assert!(share > 0.9, "seed {seed}, {route}: {share}\n{tally}");
        }
    }
}

/// Guards against roots that are admitted although their calls exceed the limits of all servers, and
/// against the shedding of the important ones.
#[test]
fn roots_are_shed_when_all_servers_name_limits() {
    for seed in SEEDS {
        let tally = play(call_chain(), &limits(&[LIMIT; 3]), 26, seed);
        assert_calls_get_slots(&tally, 10, 18, seed);
        let order = served_share(&tally, "order", 10, 18);
        let page = served_share(&tally, "page", 10, 18);
        assert!(order > page, "seed {seed}: {order}, {page}\n{tally}");
        let runs = ["part", "report"].map(|route| tally.between(route, 10, 18).served);
        let used = f64::from(runs[0] + runs[1]) / (8.0 * 3.0 * LIMIT);
        assert!(
            (0.8..1.1).contains(&used),
            "seed {seed}: {used} of the limits\n{tally}"
        );
        let count = served_share(&tally, "count", 10, 18);
        assert!(count > 0.9, "seed {seed}: {count}\n{tally}");
        for route in ["order", "count", "page"] {
            let share = served_share(&tally, route, 22, 26);
            assert!(share > 0.9, "seed {seed}, {route}: {share}\n{tally}");
        }
    }
}
