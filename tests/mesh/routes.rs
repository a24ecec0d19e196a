//! Routes by host and prefix, and the spread over weighted targets.

use skylarkstream::decision::mesh::{
    route_table::{CallerLimits, RouteSpec, RouteTable, RouteVersion, RunRule, WeightedTarget},
    weighted_spread::WeightedSpread,
};
use std::time::Duration;

pub fn route(name: &str, prefix: &str, priority: u8, targets: &[(&str, u32)]) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "api.example".into(),
        prefix: prefix.into(),
        rule: RunRule::Repeatable,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(800),
        max_attempts: 2,
        priority,
        targets: targets
            .iter()
            .map(|(service, weight)| WeightedTarget {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

pub fn table(routes: Vec<RouteSpec>) -> RouteTable {
    RouteTable::new(RouteVersion(1), CallerLimits::default(), routes)
}

/// Guards against a request that a shorter prefix, another host, or a query decides.
#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "/a/", 0, &[("s", 1)]),
        route("long", "/a/b/", 0, &[("s", 1)]),
    ]);
    let find = |host: &str, target: &str| {
        table
            .find(host, target)
            .map(|route| route.name.to_string())
            .unwrap_or_default()
    };
    assert_eq!(find("api.example", "/a/x"), "short");
    assert_eq!(find("api.example", "/a/b/x"), "long");
    assert_eq!(find("API.example:80", "/a/b/?q=/c/"), "long");
    assert_eq!(find("api.example", "/a"), "");
    assert_eq!(find("api.example", "/c/?x=/a/b/"), "");
    assert_eq!(find("other.example", "/a/b/x"), "");
}

/// Guards against shares that drift from the weights within a few requests.
#[test]
fn spread_keeps_the_weights_in_short_runs() {
    let split = route("split", "/a/", 0, &[("big", 90), ("small", 10)]);
    for offset in [0.0, 0.37, 0.99] {
        let mut spread = WeightedSpread::new(offset);
        let mut small = 0;
        for sent in 1..=500_u32 {
            let service = spread.choose(&split).expect("a target");
            small += u32::from(service == "small");
            let planned = f64::from(sent) * 0.1;
            assert!(
                (f64::from(small) - planned).abs() < 2.0,
                "{small} of {sent}"
            );
        }
    }
}

/// Guards against requests for a target that the configuration has taken out with weight 0.
#[test]
fn target_without_weight_gets_nothing() {
    let split = route("split", "/a/", 0, &[("old", 0), ("new", 1)]);
    let mut spread = WeightedSpread::new(0.0);
    assert!((0..100).all(|_| spread.choose(&split).expect("a target") == "new"));
}
