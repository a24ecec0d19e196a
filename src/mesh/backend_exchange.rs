//! Exchange of one request and its response with the local backend server.

use crate::{
    common::*,
    decision::clock::Clock,
    http1::{
        byte_budget::ByteBudget,
        client_connection::{BodyLimits, ExchangeError, ServerResponse},
        header_list::put_field,
        message_head::ResponseHead,
    },
    mesh::{
        backend_connection::BackendConnection,
        backend_pool::BackendPool,
        context_headers::ContextHeaders,
        peer_frame::{CallFrame, NotRunReason, RunResponse, RunResult, UnknownReason},
        server_state::ServerState,
    },
};
use bytes::BytesMut;

/// Largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Memory for the bodies of all responses that are received at the same time, in bytes. One body
/// gets at most half of what the others leave. The smallest machines have 160 MB, and a buffer that
/// grows needs up to twice the size of its content.
const RESPONSE_BUDGET_BYTES: u64 = 48 << 20;

/// Status with which a backend server refuses a request for another instance.
const OTHER_INSTANCE_STATUS: u16 = 421;

/// Sends requests to the local backend server and judges its responses.
pub struct BackendExchange {
    headers: ContextHeaders,
    clock: Arc<dyn Clock>,
    /// Connections to the backend server.
    pub pool: BackendPool,
    body_limits: BodyLimits,
}

impl BackendExchange {
    /// Creates an exchange with the backend server at `backend`.
    pub fn new(backend: SocketAddr, headers: ContextHeaders, clock: Arc<dyn Clock>) -> Self {
        Self {
            headers,
            clock,
            pool: BackendPool::new(backend),
            body_limits: BodyLimits::new(MAX_RESPONSE_BYTES)
                .with_budget(Arc::new(ByteBudget::new(RESPONSE_BUDGET_BYTES))),
        }
    }

    /// Sends a request over a connection; returns the result of its run from the response, and records
    /// what the backend server says of itself.
    pub async fn exchange(
        &self,
        mut connection: BackendConnection,
        call: &CallFrame,
        server: &ServerState,
        remaining: Duration,
    ) -> Result<RunResult, ExchangeError> {
        let sent_at = self.clock.now();
        let expected = server.expected_id(&call.instance);
        let request = self.request_bytes(call, &expected, remaining);
        let attempt = self.headers.attempt;
        // A response without an attempt identifier can only report that a request was not run. On a
        // connection that carried others, it may belong to one of those.
        let accepts_no_id = !connection.client.is_used() || call.attempt_id.is_empty();
        let matches_attempt = |head: &ResponseHead| {
            let response_attempt = head.headers.get(attempt);
            response_attempt.map_or(accepts_no_id, |response_attempt| {
                response_attempt == call.attempt_id
            })
        };
        let response = connection
            .client
            .exchange(
                &request,
                call.method == "HEAD",
                &self.body_limits,
                matches_attempt,
            )
            .await?;
        let result = self.classify_response(server, call, &response, sent_at);
        if !is_final(&result) {
            connection.record_unsettled(&call.attempt_id);
        }
        if response.is_reusable {
            self.pool.put(connection, &response.head, self.clock.now());
        }
        Ok(result)
    }

    fn request_bytes(&self, call: &CallFrame, expected: &str, remaining: Duration) -> BytesMut {
        let mut request = BytesMut::with_capacity(call.head.len() + call.body.len() + 128);
        request.extend_from_slice(&call.head);
        let deadline_ms = remaining.as_millis();
        let lines = format!(
            "{}: {deadline_ms}\r\n{}: {expected}\r\n",
            self.headers.deadline_ms, self.headers.expected_instance
        );
        request.extend_from_slice(lines.as_bytes());
        let has_body = !call.body.is_empty() || matches!(call.method.as_str(), "POST" | "PUT");
        if has_body {
            request
                .extend_from_slice(format!("Content-Length: {}\r\n", call.body.len()).as_bytes());
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(&call.body);
        request
    }

    /// Returns the result of a run from the response to the request that was sent at `sent_at`, and
    /// records what the backend server says of itself.
    fn classify_response(
        &self,
        server: &ServerState,
        call: &CallFrame,
        response: &ServerResponse,
        sent_at: Instant,
    ) -> RunResult {
        let head = &response.head;
        let headers = &head.headers;
        let matches_attempt = headers.get(self.headers.attempt) == Some(call.attempt_id.as_ref());
        let is_unexecuted = headers.get(self.headers.not_executed).is_some();
        if head.status == OTHER_INSTANCE_STATUS || (is_unexecuted && !matches_attempt) {
            log::info!(
                attempt:% = call.attempt_id.escape_ascii(),
                status = head.status,
                matching = u64::from(matches_attempt),
                first = u64::from(response.is_first);
                "executor: The backend server says that it did not run a request."
            );
        }
        if head.status == OTHER_INSTANCE_STATUS {
            // The backend server has restarted, and its new id is not published yet.
            if let Some(id) = headers.text(self.headers.instance) {
                log::info!("executor: The backend server reports the new id {id}.");
                server.set_reported(id);
            }
            return RunResult::NotRun(NotRunReason::OtherInstance);
        }
        let is_signed = headers.get(self.headers.signature).is_some();
        if matches_attempt {
            let now = self.clock.now();
            server.observe(headers, &self.headers, is_signed, sent_at, now);
        }
        if is_unexecuted {
            return RunResult::NotRun(NotRunReason::Refused);
        }
        // Callers request no content encoding, so an encoded body was changed on the way.
        let is_encoded = headers.get("Content-Encoding").is_some();
        if !matches_attempt || is_encoded || (!is_signed && head.status < 300) {
            log::info!(
                "executor: The response to {} is invalid: status {}, signed {is_signed}, matching \
                 attempt {matches_attempt}, encoded {is_encoded}.",
                call.attempt_id.escape_ascii(),
                head.status
            );
            return RunResult::Unknown(UnknownReason::Invalid);
        }
        let mut lines = BytesMut::new();
        for (name, value) in headers.end_to_end(|_| false) {
            put_field(&mut lines, name, value);
        }
        RunResult::Response(RunResponse {
            status: head.status,
            head: lines.freeze(),
            body: response.body.clone(),
        })
    }
}

/// Returns whether a request is not sent again after a result.
fn is_final(result: &RunResult) -> bool {
    matches!(result, RunResult::Response(response) if response.status < 500)
}
