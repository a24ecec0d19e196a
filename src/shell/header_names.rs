//! Names of the context headers; `docs/design.md` describes them.

use http::HeaderName;

/// Prefix of all context headers.
pub const PREFIX: &str = "skylark-";

/// W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Root request id and call id.
pub const REQUEST: HeaderName = HeaderName::from_static("skylark-request");
/// Attempt id, which the response repeats.
pub const ATTEMPT: HeaderName = HeaderName::from_static("skylark-attempt");
/// Priority of the root request.
pub const PRIORITY: HeaderName = HeaderName::from_static("skylark-priority");
/// Remaining time of the request, in microseconds.
pub const DEADLINE_US: HeaderName = HeaderName::from_static("skylark-deadline-us");
/// Age of the root request, in microseconds.
pub const AGE_US: HeaderName = HeaderName::from_static("skylark-age-us");
/// Extra attempts that the receiver and its nested calls may use.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("skylark-allowance");
/// Extra attempts of the allowance that were not used.
pub const UNUSED: HeaderName = HeaderName::from_static("skylark-unused");
/// Number of hops from the entry.
pub const DEPTH: HeaderName = HeaderName::from_static("skylark-depth");
/// Cluster of the sender.
pub const CLUSTER: HeaderName = HeaderName::from_static("skylark-cluster");
/// Service that makes the call.
pub const CALLER: HeaderName = HeaderName::from_static("skylark-caller");
/// Ticket of an at-most-once request.
pub const TICKET: HeaderName = HeaderName::from_static("skylark-ticket");
/// Marks the request as a retry by its caller.
pub const RETRY: HeaderName = HeaderName::from_static("skylark-retry");
/// Requests the response of an attempt that was sent before.
pub const RESUME: HeaderName = HeaderName::from_static("skylark-resume");
/// Whether the request was run: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("skylark-outcome");
/// Reason of a refusal, as a short code.
pub const REASON: HeaderName = HeaderName::from_static("skylark-reason");
/// Admission thresholds of the responding service and of services that it calls.
pub const THRESHOLD: HeaderName = HeaderName::from_static("skylark-threshold");
/// Incarnation of the responding daemon if it is draining.
pub const LEAVING: HeaderName = HeaderName::from_static("skylark-leaving");
/// Incarnation of the responding daemon.
pub const INCARNATION: HeaderName = HeaderName::from_static("skylark-incarnation");
/// Set to `1` by a backend server that is draining.
pub const DRAIN: HeaderName = HeaderName::from_static("skylark-drain");
