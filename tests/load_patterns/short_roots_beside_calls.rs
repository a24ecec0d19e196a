//! Short requests of callers at a deep service whose slots the calls of other requests fill: a roster
//! view needs one short run and has little time, and each dispatch makes eight calls there.

use crate::*;

/// Requests per second of `glance`; they need a tenth of the deep service.
const GLANCE_RATE: f64 = 60.0;

fn deep_service_with_short_roots() -> FleetSpec {
    let mut spec = call_chain();
    spec.routes.retain(|route| route.name != "report");
    let glance = route("glance", "deep", 1, [50, 250, 1_000], GLANCE_RATE, vec![]);
    spec.routes.push(glance);
    spec
}

/// Guards against short requests that are refused after their short wait although the plan has room
/// for them, since calls with more time are before them in the queue.
#[test]
fn short_roots_are_served_beside_calls() {
    for seed in SEEDS {
        let changes = [(6, FleetChange::Load(3.0))];
        let tally = play(deep_service_with_short_roots(), &changes, 24, seed);
        let glance = served_share(&tally, "glance", 8, 24);
        assert!(glance > 0.9, "seed {seed}: {glance}\n{tally}");
        assert_calls_get_slots(&tally, 12, 24, seed);
        let order = served_share(&tally, "order", 12, 24);
        let page = served_share(&tally, "page", 12, 24);
        assert!(order > page, "seed {seed}: {order}, {page}\n{tally}");
    }
}
