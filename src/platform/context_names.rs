//! Header names and paths that clients and backend servers on the platform use.

use crate::mesh::context_headers::ContextHeaders;

/// Returns the names of the headers that carry the context of a request.
pub fn context_headers() -> ContextHeaders {
    ContextHeaders {
        attempt: "Attempt-Id",
        deadline_ms: "Deadline-Ms",
        // Despite its name, not a digest of the content: it identifies the run that produced the
        // response.
        signature: "Server-Signature",
        expected_instance: "Expect-Instance",
        instance: "Instance-Id",
        not_executed: "Not-Executed",
        retry_after_s: "Retry-After",
        rate_limit: "Server-Limit",
        leaving: "Server-Leaving",
        caller_service: "Caller-Service",
        api_key: "Credential",
        organisation: "Tenant",
    }
}

/// Path of the platform's readiness checks.
pub const READINESS_PATH: &str = "/readiness";
