//! Validation rules for settings beyond their types.

use super::{DaemonSettings, settings_error::SettingsViolation};
use crate::{
    common::*,
    toml_location::{KeyStep, is_valid_name, key_path},
};

/// Maximum number of seed peers.
pub(super) const MAX_SEED_PEERS: usize = 64;
/// Maximum number of services that a backend server calls. The design size is 300 services in all.
pub(super) const MAX_CALLS: usize = 300;
/// Longest time for which a draining daemon refuses requests, in milliseconds. The bound keeps a
/// mistyped time from delaying the exit of a draining daemon indefinitely.
pub(super) const MAX_REFUSAL_MS: u64 = 60_000;

/// Violated rule with the path of the invalid value.
type Violation = (Vec<KeyStep>, SettingsViolation);

/// Returns the first violated rule.
pub(super) fn validate(settings: &DaemonSettings) -> Result<(), Violation> {
    check_names(settings)?;
    check_addresses(settings)?;
    check_seed_peers(settings)?;
    check_calls(settings)?;
    let is_within_limit = settings.refusal_ms <= MAX_REFUSAL_MS;
    let path = key_path!["refusal_ms"];
    ensure(is_within_limit, path, SettingsViolation::RefusalTimeTooLong)?;
    let has_one_export = settings.trace_endpoint.is_none() || settings.trace_file.is_none();
    let path = key_path!["trace_file"];
    ensure(
        has_one_export,
        path,
        SettingsViolation::MultipleTraceExports,
    )
}

fn ensure(
    is_valid: bool,
    path: Vec<KeyStep>,
    violation: SettingsViolation,
) -> Result<(), Violation> {
    if is_valid {
        Ok(())
    } else {
        Err((path, violation))
    }
}

fn check_names(settings: &DaemonSettings) -> Result<(), Violation> {
    let names = [
        ("cluster", &settings.cluster),
        ("data_centre", &settings.data_centre),
        ("instance", &settings.instance),
        ("service", &settings.service),
    ];
    names.into_iter().try_for_each(|(key, name)| {
        let is_valid = is_valid_name(name);
        ensure(is_valid, key_path![key], SettingsViolation::InvalidName)
    })
}

fn check_addresses(settings: &DaemonSettings) -> Result<(), Violation> {
    let listeners = [
        ("edge", settings.edge),
        ("peer", settings.peer),
        ("outbound", settings.outbound),
        ("control", settings.control),
        ("admin", settings.admin),
    ];
    let remote_addresses = [
        ("platform", Some(settings.platform)),
        ("trace_endpoint", settings.trace_endpoint),
    ];
    let mut used: Vec<(&'static str, SocketAddr)> = Vec::new();
    // The backend server runs on the same host, so its address must not conflict with a listener.
    for (key, address) in listeners.into_iter().chain([("backend", settings.backend)]) {
        ensure(
            address.port() != 0,
            key_path![key],
            SettingsViolation::ZeroPort,
        )?;
        let other = used
            .iter()
            .find(|(_, other)| conflict_on_host(*other, address));
        check_not_in_use(key, other.map(|(key, _)| *key))?;
        used.push((key, address));
    }
    check_remote_address(key_path!["backend"], settings.backend)?;
    for (key, address) in remote_addresses {
        let Some(address) = address else { continue };
        check_remote_address(key_path![key], address)?;
        let other = used.iter().find(|(_, other)| *other == address);
        check_not_in_use(key, other.map(|(key, _)| *key))?;
        used.push((key, address));
    }
    Ok(())
}

fn check_not_in_use(key: &'static str, other: Option<&'static str>) -> Result<(), Violation> {
    match other {
        Some(other) => Err((key_path![key], SettingsViolation::AddressInUse(other))),
        None => Ok(()),
    }
}

fn check_remote_address(path: Vec<KeyStep>, address: SocketAddr) -> Result<(), Violation> {
    let has_port = address.port() != 0;
    ensure(has_port, path.clone(), SettingsViolation::ZeroPort)?;
    let has_host = !address.ip().is_unspecified();
    ensure(has_host, path, SettingsViolation::UnspecifiedHost)
}

/// Returns whether two listeners on one host cannot be bound to these addresses at the same time.
fn conflict_on_host(first: SocketAddr, second: SocketAddr) -> bool {
    let has_wildcard = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() == second.port() && (has_wildcard || first.ip() == second.ip())
}

fn check_seed_peers(settings: &DaemonSettings) -> Result<(), Violation> {
    let peers = &settings.seed_peers;
    let is_within_limit = peers.len() <= MAX_SEED_PEERS;
    let path = key_path!["seed_peers"];
    ensure(is_within_limit, path, SettingsViolation::TooManySeedPeers)?;
    for (index, peer) in peers.iter().enumerate() {
        let path = || key_path!["seed_peers", index];
        check_remote_address(path(), *peer)?;
        let is_not_self = *peer != settings.control;
        let violation = SettingsViolation::AddressInUse("control");
        ensure(is_not_self, path(), violation)?;
        let is_unique = !peers[..index].contains(peer);
        ensure(is_unique, path(), SettingsViolation::Duplicate)?;
    }
    Ok(())
}

fn check_calls(settings: &DaemonSettings) -> Result<(), Violation> {
    let calls = &settings.calls;
    let is_within_limit = calls.len() <= MAX_CALLS;
    ensure(
        is_within_limit,
        key_path!["calls"],
        SettingsViolation::TooManyCalls,
    )?;
    for (index, service) in calls.iter().enumerate() {
        let path = || key_path!["calls", index];
        ensure(
            is_valid_name(service),
            path(),
            SettingsViolation::InvalidName,
        )?;
        let is_unique = !calls[..index].contains(service);
        ensure(is_unique, path(), SettingsViolation::Duplicate)?;
    }
    Ok(())
}
