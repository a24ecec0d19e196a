//! Decoding of valid and invalid values and messages.

use crate::fixed_seeds;
use bytes::BytesMut;
use skylarkstream::{
    decision::mesh::{
        fleet_view::ServingState, route_table::RunSemantics, store_position::StorePosition,
    },
    mesh::{
        executor::gate_limits, mesh_settings::MeshSettings, peer_frame::PeerFrame,
        store_interface::StoreFormat,
    },
    platform::store_format::PlatformStore,
};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":"r7","routes":[
    {"name":"a","hostname":"h.example","prefix":"/a/","route-type":"download","timeout-s":1,
     "target-latency-s":1.5,"priority":2,"max-attempts":2,
     "weighted-targets":[{"service":"x","weight":90},{"service":"y","weight":10}]},
    {"name":"b","hostname":"h.example","prefix":"/b/","route-type":"unsafe","timeout-s":1.2,
     "target-latency-s":1.5,"priority":0,"service":"x","max-attempts":0}],
    "services":[],"limits":{"max-header-bytes":16384,"max-body-bytes":1000,
    "header-timeout-s":3,"idle-timeout-s":15},"unknown":1}"#;

const ENTRY: &str = r#"{"service":"x","address":"10.1.0.9:80","zone":"z","version":"v1",
    "slots":91,"state":"draining","cold-remaining-s":1.5,"sequence":4,"born":1700000000000}"#;

/// Guards against a daemon that stops to follow the store, since a value has a time that the clock cannot
/// hold: the sum panics.
#[test]
fn huge_times_can_be_added_to_the_clock() {
    let huge = i64::MAX.to_string();
    let entry = ENTRY.replace("1.5", &huge);
    let entry = PlatformStore
        .decode_entry(entry.as_bytes())
        .expect("an entry");
    let config = CONFIG
        .replace("\"timeout-s\":1,", &format!("\"timeout-s\":{huge},"))
        .replace(
            "\"target-latency-s\":1.5",
            &format!("\"target-latency-s\":{huge}"),
        )
        .replace(
            "\"header-timeout-s\":3",
            &format!("\"header-timeout-s\":{huge}"),
        )
        .replace(
            "\"idle-timeout-s\":15",
            &format!("\"idle-timeout-s\":{huge}"),
        );
    let table = PlatformStore
        .decode_config(config.as_bytes())
        .expect("a table");
    let route = table.find("h.example", "/a/1").expect("a route");
    let limits = table.limits();
    let now = Instant::now();
    for time in [
        entry.remaining_warm_up,
        route.timeout,
        route.latency_target,
        limits.header_timeout,
        limits.idle_timeout,
    ] {
        assert!(now.checked_add(time * 2).is_some(), "{time:?}");
    }
}

/// Guards against an interval of renewals with which each response of the store ends an outage, or none.
#[test]
fn interval_of_renewals_is_checked() {
    let settings = |heartbeat: &str| {
        let text = format!(
            "instance = \"i\"\ndata_centre = \"a\"\nservice = \"s\"\nbackend = \"127.0.0.1:1\"\n\
             outbound = \"127.0.0.1:2\"\npeer = \"127.0.0.1:3\"\nreadiness = \"127.0.0.1:4\"\n\
             store = \"127.0.0.1:5\"\ngrace_s = 1\n{heartbeat}"
        );
        MeshSettings::from_bytes(text.as_bytes()).map(|settings| settings.heartbeat())
    };
    assert_eq!(settings("").ok(), Some(Duration::from_millis(1_500)));
    let valid = settings("heartbeat_s = 2").ok();
    assert_eq!(valid, Some(Duration::from_secs(2)));
    for invalid in ["0", "-1", "nan", "inf", "1e9", "true"] {
        assert!(
            settings(&format!("heartbeat_s = {invalid}")).is_err(),
            "{invalid}"
        );
    }
}

/// Guards against a daemon that panics at the stop signal or when an entry is published, since a number
/// in its settings or in the entry is too large for the sums that it is used in.
#[test]
fn huge_numbers_in_settings_and_entries_can_be_used() {
    let text = "instance = \"i\"\ndata_centre = \"a\"\nservice = \"s\"\nbackend = \"127.0.0.1:1\"\n\
                outbound = \"127.0.0.1:2\"\npeer = \"127.0.0.1:3\"\nreadiness = \"127.0.0.1:4\"\n\
                store = \"127.0.0.1:5\"\ngrace_s = 1e19\n";
    let settings = MeshSettings::from_bytes(text.as_bytes()).expect("settings");
    let grace = settings.grace_period();
    assert!(Instant::now().checked_add(grace).is_some(), "{grace:?}");
    let entry = ENTRY.replace("\"slots\":91", &format!("\"slots\":{}", u32::MAX));
    let entry = PlatformStore
        .decode_entry(entry.as_bytes())
        .expect("an entry");
    assert_eq!(gate_limits(entry.slots).queue_length, u32::MAX);
}

/// Guards against routes, limits and retry rules that are decoded wrongly.
#[test]
fn config_is_decoded() {
    let table = PlatformStore
        .decode_config(CONFIG.as_bytes())
        .expect("a table");
    assert_eq!(table.version().0, 7);
    assert_eq!(table.limits().body_bytes, 1000);
    let a = table.find("h.example", "/a/1").expect("a route");
    assert_eq!(a.semantics, RunSemantics::Idempotent);
    assert_eq!(a.targets.len(), 2);
    let b = table.find("h.example", "/b/1").expect("a route");
    assert_eq!(b.semantics, RunSemantics::AtMostOnce);
    assert_eq!(b.timeout, Duration::from_millis(1_200));
    assert_eq!(b.max_attempts, 1);
}

/// Guards against a retry of requests whose route type is unknown.
#[test]
fn route_of_unknown_type_runs_at_most_once() {
    let text = CONFIG.replace("download", "something-new");
    let table = PlatformStore
        .decode_config(text.as_bytes())
        .expect("a table");
    let route = table.find("h.example", "/a/1").expect("a route");
    assert_eq!(route.semantics, RunSemantics::AtMostOnce);
}

/// Guards against values of other writers that are accepted as entries of backend servers.
#[test]
fn incomplete_or_invalid_entries_are_refused() {
    let entry = PlatformStore
        .decode_entry(ENTRY.as_bytes())
        .expect("an entry");
    assert_eq!(entry.state, ServingState::Draining);
    assert_eq!(entry.slots, 91);
    assert_eq!(entry.remaining_warm_up, Duration::from_millis(1_500));
    assert_eq!(entry.started_ms, Some(1_700_000_000_000));
    for (valid, invalid) in [
        (r#""slots":91"#, r#""slots":"91""#),
        (r#""slots":91,"#, ""),
        (r#""state":"draining""#, r#""state":"asleep""#),
        ("10.1.0.9:80", "nowhere"),
        (r#""sequence":4,"#, ""),
        (r#""cold-remaining-s":1.5"#, r#""cold-remaining-s":-1"#),
        (r#""born":1700000000000"#, r#""born":1.5"#),
    ] {
        let text = ENTRY.replace(valid, invalid);
        assert!(
            PlatformStore.decode_entry(text.as_bytes()).is_err(),
            "{text}"
        );
    }
}

/// Guards against pages and changes whose keys, removals or revisions are decoded wrongly.
#[test]
fn pages_and_changes_are_decoded() {
    let page = br#"{"items":[{"key":"servers/i-1","value":"eyJ9","revision":5,"created":1,
        "lease":3},{"key":"op/config","value":"!","revision":6}],"has-more":true,"as-of":9}"#;
    let page = PlatformStore.decode_page(3, page).expect("a page");
    assert_eq!(page.items[0].instance.as_deref(), Some("i-1"));
    assert!(page.items[1].is_config);
    assert!(page.has_more);
    let position = |revision| StorePosition { era: 3, revision };
    assert_eq!(page.position, position(9));
    assert_eq!(page.items[0].position, position(5));
    assert_eq!(page.last_key.as_deref(), Some("op/config"));
    let watch = br#"{"events":[{"key":"servers/i-1","revision":7,"tombstone":true}],"as-of":9}"#;
    let watch = PlatformStore.decode_watch(3, watch).expect("changes");
    assert_eq!(watch.items[0].value, None);
    assert_eq!(watch.items[0].position, position(7));
    let target = PlatformStore.range_target(Some("servers/a b"));
    assert_eq!(target, "/kv-range?prefix=&after=servers%2Fa%20b");
}

/// Guards against decoders that panic on arbitrary bytes.
#[test]
fn decoders_do_not_panic_on_arbitrary_bytes() {
    fixed_seeds::check(|random| {
        let bytes: Vec<u8> = random.arbitrary()?;
        let _ = PlatformStore.decode_config(&bytes);
        let _ = PlatformStore.decode_entry(&bytes);
        let _ = PlatformStore.decode_page(0, &bytes);
        let _ = MeshSettings::from_bytes(&bytes);
        let mut framed = BytesMut::from(&(bytes.len() as u32).to_be_bytes()[..]);
        framed.extend_from_slice(&bytes);
        let _ = PeerFrame::decode(&mut framed);
        Ok(())
    });
}

/// Guards against a daemon that buffers messages of unlimited size.
#[test]
fn oversized_message_is_refused() {
    let mut bytes = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    assert!(PeerFrame::decode(&mut bytes).is_err());
}

/// Guards against settings errors that do not state the line and the key.
#[test]
fn settings_error_names_line_and_key() {
    let text = "instance = \"i\"\ngrace_s = \"long\"\n";
    let error = MeshSettings::from_bytes(text.as_bytes()).expect_err("a wrong type");
    assert!(error.to_string().contains("line 2"), "{error}");
    assert!(error.to_string().contains("grace_s"), "{error}");
}
