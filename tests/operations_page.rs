//! Checks that `docs/OPERATIONS.md` describes the metrics and the profile keys of the code.

use prometheus_client::metrics::counter::Counter;
use skylarkstream::{
    controller::gate_controller::GateLoad,
    decision::{
        mesh::instance_selector::LoadReport, profile::service_profile::ServiceProfile,
        request_priority::RequestPriority,
    },
    mesh::{
        mesh_metrics::{MeshMetrics, ViewReport},
        store_contact::UpdateSource,
    },
    shell::metrics::DaemonMetrics,
};

use std::time::Duration;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// Guards against a metric that the page does not describe.
#[test]
fn page_describes_every_metric() {
    let load = GateLoad {
        queued_calls: 0,
        in_flight: 0,
        queued: 0,
        limit: 1,
    };
    let metrics = DaemonMetrics::new(&[], Counter::default());
    let mesh = MeshMetrics::new();
    mesh.count_request("r", "200", Duration::ZERO);
    mesh.count_store_update(UpdateSource::Watch);
    let mesh = mesh.text(LoadReport::default(), &ViewReport::default());
    let text = metrics.text(load, RequestPriority::LOWEST) + &mesh;
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for line in types {
        let (name, kind) = line.split_once(' ').unwrap();
        let suffix = if kind == "counter" { "_total" } else { "" };
        let name = format!("`{name}{suffix}");
        let is_described = ["`", "{"]
            .iter()
            .any(|end| PAGE.contains(&format!("{name}{end}")));
        assert!(is_described, "{name}");
    }
}

/// Guards against a profile key that the page does not describe, or a wrong default in the page.
#[test]
fn page_lists_every_profile_key_with_its_default() {
    let profile: ServiceProfile = "name = \"p\"\ndefault_class = \"a\"\nclasses = { a = 0 }\n"
        .parse()
        .unwrap();
    let mut table = String::new();
    for line in profile.canonical().lines() {
        if let Some(name) = line.strip_prefix('[') {
            table = format!("{}.", name.trim_end_matches(']'));
        }
        let Some((key, value)) = line.split_once(" = ") else {
            continue;
        };
        if key.ends_with("_ms") || !["", "classes."].contains(&table.as_str()) {
            let value = value.trim_matches('"');
            let rows = [value.to_owned(), format!("`{value}`")]
                .map(|value| format!("| `{table}{key}` | {value} |"));
            assert!(rows.iter().any(|row| PAGE.contains(row)), "{}", rows[0]);
        }
    }
}
