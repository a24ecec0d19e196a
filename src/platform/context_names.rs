//! Headers that the platform's clients and backend servers use.

use crate::mesh::context_headers::ContextHeaders;

/// Returns the names of the headers that carry the context of a request.
pub fn context_headers() -> ContextHeaders {
    ContextHeaders {
        attempt: "Attempt-Id",
        deadline_ms: "Deadline-Ms",
        // The platform's name suggests a digest of the content; it names the run that made the answer.
        signature: "Server-Signature",
        expected_instance: "Expect-Instance",
        instance: "Instance-Id",
        not_executed: "Not-Executed",
        retry_after_s: "Retry-After",
        caller_service: "Caller-Service",
    }
}

/// Path at which the platform asks whether a daemon takes requests.
pub const READINESS_PATH: &str = "/readiness";
