//! Two routes that run at the same backend servers call the same route, so that their calls are hard
//! to tell apart.

use crate::*;

/// `order` and `check` run at the same service and call `item`. `page`, which is less urgent, causes
/// the runs of `check`.
fn shared_callers() -> FleetSpec {
    FleetSpec {
        data_centres: vec!["dc-1", "dc-2", "dc-3"],
        services: vec![
            service("front", 72),
            service("desk", 96),
            service("middle", 96),
            service("deep", 23),
        ],
        routes: vec![
            route(
                "order",
                "desk",
                0,
                [210, 1_500, 5_000],
                75.0,
                vec![("item", 2)],
            ),
            route(
                "page",
                "front",
                2,
                [160, 1_500, 5_000],
                150.0,
                vec![("check", 1)],
            ),
            route("view", "deep", 1, [64, 200, 800], 40.0, vec![]),
            route(
                "check",
                "desk",
                1,
                [15, 1_000, 2_500],
                0.0,
                vec![("item", 1)],
            ),
            route(
                "item",
                "middle",
                1,
                [15, 800, 2_000],
                0.0,
                vec![("part", 4)],
            ),
            route("part", "deep", 1, [40, 300, 700], 0.0, vec![]),
        ],
        lost_load_share: 0.0,
    }
}

/// Guards against calls of the less urgent route that are attributed to the urgent one: the urgent
/// one was refused for their cost, while the other was admitted.
#[test]
fn urgent_route_is_served_before_the_less_urgent_one() {
    for seed in SEEDS {
        let surge = [(6, FleetChange::Load(1.8))];
        let tally = play(shared_callers(), &surge, 24, seed);
        let [order, page] = ["order", "page"].map(|route| served_share(&tally, route, 10, 24));
        assert!(order >= page, "seed {seed}: {order}, {page}\n{tally}");
    }
}
