//! Runs requests at the own backend server.

use crate::{
    common::*,
    controller::gate_controller::{GateController, GatePermit},
    decision::{
        admission::admission_gate::{GateRequest, ShedReason, WorkResult},
        clock::Clock,
        mesh::{
            call_counts::{CallCounts, RunKey},
            instance_choice::LoadReport,
            latency_book::LatencyBook,
            load_summary::LoadSummary,
        },
        profile::service_profile::AdmissionLimits,
        request_priority::RequestPriority,
    },
    http1::{
        client_connection::{ClientConnection, ExchangeError, ServerResponse},
        message_head::ResponseHead,
    },
    mesh::{
        backend_pool::BackendPool,
        context_headers::ContextHeaders,
        peer_frame::{
            CallFrame, NESTED_CLASS, NotRunReason, ReplyFrame, RunAnswer, RunEnd, UnknownReason,
        },
    },
};
use bytes::{BufMut, BytesMut};
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::timeout_at;

/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Time that a backend server gets beyond the deadline to say itself that it is over.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// Slots of a backend server whose entry is not known yet.
const UNKNOWN_SLOTS: u32 = 16;

/// Share of the slots that is used at most: some backend servers slow down when they are nearly
/// full, and a new connection may hold a slot.
const USED_SLOTS: f64 = 0.94;

/// Most requests that wait at the gate, as a multiple of the slots.
const QUEUE_FACTOR: u32 = 2;

/// Longest wait for a slot, in milliseconds. Requests state in their deadline when they must start;
/// this bound only ends the wait of those with a long one.
const QUEUE_WAIT_MS: u32 = 2_000;

/// Runs requests at the own backend server, as many at a time as it has slots.
pub struct Executor {
    service: SmolStr,
    headers: ContextHeaders,
    clock: Arc<dyn Clock>,
    gate: Arc<GateController>,
    pool: BackendPool,
    times: Mutex<LatencyBook>,
    counts: Mutex<CallCounts>,
    identity: Mutex<BackendIdentity>,
    is_leaving: AtomicBool,
}

impl Executor {
    /// Creates an executor for the backend server of `service` at `backend`.
    pub fn new(
        service: SmolStr,
        backend: SocketAddr,
        headers: ContextHeaders,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            service,
            headers,
            gate: Arc::new(GateController::new(
                gate_limits(UNKNOWN_SLOTS),
                Arc::clone(&clock),
            )),
            clock,
            pool: BackendPool::new(backend),
            times: Mutex::default(),
            counts: Mutex::default(),
            identity: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Follows the published entry of the own backend server.
    pub fn set_entry(&self, id: &SmolStr, slots: u32) {
        self.identity.lock().publish(id);
        self.gate.set_limits(gate_limits(slots));
    }

    /// Sets the slots that backend servers of the own service have, as long as the own entry is not
    /// known.
    pub fn set_usual_slots(&self, slots: u32) {
        self.gate.set_limits(gate_limits(slots));
    }

    /// Refuses new runs from now on.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Applies decisions of the gate that depend on the time alone; returns whether requests wait.
    pub fn tick(&self) -> bool {
        self.gate.tick();
        self.gate.load().queued > 0
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> LoadReport {
        let load = self.gate.load();
        LoadReport {
            in_flight: load.in_flight,
            queued: load.queued as u32,
            limit: load.limit,
        }
    }

    /// Returns the load summary for the other daemons.
    pub fn summary(&self, daemon: u64) -> LoadSummary {
        let now = self.clock.now();
        let counts = self.counts.lock();
        LoadSummary {
            daemon,
            service: self.service.clone(),
            load: self.load(),
            entered: counts.entered(now),
            runs: counts.runs(now),
            calls: counts.calls(now),
        }
    }

    /// Counts a request that entered at this daemon. `is_call` tells that the own backend server
    /// sent it.
    pub fn count_entry(&self, route: &SmolStr, is_call: bool) {
        self.counts
            .lock()
            .on_entry(route, is_call, self.clock.now());
    }

    /// Runs a request and describes its end. `deadline` is the end of the caller's patience.
    pub async fn reply(&self, call: &CallFrame, deadline: Instant) -> ReplyFrame {
        let end = self.run(call, deadline).await;
        let mean = self.times.lock().mean(&call.route);
        ReplyFrame {
            number: call.number,
            end,
            load: self.load(),
            service_time_us: mean.map(|mean| mean.as_micros() as u64),
        }
    }

    /// Describes a refusal without a run.
    pub fn refusal(&self, number: u64, reason: NotRunReason) -> ReplyFrame {
        ReplyFrame {
            number,
            end: RunEnd::NotRun(reason),
            load: self.load(),
            service_time_us: None,
        }
    }

    /// Runs a request. If the backend server turns out to have another id, it is asked once more: the
    /// daemon serves one backend server only, and that one belongs to the right service.
    async fn run(&self, call: &CallFrame, deadline: Instant) -> RunEnd {
        let known = self.identity.lock().clone();
        let end = self.run_once(call, deadline).await;
        let is_renamed = *self.identity.lock() != known;
        if end == RunEnd::NotRun(NotRunReason::OtherInstance) && is_renamed {
            return self.run_once(call, deadline).await;
        }
        end
    }

    async fn run_once(&self, call: &CallFrame, deadline: Instant) -> RunEnd {
        if call.service != self.service {
            return RunEnd::NotRun(NotRunReason::OtherInstance);
        }
        if self.is_leaving.load(Ordering::Relaxed) {
            return RunEnd::NotRun(NotRunReason::Leaving);
        }
        let permit = match self.admit(call, deadline).await {
            Ok(permit) => permit,
            // The gate's deadline can end before that of the request, which then fits elsewhere.
            Err(ShedReason::Deadline) if self.clock.now() >= deadline => {
                return RunEnd::NotRun(NotRunReason::Expired);
            }
            Err(_) => return RunEnd::NotRun(NotRunReason::Busy),
        };
        let connection = match self.pool.take(call.is_once, self.clock.now()).await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(
                    "executor: Cannot reach the backend server for {}: {error}.",
                    call.attempt.escape_ascii()
                );
                return RunEnd::NotRun(NotRunReason::Unreachable);
            }
        };
        let started = self.clock.now();
        if started >= deadline {
            return RunEnd::NotRun(NotRunReason::Expired);
        }
        let expected = self.identity.lock().expected(&call.instance);
        let mut run = CountedRun::start(self, &call.route);
        let limit = deadline + ANSWER_GRACE;
        let exchange = self.exchange(connection, call, &expected, deadline - started);
        let Ok(result) = timeout_at(limit.into(), exchange).await else {
            return RunEnd::Unknown(UnknownReason::Timeout);
        };
        let now = self.clock.now();
        let end = match result {
            Ok(response) => self.judge(call, response),
            Err(error) => {
                log::info!(
                    "executor: No answer to {}: {error}",
                    call.attempt.escape_ascii()
                );
                let reason = match error {
                    ExchangeError::Message(_) => UnknownReason::Invalid,
                    ExchangeError::Connection(_) | ExchangeError::Closed => UnknownReason::Broken,
                };
                RunEnd::Unknown(reason)
            }
        };
        let result = match &end {
            // Failures are often quick; as service times they would draw load to a failing instance.
            RunEnd::Answered(answer) if answer.status >= 500 => WorkResult::Completed,
            RunEnd::Answered(_) => {
                run.is_answered = true;
                self.times.lock().record(&call.route, now - started);
                WorkResult::Completed
            }
            RunEnd::NotRun(_) => WorkResult::Refused,
            RunEnd::Unknown(_) => WorkResult::Aborted,
        };
        permit.finish(result);
        end
    }

    async fn admit(&self, call: &CallFrame, deadline: Instant) -> Result<GatePermit, ShedReason> {
        let request = GateRequest {
            priority: RequestPriority {
                class: call.class,
                retry: call.is_repeat,
                rank: call.rank,
            },
            deadline: self.start_limit(call, deadline),
            entered: self.clock.now(),
            is_entry: call.class > 0,
            caller_service: call.origin.clone(),
        };
        self.gate.admit(request).await
    }

    /// Returns the deadline that the gate applies. A root request that waits long is better refused,
    /// so that its caller can come back; a call of admitted work waits as long as it can.
    fn start_limit(&self, call: &CallFrame, deadline: Instant) -> Instant {
        if call.class == NESTED_CLASS {
            return deadline;
        }
        // The gate refuses requests that could not end before their deadline after a mean service
        // time, so that time comes on top of the wait.
        let patience = Duration::from_millis(call.patience_ms.into());
        deadline.min(self.clock.now() + patience + self.gate.service_time())
    }

    async fn exchange(
        &self,
        mut connection: ClientConnection,
        call: &CallFrame,
        expected: &SmolStr,
        left: Duration,
    ) -> Result<ServerResponse, ExchangeError> {
        let request = self.request_bytes(call, expected, left);
        let attempt = self.headers.attempt;
        // An answer without an identifier can only be one that tells that nothing was run.
        let is_own = |head: &ResponseHead| {
            let answered = head.headers.get(attempt);
            answered.is_none_or(|answered| answered == call.attempt)
        };
        let response = connection
            .exchange(&request, call.method == "HEAD", MAX_ANSWER_BYTES, is_own)
            .await?;
        if response.is_reusable {
            self.pool.put(connection, &response.head, self.clock.now());
        }
        Ok(response)
    }

    fn request_bytes(&self, call: &CallFrame, expected: &str, left: Duration) -> BytesMut {
        let mut request = BytesMut::with_capacity(call.head.len() + call.body.len() + 128);
        request.extend_from_slice(&call.head);
        let deadline_ms = left.as_millis();
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

    /// Decides what an answer of the backend server says about the run.
    fn judge(&self, call: &CallFrame, response: ServerResponse) -> RunEnd {
        let ServerResponse { head, body, .. } = response;
        let headers = &head.headers;
        if head.status == 421 {
            // The backend server started anew, and its entry is not known yet.
            if let Some(id) = headers.text(self.headers.instance) {
                log::info!("executor: The backend server is {id} now.");
                self.identity.lock().learn(id);
            }
            return RunEnd::NotRun(NotRunReason::OtherInstance);
        }
        if headers.get(self.headers.not_executed).is_some() {
            return RunEnd::NotRun(NotRunReason::Refused);
        }
        let is_signed = headers.get(self.headers.signature).is_some();
        let is_own = headers.get(self.headers.attempt) == Some(call.attempt.as_ref());
        // Callers ask for no encoding, so an encoded body is not the one that the server made.
        let is_encoded = headers.get("Content-Encoding").is_some();
        if !is_own || is_encoded || (!is_signed && head.status < 300) {
            log::info!(
                "executor: The answer to {} is not valid: status {}, signed {is_signed}, own \
                 {is_own}, encoded {is_encoded}.",
                call.attempt.escape_ascii(),
                head.status
            );
            return RunEnd::Unknown(UnknownReason::Invalid);
        }
        let mut lines = BytesMut::new();
        for (name, value) in headers.end_to_end(|_| false) {
            lines.put_slice(name);
            lines.put_slice(b": ");
            lines.put_slice(value);
            lines.put_slice(b"\r\n");
        }
        RunEnd::Answered(RunAnswer {
            status: head.status,
            head: lines.freeze(),
            body,
        })
    }
}

/// Id of the own backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct BackendIdentity {
    published: Option<SmolStr>,
    current: Option<SmolStr>,
}

impl BackendIdentity {
    /// Follows the published id. An unchanged one does not replace what the backend server said.
    fn publish(&mut self, id: &SmolStr) {
        if self.published.as_ref() != Some(id) {
            self.published = Some(id.clone());
            self.current = Some(id.clone());
        }
    }

    /// Takes the id that the backend server says itself.
    fn learn(&mut self, id: &str) {
        self.current = Some(id.into());
    }

    /// Returns the id to expect; `asked` is what the sender of a request believes.
    fn expected(&self, asked: &SmolStr) -> SmolStr {
        self.current.as_ref().unwrap_or(asked).clone()
    }
}

/// Counts a run as in flight until it is dropped.
struct CountedRun<'a> {
    executor: &'a Executor,
    key: RunKey,
    is_answered: bool,
}

impl<'a> CountedRun<'a> {
    fn start(executor: &'a Executor, route: &SmolStr) -> Self {
        let now = executor.clock.now();
        Self {
            executor,
            key: executor.counts.lock().on_start(route, now),
            is_answered: false,
        }
    }
}

impl Drop for CountedRun<'_> {
    fn drop(&mut self) {
        let now = self.executor.clock.now();
        let mut counts = self.executor.counts.lock();
        counts.on_end(self.key, self.is_answered, now);
    }
}

fn gate_limits(slots: u32) -> AdmissionLimits {
    let concurrency = ((f64::from(slots) * USED_SLOTS) as u32).max(1);
    AdmissionLimits {
        initial_concurrency: concurrency,
        min_concurrency: concurrency,
        max_concurrency: concurrency,
        queue_length: slots * QUEUE_FACTOR,
        queue_wait_ms: QUEUE_WAIT_MS,
    }
}
