//! Rules of the settings beyond their types.

use super::{DaemonSettings, settings_error::SettingsViolation};
use crate::{
    common::*,
    toml_location::{KeyStep, is_safe_name, key_path},
};

/// Most addresses to ask at start.
pub(super) const MAX_SEED_PEERS: usize = 64;
/// Most services that a backend server calls; the size to design for has 300 services.
pub(super) const MAX_CALLS: usize = 300;
/// Longest time for which a draining daemon refuses requests, in milliseconds. A mistyped time must
/// not keep a daemon that drains from ending.
pub(super) const MAX_REFUSAL_MS: u64 = 60_000;

type Violation = (Vec<KeyStep>, SettingsViolation);

/// Returns the first broken rule.
pub(super) fn validate(settings: &DaemonSettings) -> Result<(), Violation> {
    check_names(settings)?;
    check_addresses(settings)?;
    check_seed_peers(settings)?;
    check_calls(settings)?;
    let is_bounded = settings.refusal_ms <= MAX_REFUSAL_MS;
    let path = key_path!["refusal_ms"];
    ensure(is_bounded, path, SettingsViolation::RefusalTooLong)?;
    let is_single = settings.trace_endpoint.is_none() || settings.trace_file.is_none();
    let path = key_path!["trace_file"];
    ensure(is_single, path, SettingsViolation::TwoTraceExports)
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
        let is_valid = is_safe_name(name);
        ensure(is_valid, key_path![key], SettingsViolation::Name)
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
    let remotes = [
        ("platform", Some(settings.platform)),
        ("trace_endpoint", settings.trace_endpoint),
    ];
    let mut used: Vec<(&'static str, SocketAddr)> = Vec::new();
    // The backend server runs beside the daemon, so that it takes an address of the same host.
    for (key, address) in listeners.into_iter().chain([("backend", settings.backend)]) {
        ensure(
            address.port() != 0,
            key_path![key],
            SettingsViolation::NoPort,
        )?;
        let other = used.iter().find(|(_, other)| overlap(*other, address));
        check_unused(key, other.map(|(key, _)| *key))?;
        used.push((key, address));
    }
    check_host(key_path!["backend"], settings.backend)?;
    for (key, address) in remotes {
        let Some(address) = address else { continue };
        check_host(key_path![key], address)?;
        let other = used.iter().find(|(_, other)| *other == address);
        check_unused(key, other.map(|(key, _)| *key))?;
        used.push((key, address));
    }
    Ok(())
}

fn check_unused(key: &'static str, other: Option<&'static str>) -> Result<(), Violation> {
    match other {
        Some(other) => Err((key_path![key], SettingsViolation::SameAddress(other))),
        None => Ok(()),
    }
}

fn check_host(path: Vec<KeyStep>, address: SocketAddr) -> Result<(), Violation> {
    let has_port = address.port() != 0;
    ensure(has_port, path.clone(), SettingsViolation::NoPort)?;
    let has_host = !address.ip().is_unspecified();
    ensure(has_host, path, SettingsViolation::NoHost)
}

/// Returns whether two addresses of one host cannot be open at once.
fn overlap(first: SocketAddr, second: SocketAddr) -> bool {
    let is_any = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() == second.port() && (is_any || first.ip() == second.ip())
}

fn check_seed_peers(settings: &DaemonSettings) -> Result<(), Violation> {
    let peers = &settings.seed_peers;
    let is_bounded = peers.len() <= MAX_SEED_PEERS;
    let path = key_path!["seed_peers"];
    ensure(is_bounded, path, SettingsViolation::TooManySeedPeers)?;
    for (index, peer) in peers.iter().enumerate() {
        let path = || key_path!["seed_peers", index];
        check_host(path(), *peer)?;
        let is_other = *peer != settings.control;
        let violation = SettingsViolation::SameAddress("control");
        ensure(is_other, path(), violation)?;
        let is_new = !peers[..index].contains(peer);
        ensure(is_new, path(), SettingsViolation::Duplicate)?;
    }
    Ok(())
}

fn check_calls(settings: &DaemonSettings) -> Result<(), Violation> {
    let calls = &settings.calls;
    let is_bounded = calls.len() <= MAX_CALLS;
    ensure(
        is_bounded,
        key_path!["calls"],
        SettingsViolation::TooManyCalls,
    )?;
    for (index, service) in calls.iter().enumerate() {
        let path = || key_path!["calls", index];
        ensure(is_safe_name(service), path(), SettingsViolation::Name)?;
        let is_new = !calls[..index].contains(service);
        ensure(is_new, path(), SettingsViolation::Duplicate)?;
    }
    Ok(())
}
