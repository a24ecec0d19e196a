//! Reading and writing of context headers.

use crate::{
    common::*,
    decision::{
        request_context::{AttemptId, CallId, RequestContext, RequestId},
        run_outcome::RunOutcome,
    },
    filter::refusal::RefusalError,
    shell::header_names,
};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Reads a header of any type that parses from text.
pub fn parse<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, RefusalError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or_else(|| RefusalError::BadHeader(name.as_str().into()))
}

/// Returns whether a mark is set.
pub fn is_set(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "1")
}

/// Reads the outcome that a daemon reports; without one it is unknown.
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

/// Reads the root request and call that a backend server copied to its own call.
pub fn copied_call(headers: &HeaderMap) -> Option<(RequestId, CallId)> {
    let copied = headers.get(header_names::REQUEST).and_then(|value| {
        let (trace, call) = value.to_str().ok()?.split_once('-')?;
        Some((
            RequestId(u128::from_str_radix(trace, 16).ok()?),
            CallId(u64::from_str_radix(call, 16).ok()?),
        ))
    });
    copied.or_else(|| trace_parent(headers))
}

/// Removes all context headers.
pub fn strip(headers: &mut HeaderMap) {
    let names: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(header_names::PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes the headers that concern a single connection.
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

/// Inserts a header; values that are not valid header text are left out.
pub fn insert(headers: &mut HeaderMap, name: HeaderName, value: impl Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Writes the headers that a backend server copies and acts on.
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

/// Writes the time that is left until the deadline.
pub fn write_deadline(headers: &mut HeaderMap, context: &RequestContext, now: Instant) {
    let left = context.deadline.saturating_duration_since(now);
    insert(headers, header_names::DEADLINE_US, left.as_micros());
}

/// Writes the times of an attempt as they are when it is sent.
pub fn write_times(headers: &mut HeaderMap, context: &RequestContext, now: Instant) {
    write_deadline(headers, context, now);
    let age = now.saturating_duration_since(context.entered);
    insert(headers, header_names::AGE_US, age.as_micros());
}

/// Fields that an outgoing attempt adds to the context of its call.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Attempt id; also the span id of the attempt.
    pub attempt: AttemptId,
    /// Extra attempts handed down.
    pub slice: u16,
    /// Cluster name.
    pub cluster: &'a str,
    /// Service that sends the call.
    pub service: &'a str,
}

/// Writes the headers of an attempt to another daemon.
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
    insert(headers, header_names::ALLOWANCE, attempt.slice);
    insert(headers, header_names::DEPTH, context.depth + 1);
    insert(headers, header_names::CLUSTER, attempt.cluster);
    insert(headers, header_names::CALLER, attempt.service);
}
