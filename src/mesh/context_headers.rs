//! Names of the headers that carry the context of a request.

/// Header names of the surroundings that the daemon runs in.
#[derive(Clone, Copy, Debug)]
pub struct ContextHeaders {
    /// Identifier of one attempt of a caller. Backend servers repeat it in their answers.
    pub attempt: &'static str,
    /// Time for which the sender waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Proof of the backend server that an answer is its own.
    pub signature: &'static str,
    /// Id of the only instance that may run the request.
    pub expected_instance: &'static str,
    /// Id of the instance that answers.
    pub instance: &'static str,
    /// Marks an answer to a request that was not run.
    pub not_executed: &'static str,
    /// Time after which a refused caller may come back, in seconds.
    pub retry_after_s: &'static str,
    /// Service of the machine on which the request originates.
    pub caller_service: &'static str,
}
