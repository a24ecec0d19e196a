//! Organisations, keys and priorities of a configuration, without I/O.

use crate::route_table::route;
use skylarkstream::{
    decision::{
        mesh::route_table::RouteTable,
        organisation::{
            caller_identity::{IdentityError, identify},
            config_currency::{ConfigCurrency, KeyRules},
            priority_ranks::PriorityRanks,
        },
    },
    mesh::store_interface::StoreFormat,
    platform::store_format::PlatformStore,
};
use std::time::{Duration, Instant};

const ORGANISATIONS: &str = r#"{"name":"first","api-keys":["key-1","key-2"],"priority":0,
    "rate-per-s":9.5,"burst":3},{"name":"second","api-keys":["key-3"],"priority":1},
    {"name":"empty","api-keys":[],"priority":1}"#;

fn decode(organisations: &str) -> Result<RouteTable, String> {
    let text = format!(
        r#"{{"version":"r2","routes":[{{"name":"a","hostname":"h","prefix":"/a/",
        "route-type":"safe","timeout-s":1,"target-latency-s":1,"priority":2,"service":"s",
        "max-attempts":2,"allow-anonymous":false}}],"services":[{{"name":"s"}}],
        "tenants":[{organisations}]}}"#
    );
    let table = PlatformStore.decode_config(text.as_bytes());
    table.map_err(|error| error.to_string())
}

fn identity(
    table: &RouteTable,
    is_open: bool,
    keys: &[&str],
) -> Result<Option<String>, IdentityError> {
    let organisations = table.organisations().expect("organisations");
    let keys = keys.iter().map(|key| key.as_bytes());
    let organisation = identify(organisations, is_open, keys)?;
    Ok(organisation.map(|organisation| organisation.name.to_string()))
}

/// Guards against callers that get another organisation, or one without a valid key.
#[test]
fn key_decides_the_organisation() {
    let table = decode(ORGANISATIONS).expect("a table");
    assert_eq!(
        identity(&table, false, &["key-2"]),
        Ok(Some("first".into()))
    );
    assert_eq!(
        identity(&table, false, &[" key-3 "]),
        Ok(Some("second".into()))
    );
    assert_eq!(identity(&table, false, &[]), Err(IdentityError::MissingKey));
    for keys in [&["key-4"][..], &[""], &["KEY-1"], &["key-1", "key-3"]] {
        assert_eq!(
            identity(&table, false, keys),
            Err(IdentityError::UnknownKey)
        );
    }
    assert_eq!(identity(&table, true, &["key-4"]), Ok(None));
    assert_eq!(identity(&table, true, &[]), Ok(None));
    let organisations = table.organisations().expect("organisations");
    let first = organisations.by_name("first").expect("an organisation");
    assert_eq!(first.allotment.map(|allotment| allotment.rate), Some(9.5));
    assert!(
        organisations
            .by_name("second")
            .expect("one")
            .allotment
            .is_none()
    );
    assert!(organisations.by_name("empty").expect("one").keys.is_empty());
}

/// Guards against a part of an invalid configuration being applied, and against keys in messages.
#[test]
fn invalid_organisations_reject_the_configuration() {
    let invalid = [
        (
            r#"{"name":"a","api-keys":["secret-1"]},{"name":"b","api-keys":["secret-1"]}"#,
            "`a` and `b`",
        ),
        (
            r#"{"name":"a","api-keys":[]},{"name":"a","api-keys":[]}"#,
            "Two organisations",
        ),
        (r#"{"name":"","api-keys":["secret-1"]}"#, "no name"),
        (r#"{"api-keys":["secret-1"]}"#, "no name"),
        (r#"{"name":"a b","api-keys":["secret-1"]}"#, "header"),
        (
            r#"{"name":"a","api-keys":["secret-1\r\nX: y"]}"#,
            "not valid",
        ),
        (r#"{"name":"a","api-keys":[""]}"#, "not valid"),
        (r#"{"name":"a","api-keys":"secret-1"}"#, "Data error"),
        (r#"{"name":"a","api-keys":[],"rate-per-s":-1}"#, "allotment"),
        (
            r#"{"name":"a","api-keys":[],"rate-per-s":1e300}"#,
            "allotment",
        ),
        (
            r#"{"name":"a","api-keys":[],"rate-per-s":5,"burst":-5}"#,
            "allotment",
        ),
    ];
    for (organisations, expected) in invalid {
        let error = decode(organisations).expect_err("an error");
        assert!(error.contains(expected), "{organisations}: {error}");
        assert!(!error.contains("secret"), "{error}");
    }
}

/// Guards against routes to nowhere, which would fail each of their requests.
#[test]
fn invalid_routes_reject_the_configuration() {
    let valid = r#"{"version":"r2","routes":[{"name":"a","hostname":"h","prefix":"/a/",
        "route-type":"safe","timeout-s":1,"target-latency-s":1,"priority":2,"service":"s",
        "max-attempts":2}],"services":[{"name":"s"}]}"#;
    assert!(PlatformStore.decode_config(valid.as_bytes()).is_ok());
    let changes = [
        (r#""hostname":"h""#, r#""hostname":"""#),
        ("/a/", "a/"),
        ("/a/", "/a"),
        (r#""service":"s""#, r#""service":"t""#),
        (r#""service":"s","#, ""),
        (r#""timeout-s":1"#, r#""timeout-s":-1"#),
        (r#""version":"r2""#, r#""version":"2""#),
    ];
    for (from, to) in changes {
        let text = valid.replace(from, to);
        assert!(
            PlatformStore.decode_config(text.as_bytes()).is_err(),
            "{to}"
        );
    }
}

/// Guards against `Debug` output, which may reach a log, that shows a key.
#[test]
fn debug_output_hides_keys() {
    let table = decode(ORGANISATIONS).expect("a table");
    assert!(!format!("{table:?}").contains("key-"));
}

/// Guards against a route's priority that goes before that of the organisation.
#[test]
fn priority_of_the_organisation_goes_first() {
    let ranks = PriorityRanks::new([0, 3].into_iter(), [2, 0, 1].into_iter());
    assert_eq!(ranks.rank(Some(0), 0), 0);
    assert_eq!(ranks.rank(Some(0), 2), 2);
    assert_eq!(ranks.rank(Some(3), 0), 3);
    assert_eq!(ranks.rank(None, 1), 4);
    let many = PriorityRanks::new(0..20, 0..20);
    assert_eq!(many.rank(Some(19), 19), 5);
    let plain = crate::route_table::table(vec![route("a", "/a/", 2, &[("s", 1)])]);
    let only = plain.by_name("a").expect("a route");
    assert_eq!(plain.rank(None, only), 2);
}

/// Guards against a daemon out of touch that refuses its callers, unless the operator wants it.
#[test]
fn open_daemon_out_of_touch_accepts_known_keys() {
    let now = Instant::now();
    let currency = ConfigCurrency::new(KeyRules::default());
    assert!(currency.accepts_keys(now + Duration::from_secs(3_600)));
}

/// Guards against keys that are accepted long after they were taken away.
#[test]
fn closed_daemon_out_of_touch_refuses_keys_in_time() {
    let rules = KeyRules {
        fail_closed: true,
        revoke_s: 5.0,
    };
    let now = Instant::now();
    let mut currency = ConfigCurrency::new(rules);
    assert!(!currency.accepts_keys(now));
    currency.confirm(now);
    assert!(currency.accepts_keys(now + Duration::from_secs(5)));
    assert!(!currency.accepts_keys(now + Duration::from_millis(5_100)));
    currency.confirm(now + Duration::from_secs(8));
    assert!(currency.accepts_keys(now + Duration::from_secs(12)));
}
