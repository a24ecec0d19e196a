//! Decoding and validation of settings.

mod fixed_seeds;

use insta::assert_snapshot;
use skylarkstream::settings::{DaemonSettings, InvalidSettings, MAX_SETTINGS_BYTES};
use std::fmt::Write;

const SETTINGS: &str = r#"cluster = "c"
data_centre = "north"
instance = "gate-status-1"
service = "gate-status"
backend = "127.0.0.1:8080"
edge = "10.0.0.1:7000"
peer = "10.0.0.1:7001"
control = "10.0.0.1:7002"
outbound = "127.0.0.1:7003"
admin = "0.0.0.0:7004"
platform = "10.0.0.9:7004"
seed_peers = ["10.0.0.2:7002", "10.0.0.3:7002"]
calls = ["documents"]
trace_endpoint = "10.0.0.8:4318"
[log]
level = "debug"
format = "json"
"#;

fn load_result(text: &str) -> String {
    match DaemonSettings::from_bytes(text.as_bytes()) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Guards against invalid settings that are accepted, and against messages without line and key.
#[test]
fn errors_name_line_and_key() {
    let cases = [
        ("valid", "", ""),
        ("unknown key", "cluster =", "clusters ="),
        ("missing key", "cluster = \"c\"", ""),
        ("unknown nested key", "level =", "levels ="),
        ("unknown level", "\"debug\"", "\"loud\""),
        ("address", "10.0.0.1:7000", "localhost:7000"),
        ("port", "10.0.0.1:7000", "10.0.0.1:0"),
        ("host", "10.0.0.9", "0.0.0.0"),
        ("same listener", "10.0.0.1:7002", "10.0.0.1:7001"),
        ("listener on all hosts", "127.0.0.1:8080", "127.0.0.1:7004"),
        ("own platform", "10.0.0.9:7004", "10.0.0.1:7000"),
        ("empty name", "\"c\"", "\"\""),
        ("unsafe name", "\"north\"", "\"north/../south\""),
        ("long name", "\"c\"", &format!("\"{}\"", "c".repeat(65))),
        ("own control as seed peer", "10.0.0.3:7002", "10.0.0.1:7002"),
        ("seed peer twice", "10.0.0.3:7002", "10.0.0.2:7002"),
        (
            "call twice",
            "[\"documents\"]",
            "[\"documents\", \"documents\"]",
        ),
        ("longest refusal", "[log]", "refusal_ms = 60000\n[log]"),
        ("too long refusal", "[log]", "refusal_ms = 60001\n[log]"),
        ("two exports", "[log]", "trace_file = \"t\"\n[log]"),
    ];
    let mut report = String::new();
    for (case, from, to) in cases {
        let result = load_result(&SETTINGS.replacen(from, to, 1));
        writeln!(report, "{case}: {result}").unwrap();
    }
    assert_snapshot!(report);
}

/// Guards against oversized or undecodable files that are accepted.
#[test]
fn oversized_and_undecodable_settings_are_refused() {
    let large = format!("{SETTINGS}#{}", "x".repeat(MAX_SETTINGS_BYTES));
    assert_eq!(
        DaemonSettings::from_bytes(large.as_bytes()).err(),
        Some(InvalidSettings::TooLarge(large.len()))
    );
    assert_eq!(
        DaemonSettings::from_bytes(b"cluster = \"c\"\n\n\xff").err(),
        Some(InvalidSettings::Encoding { line: 3 })
    );
}

/// Guards against a decoder that panics, and against results or messages that differ between two
/// decodings of the same bytes.
#[test]
fn decoding_is_deterministic() {
    fixed_seeds::check(|u| {
        let mut bytes = SETTINGS.as_bytes().to_vec();
        for _ in 0..u.int_in_range(0..=4)? {
            let start = u.choose_index(bytes.len())?;
            let end = (start + u.int_in_range(0..=20)?).min(bytes.len() - 1);
            bytes[start] = u.arbitrary()?;
            let patch = bytes[start..end].repeat(u.int_in_range(0..=2)?);
            bytes.splice(start..end, patch);
        }
        let result = || {
            DaemonSettings::from_bytes(&bytes)
                .map(|settings| format!("{settings:?}"))
                .map_err(|error| error.to_string())
        };
        assert_eq!(result(), result());
        Ok(())
    });
}
