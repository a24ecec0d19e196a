//! Route lookup by host and prefix, and the traffic split among weighted targets.

use skylarkstream::decision::mesh::{
    route_table::{
        CallerLimits, RouteSpec, RouteTable, RouteVersion, RunSemantics, WeightedTarget,
    },
    traffic_split::TrafficSplit,
};
use std::time::Duration;

pub fn route(name: &str, prefix: &str, priority: u8, targets: &[(&str, u32)]) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "api.example".into(),
        prefix: prefix.into(),
        semantics: RunSemantics::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(800),
        max_attempts: 2,
        priority,
        is_open: false,
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

/// Guards against a request that is routed by a shorter prefix, another host or a path in its
/// query.
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

/// Guards against shares that deviate from the weights over short sequences of requests.
#[test]
fn split_keeps_the_weights_over_few_requests() {
    let route = route("split", "/a/", 0, &[("big", 90), ("small", 10)]);
    for offset in [0.0, 0.37, 0.99] {
        let mut split = TrafficSplit::new(offset);
        let mut small = 0;
        for sent in 1..=500_u32 {
            let service = split.select(&route).expect("a target");
            small += u32::from(service == "small");
            let expected = f64::from(sent) * 0.1;
            assert!(
                (f64::from(small) - expected).abs() < 2.0,
                "{small} of {sent}"
            );
        }
    }
}

/// Guards against requests to a target that the configuration disables with weight 0.
#[test]
fn target_with_weight_zero_gets_no_requests() {
    let route = route("split", "/a/", 0, &[("old", 0), ("new", 1)]);
    let mut split = TrafficSplit::new(0.0);
    assert!((0..100).all(|_| split.select(&route).expect("a target") == "new"));
}
