//! Names of the HTTP headers that carry the context of a request.

/// Header names of the platform on which the daemon runs.
#[derive(Clone, Copy, Debug)]
pub struct ContextHeaders {
    /// Identifier of one attempt of a caller. Backend servers return it in their responses.
    pub attempt: &'static str,
    /// Time for which the sender waits for the response, in milliseconds.
    pub deadline_ms: &'static str,
    /// Proof that a response was made by the backend server.
    pub signature: &'static str,
    /// Id of the only instance that may run the request.
    pub expected_instance: &'static str,
    /// Id of the instance that responds.
    pub instance: &'static str,
    /// Marks the response to a request that was not run.
    pub not_executed: &'static str,
    /// Time after which a refused caller may retry, in seconds.
    pub retry_after_s: &'static str,
    /// Requests per second that the backend server accepts from all daemons together.
    pub rate_limit: &'static str,
    /// Marks the responses of a backend server that leaves, with the value 1.
    pub leaving: &'static str,
    /// Service of the machine on which the request originates.
    pub caller_service: &'static str,
    /// Key of the caller's organisation.
    pub api_key: &'static str,
    /// Name of the caller's organisation, for backend servers.
    pub organisation: &'static str,
}
