//! Names of the context headers; `docs/design.md` has the table.

use http::HeaderName;

/// Prefix of all context headers.
pub const PREFIX: &str = "skylark-";

/// W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Root request id and call id.
pub const REQUEST: HeaderName = HeaderName::from_static("skylark-request");
/// Attempt id, echoed on the answer.
pub const ATTEMPT: HeaderName = HeaderName::from_static("skylark-attempt");
/// Priority of the root request.
pub const PRIORITY: HeaderName = HeaderName::from_static("skylark-priority");
/// Remaining time in microseconds.
pub const DEADLINE_US: HeaderName = HeaderName::from_static("skylark-deadline-us");
/// Age of the root request in microseconds.
pub const AGE_US: HeaderName = HeaderName::from_static("skylark-age-us");
/// Extra attempts handed down.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("skylark-allowance");
/// Extra attempts not used.
pub const UNUSED: HeaderName = HeaderName::from_static("skylark-unused");
/// Hops from the entry.
pub const DEPTH: HeaderName = HeaderName::from_static("skylark-depth");
/// Cluster name.
pub const CLUSTER: HeaderName = HeaderName::from_static("skylark-cluster");
/// Service that sends the call.
pub const CALLER: HeaderName = HeaderName::from_static("skylark-caller");
/// Ticket of an at-most-once request.
pub const TICKET: HeaderName = HeaderName::from_static("skylark-ticket");
/// Mark of a repeated request.
pub const RETRY: HeaderName = HeaderName::from_static("skylark-retry");
/// Asks for the answer of an earlier attempt.
pub const RESUME: HeaderName = HeaderName::from_static("skylark-resume");
/// Outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("skylark-outcome");
/// Short code of a refusal.
pub const REASON: HeaderName = HeaderName::from_static("skylark-reason");
/// Admission thresholds of services on the way.
pub const THRESHOLD: HeaderName = HeaderName::from_static("skylark-threshold");
/// Incarnation of a daemon that is draining.
pub const LEAVING: HeaderName = HeaderName::from_static("skylark-leaving");
/// Incarnation of the daemon that responds.
pub const INCARNATION: HeaderName = HeaderName::from_static("skylark-incarnation");
/// Set to `1` by a backend server that drains.
pub const DRAIN: HeaderName = HeaderName::from_static("skylark-drain");
