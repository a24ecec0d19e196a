//! Reads and writes context headers.

use crate::{
    common::*,
    decision::{
        request_context::{AttemptId, CallId, RequestContext, RequestId},
        run_outcome::RunOutcome,
    },
    filter::request_error::RequestError,
    shell::header_names,
};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Parses the value of a header; `None` if the header is missing.
pub fn parse<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or_else(|| RequestError::BadHeader(name.as_str().into()))
}

/// Returns whether a flag header has the value `1`.
pub fn is_set(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "1")
}

/// Reads the outcome that a daemon reports; a missing or invalid one counts as unknown.
pub fn outcome(headers: &HeaderMap) -> RunOutcome {
    parse(headers, &header_names::OUTCOME)
        .unwrap_or_default()
        .unwrap_or(RunOutcome::Unknown)
}

/// Reads the trace id and the parent span id of a `traceparent` header.
pub fn trace_parent(headers: &HeaderMap) -> Option<(RequestId, CallId)> {
    let text = headers.get(header_names::TRACEPARENT)?.to_str().ok()?;
    let mut parts = text.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok().filter(|id| *id != 0)?;
    let span = u64::from_str_radix(span, 16).ok().filter(|id| *id != 0)?;
    Some((RequestId(trace), CallId(span)))
}

/// Reads the root request and the call that a backend server propagates with its own calls.
pub fn propagated_call(headers: &HeaderMap) -> Option<(RequestId, CallId)> {
    let propagated = headers.get(header_names::REQUEST).and_then(|value| {
        let (trace, call) = value.to_str().ok()?.split_once('-')?;
        Some((
            RequestId(u128::from_str_radix(trace, 16).ok()?),
            CallId(u64::from_str_radix(call, 16).ok()?),
        ))
    });
    propagated.or_else(|| trace_parent(headers))
}

/// Removes all context headers.
pub fn strip_context(headers: &mut HeaderMap) {
    let names: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(header_names::PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers, which concern a single connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    const NAMES: [&str; 6] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "transfer-encoding",
        "upgrade",
    ];
    for name in NAMES {
        headers.remove(name);
    }
}

/// Inserts a header; does nothing if `value` is not valid in a header.
pub fn insert(headers: &mut HeaderMap, name: HeaderName, value: impl Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Writes the context headers for a backend server, which propagates them with its own calls.
pub fn write_backend_context(headers: &mut HeaderMap, context: &RequestContext, now: Instant) {
    let RequestContext { request, call, .. } = context;
    insert(
        headers,
        header_names::TRACEPARENT,
        format_args!("00-{request}-{call}-01"),
    );
    insert(
        headers,
        header_names::REQUEST,
        format_args!("{request}-{call}"),
    );
    write_deadline(headers, context, now);
}

/// Writes the remaining time until the deadline.
pub fn write_deadline(headers: &mut HeaderMap, context: &RequestContext, now: Instant) {
    let remaining_time = context.deadline.saturating_duration_since(now);
    insert(
        headers,
        header_names::DEADLINE_US,
        remaining_time.as_micros(),
    );
}

/// Writes the remaining time and the age of a request, both as of `now`.
pub fn write_times(headers: &mut HeaderMap, context: &RequestContext, now: Instant) {
    write_deadline(headers, context, now);
    let age = now.saturating_duration_since(context.entered);
    insert(headers, header_names::AGE_US, age.as_micros());
}

/// Header values of an outgoing attempt that are not part of the context of its call.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Attempt id, which is also the span id of the attempt.
    pub attempt: AttemptId,
    /// Extra attempts that the receiver may use for the request.
    pub allowance: u16,
    /// Cluster name.
    pub cluster: &'a str,
    /// Calling service.
    pub service: &'a str,
}

/// Writes the context headers of an attempt at another daemon, except for the times.
pub fn write_peer_context(
    headers: &mut HeaderMap,
    context: &RequestContext,
    attempt: &AttemptHeaders,
) {
    let request = context.request;
    let id = attempt.attempt;
    insert(
        headers,
        header_names::TRACEPARENT,
        format_args!("00-{request}-{id}-01"),
    );
    insert(headers, header_names::ATTEMPT, id);
    insert(headers, header_names::PRIORITY, context.priority);
    insert(headers, header_names::ALLOWANCE, attempt.allowance);
    insert(headers, header_names::DEPTH, context.depth + 1);
    insert(headers, header_names::CLUSTER, attempt.cluster);
    insert(headers, header_names::CALLER, attempt.service);
}
