//! Validation rules of the profile format beyond those that decoding checks.

use super::{
    profile_error::RuleViolation, refusal_rule::RefusalRule, route_rule::RouteRule,
    service_profile::ServiceProfile,
};
use crate::{
    common::*,
    decision::request_priority::LOWEST_CLASS,
    toml_location::{KeyStep, is_valid_name, key_path},
};

/// Maximum number of classes in a profile.
pub const MAX_CLASSES: usize = 32;
/// Maximum number of routes in a profile.
pub const MAX_ROUTES: usize = 1_024;
/// Maximum number of refusal rules in a profile.
pub const MAX_REFUSALS: usize = 16;

/// Maximum number of requests in flight, and of requests queued, at one backend server.
const MAX_REQUESTS: u32 = 10_000;
/// Longest deadline, in milliseconds. Requests without a deadline get the same limit of one hour.
const MAX_DEADLINE_MS: u32 = 3_600_000;
const MAX_QUEUE_WAIT_MS: u32 = 60_000;
const MAX_ALLOWANCE: u32 = 16;
const MAX_RETRY_AFTER_MS: u32 = 600_000;
const MAX_TICKET_LIFETIME_S: u32 = 3_600;
const MAX_RAMP_TIME_MS: u32 = 600_000;
const MIN_PROGRESS_TIME_MS: u32 = 10;
const MAX_PROGRESS_TIME_MS: u32 = 60_000;
const MAX_PATH_BYTES: usize = 512;
const MAX_METHOD_BYTES: usize = 16;
const MAX_HEADER_NAME_BYTES: usize = 64;
const MAX_HEADER_VALUE_BYTES: usize = 128;

/// Violated rule with the path of the key that violates it.
pub(super) type Violation = (Vec<KeyStep>, RuleViolation);

/// Returns the first violated rule, in an order that depends on the profile alone.
pub(super) fn validate(profile: &ServiceProfile) -> Result<(), Violation> {
    ensure(
        is_valid_name(&profile.name),
        key_path!["name"],
        RuleViolation::Name,
    )?;
    check_classes(profile)?;
    check_limits(profile)?;
    check_routes(profile)?;
    check_refusals(&profile.refusals)
}

fn ensure(is_valid: bool, path: Vec<KeyStep>, violation: RuleViolation) -> Result<(), Violation> {
    if is_valid {
        Ok(())
    } else {
        Err((path, violation))
    }
}

fn check_classes(profile: &ServiceProfile) -> Result<(), Violation> {
    let classes = &profile.classes;
    let path = || key_path!["classes"];
    ensure(!classes.is_empty(), path(), RuleViolation::NoClass)?;
    let is_bounded = classes.len() <= MAX_CLASSES;
    ensure(is_bounded, path(), RuleViolation::TooManyClasses)?;
    for (name, level) in classes {
        let path = key_path!["classes", name.as_str()];
        ensure(is_valid_name(name), path.clone(), RuleViolation::Name)?;
        let violation = RuleViolation::ClassLevel(name.clone());
        ensure(*level <= LOWEST_CLASS, path, violation)?;
    }
    check_class_reference(profile, &profile.default_class, key_path!["default_class"])
}

fn check_class_reference(
    profile: &ServiceProfile,
    class: &SmolStr,
    path: Vec<KeyStep>,
) -> Result<(), Violation> {
    let is_declared = profile.classes.contains_key(class);
    let bounded_name = class.chars().take(MAX_HEADER_NAME_BYTES).collect();
    ensure(is_declared, path, RuleViolation::UnknownClass(bounded_name))
}

fn check_limits(profile: &ServiceProfile) -> Result<(), Violation> {
    let admission = &profile.admission;
    let retry = &profile.retry;
    let ranges = [
        (
            "",
            "unmatched_deadline_ms",
            profile.unmatched_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        ),
        (
            "admission",
            "min_concurrency",
            admission.min_concurrency,
            1,
            MAX_REQUESTS,
        ),
        (
            "admission",
            "initial_concurrency",
            admission.initial_concurrency,
            1,
            MAX_REQUESTS,
        ),
        (
            "admission",
            "max_concurrency",
            admission.max_concurrency,
            1,
            MAX_REQUESTS,
        ),
        (
            "admission",
            "queue_length",
            admission.queue_length,
            0,
            MAX_REQUESTS,
        ),
        (
            "admission",
            "queue_wait_ms",
            admission.queue_wait_ms,
            0,
            MAX_QUEUE_WAIT_MS,
        ),
        (
            "retry",
            "allowance",
            retry.allowance.into(),
            0,
            MAX_ALLOWANCE,
        ),
        (
            "retry",
            "budget_percent",
            retry.budget_percent.into(),
            0,
            100,
        ),
        (
            "retry",
            "retry_after_ms",
            retry.retry_after_ms,
            1,
            MAX_RETRY_AFTER_MS,
        ),
        (
            "retry",
            "retry_after_window_ms",
            retry.retry_after_window_ms,
            0,
            MAX_RETRY_AFTER_MS,
        ),
        (
            "ticket",
            "lifetime_s",
            profile.ticket.lifetime_s,
            1,
            MAX_TICKET_LIFETIME_S,
        ),
        (
            "upstream",
            "ramp_time_ms",
            profile.upstream.ramp_time_ms,
            0,
            MAX_RAMP_TIME_MS,
        ),
        (
            "upstream",
            "progress_time_ms",
            profile.upstream.progress_time_ms,
            MIN_PROGRESS_TIME_MS,
            MAX_PROGRESS_TIME_MS,
        ),
    ];
    for (table, key, value, min, max) in ranges {
        let path = if table.is_empty() {
            key_path![key]
        } else {
            key_path![table, key]
        };
        let violation = RuleViolation::Range { value, min, max };
        ensure((min..=max).contains(&value), path, violation)?;
    }
    let is_ordered = admission.min_concurrency <= admission.initial_concurrency
        && admission.initial_concurrency <= admission.max_concurrency;
    let path = key_path!["admission", "initial_concurrency"];
    ensure(is_ordered, path, RuleViolation::ConcurrencyOrder)
}

fn check_routes(profile: &ServiceProfile) -> Result<(), Violation> {
    let routes = &profile.routes;
    let is_bounded = routes.len() <= MAX_ROUTES;
    ensure(
        is_bounded,
        key_path!["routes"],
        RuleViolation::TooManyRoutes,
    )?;
    for (index, route) in routes.iter().enumerate() {
        let path = |key: &str| key_path!["routes", index, key];
        ensure(
            is_valid_path(&route.path),
            path("path"),
            RuleViolation::Path,
        )?;
        let is_valid = route
            .method
            .as_ref()
            .is_none_or(|method| is_valid_method(method));
        ensure(is_valid, path("method"), RuleViolation::Method)?;
        check_class_reference(profile, &route.class, path("class"))?;
        let (value, min, max) = (route.deadline_ms, 1, MAX_DEADLINE_MS);
        let violation = RuleViolation::Range { value, min, max };
        ensure((min..=max).contains(&value), path("deadline_ms"), violation)?;
        if let Some(earlier) = routes[..index].iter().position(|rule| shadows(rule, route)) {
            let violation = RuleViolation::Unreachable { earlier };
            return Err((path("path"), violation));
        }
    }
    Ok(())
}

/// Returns whether `earlier` matches every request that `later` matches.
fn shadows(earlier: &RouteRule, later: &RouteRule) -> bool {
    let matches_method = earlier.method.is_none() || earlier.method == later.method;
    matches_method && earlier.matches_path(&later.path)
}

fn check_refusals(refusals: &[RefusalRule]) -> Result<(), Violation> {
    let is_bounded = refusals.len() <= MAX_REFUSALS;
    ensure(
        is_bounded,
        key_path!["refusals"],
        RuleViolation::TooManyRefusals,
    )?;
    for (index, refusal) in refusals.iter().enumerate() {
        let path = |key: &str| key_path!["refusals", index, key];
        let (value, min, max) = (refusal.status.into(), 400, 599);
        let violation = RuleViolation::Range { value, min, max };
        ensure((min..=max).contains(&value), path("status"), violation)?;
        let is_valid = is_valid_header_name(&refusal.header);
        ensure(is_valid, path("header"), RuleViolation::HeaderName)?;
        let is_valid = refusal
            .value
            .as_ref()
            .is_none_or(|value| is_valid_header_value(value));
        ensure(is_valid, path("value"), RuleViolation::HeaderValue)?;
    }
    Ok(())
}

/// Returns whether the canonical form can contain a text without escapes.
fn needs_no_escape(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\')
}

fn is_valid_path(path: &str) -> bool {
    path.len() <= MAX_PATH_BYTES
        && path.starts_with('/')
        && needs_no_escape(path)
        && !path.contains(['?', '#'])
}

fn is_valid_method(method: &str) -> bool {
    (1..=MAX_METHOD_BYTES).contains(&method.len())
        && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

fn is_valid_header_name(name: &str) -> bool {
    let is_char = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_HEADER_NAME_BYTES).contains(&name.len())
        && name.bytes().all(is_char)
        && !name.starts_with("skylark-")
}

fn is_valid_header_value(value: &str) -> bool {
    (1..=MAX_HEADER_VALUE_BYTES).contains(&value.len()) && needs_no_escape(value)
}
