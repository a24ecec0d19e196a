//! Runs requests at the local backend server.

use crate::{
    common::*,
    controller::gate_controller::{GateController, GatePermit},
    decision::{
        admission::admission_gate::{GateRequest, ShedReason, WorkResult},
        clock::Clock,
        mesh::{
            call_counts::CallCounts, crash_id::CrashId, crash_suspects::SuspectVerdict,
            instance_selector::LoadReport, load_summary::LoadSummary,
            request_fingerprint::RequestFingerprint, server_notes::ServerNotes,
            service_times::ServiceTimes,
        },
        profile::service_profile::AdmissionLimits,
        request_priority::RequestPriority,
    },
    http1::client_connection::ExchangeError,
    mesh::{
        backend_connection::BackendConnection,
        backend_exchange::BackendExchange,
        context_headers::ContextHeaders,
        counted_run::{CountedRun, mean_run_time},
        crash_monitor::{CrashMonitor, ServerCheck},
        peer_frame::{CallFrame, NESTED_CLASS, NotRunReason, ReplyFrame, RunResult, UnknownReason},
        server_state::ServerState,
        suspect_controller::{IsolatedRun, SuspectController},
    },
};
use std::{
    net::IpAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::time::timeout_at;

/// Time after the deadline in which the backend server can still report the timeout itself.
const RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// Number of slots that is assumed until an instance of the service has been published.
const DEFAULT_SLOTS: u32 = 16;

/// Largest share of the slots that is used: some backend servers slow down when nearly all of their
/// slots are in use, and a new connection may hold a slot.
const MAX_SLOT_SHARE: f64 = 0.94;

/// Longest queue at the gate, in requests for each slot.
const QUEUED_PER_SLOT: u32 = 2;

/// Longest wait for a slot, in milliseconds. The deadline of a request usually ends its wait
/// earlier; this bound concerns only requests with a long deadline.
const QUEUE_WAIT_MS: u32 = 2_000;

/// Divisor of the remaining time of a nested call that gives its longest wait for a limit that the
/// backend server names.
pub const NESTED_LIMIT_WAIT_DIVISOR: u32 = 4;

/// Last decision before a request is sent to the backend server: whether its run may begin.
pub type RunBegin<'a> = dyn Fn() -> bool + Send + Sync + 'a;

/// Runs requests at the local backend server and limits their concurrency to its slots.
pub struct Executor {
    service: SmolStr,
    clock: Arc<dyn Clock>,
    gate: Arc<GateController>,
    backend: BackendExchange,
    service_times: Mutex<ServiceTimes>,
    call_counts: Mutex<CallCounts>,
    /// What the backend server says of itself.
    pub server: ServerState,
    run_count: AtomicU64,
    is_draining: AtomicBool,
    crash_monitor: CrashMonitor,
    suspects: Arc<SuspectController>,
}

impl Executor {
    /// Creates an executor for the backend server of `service` at `backend`.
    pub fn new(
        service: SmolStr,
        backend: SocketAddr,
        headers: ContextHeaders,
        suspects: Arc<SuspectController>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            service,
            gate: Arc::new(GateController::new(
                gate_limits(DEFAULT_SLOTS),
                Arc::clone(&clock),
            )),
            backend: BackendExchange::new(backend, headers, Arc::clone(&clock)),
            clock,
            service_times: Mutex::default(),
            call_counts: Mutex::default(),
            server: ServerState::default(),
            run_count: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            crash_monitor: CrashMonitor::new(backend),
            suspects,
        }
    }

    /// Applies the published id, start time and slots of the local backend server.
    pub fn set_published_instance(&self, id: &SmolStr, started_ms: Option<u64>, slots: u32) {
        self.server.set_published(id, started_ms);
        self.gate.set_limits(gate_limits(slots));
    }

    /// Sets the slots of another instance of the same service, to be used while the local backend
    /// server is not published.
    pub fn set_default_slots(&self, slots: u32) {
        self.gate.set_limits(gate_limits(slots));
    }

    /// Refuses all new runs from now on.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Applies the gate's time-based decisions; returns whether requests are queued.
    pub fn tick(&self) -> bool {
        self.gate.tick();
        self.gate.load().queued > 0
    }

    /// Returns the load of the backend server. A limit that the server names leaves it only the slots
    /// that requests use at that rate, so that the plan and the selection of peers keep within it.
    pub fn load(&self) -> LoadReport {
        let load = self.gate.load();
        LoadReport {
            in_flight: load.in_flight,
            queued: load.queued as u32,
            queued_calls: load.queued_calls as u32,
            limit: self.server.usable_slots(load.limit),
        }
    }

    /// Returns the number of requests that were sent to the backend server.
    pub fn run_count(&self) -> u64 {
        self.run_count.load(Ordering::Relaxed)
    }

    /// Returns the number of times that the backend server ended while it ran requests.
    pub fn crash_count(&self) -> u64 {
        self.crash_monitor.count()
    }

    /// Returns the load summary for the other daemons.
    pub fn load_summary(&self, daemon_id: u64, ip: IpAddr) -> LoadSummary {
        let now = self.clock.now();
        let counts = self.call_counts.lock();
        let runs = counts.runs(now);
        self.server.set_mean_run_time(mean_run_time(&runs));
        LoadSummary {
            daemon_id,
            ip,
            service: self.service.clone(),
            load: self.load(),
            entered_requests: counts.entered_requests(now),
            runs,
            calls: counts.calls(now),
        }
    }

    /// Counts a request that entered at this daemon.
    pub fn count_entered_request(&self, route: &SmolStr) {
        let mut counts = self.call_counts.lock();
        counts.record_entered_request(route, self.clock.now());
    }

    /// Counts a call that the local backend server made at `started` and that has ended.
    pub fn count_call_end(&self, route: &SmolStr, started: Instant) {
        let mut counts = self.call_counts.lock();
        counts.record_call_end(route, started, self.clock.now());
    }

    /// Counts a call of the local backend server that was not run for lack of a slot.
    pub fn count_unserved_call(&self, route: &str) {
        let mut counts = self.call_counts.lock();
        counts.record_unserved_call(route, self.clock.now());
    }

    /// Runs a request and returns its result and the load. `deadline` is when the caller stops
    /// waiting. `begin` is called right before the request is sent to the backend server, and returns
    /// false if the run was stopped.
    pub async fn run_call(
        &self,
        call: &CallFrame,
        deadline: Instant,
        begin: &RunBegin<'_>,
    ) -> ReplyFrame {
        let RunEnd { result, crash } = self.run(call, deadline, begin).await;
        let mean = self.service_times.lock().mean(&call.route);
        let notes = ServerNotes {
            crash,
            ..self.server.notes()
        };
        ReplyFrame {
            number: call.number,
            result,
            load: self.load(),
            service_time_us: mean.map(|mean| mean.as_micros() as u64),
            notes,
        }
    }

    /// Returns the reply to a request that is refused without a run.
    pub fn refusal_reply(&self, number: u64, reason: NotRunReason) -> ReplyFrame {
        self.result_reply(number, RunResult::NotRun(reason))
    }

    /// Returns the reply to a request that was not sent to the backend server.
    pub fn result_reply(&self, number: u64, result: RunResult) -> ReplyFrame {
        ReplyFrame {
            number,
            result,
            load: self.load(),
            service_time_us: None,
            notes: self.server.notes(),
        }
    }

    /// Runs a request. If the backend server reports a new id, the request is sent once more: the
    /// daemon has only one backend server, and it belongs to the requested service.
    async fn run(&self, call: &CallFrame, deadline: Instant, begin: &RunBegin<'_>) -> RunEnd {
        let previous = self.server.identity();
        let end = self.run_attempt(call, deadline, begin).await;
        let has_new_id = self.server.identity() != previous;
        if end.result == RunResult::NotRun(NotRunReason::OtherInstance) && has_new_id {
            return self.run_attempt(call, deadline, begin).await;
        }
        end
    }

    /// Sends a request to the backend server once it may start there.
    async fn run_attempt(
        &self,
        call: &CallFrame,
        deadline: Instant,
        begin: &RunBegin<'_>,
    ) -> RunEnd {
        if call.service != self.service {
            return NotRunReason::OtherInstance.into();
        }
        if self.is_draining.load(Ordering::Relaxed) || self.server.is_leaving() {
            return NotRunReason::Leaving.into();
        }
        let permit = match self.admit(call, deadline).await {
            Ok(permit) => permit,
            // The gate's deadline can be earlier than that of the request, which then has time left
            // for another instance.
            Err(ShedReason::Deadline) if self.clock.now() >= deadline => {
                return NotRunReason::Expired.into();
            }
            Err(_) => return NotRunReason::Busy.into(),
        };
        let (end, work_result) = match self.start_run(call, deadline, begin).await {
            Ok((connection, isolated)) => {
                let (end, work_result) = self.run_on(connection, call, deadline).await;
                drop(isolated);
                (end, work_result)
            }
            Err(reason) => (reason.into(), WorkResult::Refused),
        };
        permit.finish(work_result);
        end
    }

    /// Checks what may have changed while a request waited for a slot, and takes a connection. A
    /// suspect also gets its isolation.
    async fn start_run(
        &self,
        call: &CallFrame,
        deadline: Instant,
        begin: &RunBegin<'_>,
    ) -> Result<(BackendConnection, Option<IsolatedRun>), NotRunReason> {
        if !self.wait_for_start(call, deadline).await {
            return Err(NotRunReason::Busy);
        }
        if self.server.is_leaving() {
            return Err(NotRunReason::Leaving);
        }
        let isolated = match self.suspects.verdict(&call.head, &call.body) {
            SuspectVerdict::Free => None,
            SuspectVerdict::Refused => return Err(NotRunReason::Busy),
            SuspectVerdict::Isolated => {
                let started = self.suspects.start_isolated(&call.head, &call.body);
                Some(started.ok_or(NotRunReason::Busy)?)
            }
        };
        let pool = &self.backend.pool;
        let taking = pool.take(&call.attempt_id, call.is_at_most_once, self.clock.now());
        let connection = taking.await.map_err(|error| {
            log::info!(
                "executor: Cannot reach the backend server for {}: {error}.",
                call.attempt_id.escape_ascii()
            );
            NotRunReason::Unreachable
        })?;
        if self.clock.now() >= deadline || !begin() {
            return Err(NotRunReason::Expired);
        }
        Ok((connection, isolated))
    }

    /// Sends a request over a connection and judges the response.
    async fn run_on(
        &self,
        connection: BackendConnection,
        call: &CallFrame,
        deadline: Instant,
    ) -> (RunEnd, WorkResult) {
        let started = self.clock.now();
        let remaining = deadline.saturating_duration_since(started);
        let mut run = CountedRun::start(&self.call_counts, self.clock.as_ref(), &call.route);
        self.run_count.fetch_add(1, Ordering::Relaxed);
        let exchange = self
            .backend
            .exchange(connection, call, &self.server, remaining);
        let Ok(response) = timeout_at((deadline + RESPONSE_GRACE).into(), exchange).await else {
            let result = RunResult::Unknown(UnknownReason::Timeout);
            return (result.into(), WorkResult::Aborted);
        };
        let now = self.clock.now();
        let end = match response {
            Ok(result) => {
                self.crash_monitor.record_response();
                result.into()
            }
            Err(error) => self.classify_error(call, &error).await,
        };
        let work_result = match &end.result {
            // Failures are often fast. Their times would attract load to a failing instance.
            RunResult::Response(response) if response.status >= 500 => WorkResult::Completed,
            RunResult::Response(_) => {
                run.is_successful = true;
                self.service_times.lock().record(&call.route, now - started);
                WorkResult::Completed
            }
            RunResult::NotRun(_) => WorkResult::Refused,
            RunResult::Unknown(_) => WorkResult::Aborted,
        };
        if matches!(end.result, RunResult::Response(_)) {
            self.suspects.record_response(&call.head, &call.body);
        }
        (end, work_result)
    }

    /// Returns the end of a run that got no valid response.
    async fn classify_error(&self, call: &CallFrame, error: &ExchangeError) -> RunEnd {
        log::info!(
            "executor: No answer to {}: {error}",
            call.attempt_id.escape_ascii()
        );
        let reason = match error {
            ExchangeError::Message(_) | ExchangeError::SkippedResponses => UnknownReason::Invalid,
            ExchangeError::Connection(_) | ExchangeError::Closed => UnknownReason::Broken,
        };
        RunEnd {
            result: RunResult::Unknown(reason),
            crash: self.find_crash(call, reason).await,
        }
    }

    /// Returns the crash of the backend server that ended a run, if it did.
    async fn find_crash(&self, call: &CallFrame, reason: UnknownReason) -> Option<CrashId> {
        if reason != UnknownReason::Broken {
            return None;
        }
        let crash = match self.crash_monitor.check().await {
            ServerCheck::Crashed(crash) => crash,
            ServerCheck::Running(connection) => {
                self.backend.pool.put_unused(connection, self.clock.now());
                return None;
            }
            ServerCheck::Unknown => return None,
        };
        let request = RequestFingerprint::new(&call.head, &call.body);
        log::info!(
            attempt:% = call.attempt_id.escape_ascii(),
            route:% = call.route,
            request:% = request,
            crash:% = crash;
            "executor: The backend server ended during a run."
        );
        self.suspects.report_crash(request, crash);
        Some(crash)
    }

    /// Waits until the limit that the backend server names allows another request; returns false if
    /// it does not in time. A nested call waits longer, since refusing it wastes the work on its root
    /// request.
    async fn wait_for_start(&self, call: &CallFrame, deadline: Instant) -> bool {
        let now = self.clock.now();
        let max_wait = if call.class == NESTED_CLASS {
            deadline.saturating_duration_since(now) / NESTED_LIMIT_WAIT_DIVISOR
        } else {
            Duration::from_millis(call.max_wait_ms.into())
        };
        let Some(start) = self.server.reserve_start(max_wait, now) else {
            log::debug!(
                "executor: Refused {}: the limit of the backend server is reached.",
                call.attempt_id.escape_ascii()
            );
            return false;
        };
        if start > now {
            tokio::time::sleep_until(start.into()).await;
        }
        true
    }

    async fn admit(&self, call: &CallFrame, deadline: Instant) -> Result<GatePermit, ShedReason> {
        let expected_time = self.service_times.lock().mean(&call.route);
        let request = GateRequest {
            priority: RequestPriority {
                class: call.class,
                retry: call.is_marked_retry,
                rank: call.rank,
            },
            deadline: self.gate_deadline(call, deadline, expected_time),
            entered: self.clock.now(),
            is_entry: call.class > NESTED_CLASS,
            caller_service: call.caller_service.clone(),
            is_planned_call: call.class == NESTED_CLASS,
            is_impatient: call.class > NESTED_CLASS,
            expected_time,
        };
        self.gate.admit(request).await
    }

    /// Returns the deadline that the gate applies. A root request is refused after its max wait, so
    /// that its caller can retry; a nested call waits until its own deadline.
    fn gate_deadline(
        &self,
        call: &CallFrame,
        deadline: Instant,
        expected_time: Option<Duration>,
    ) -> Instant {
        if call.class == NESTED_CLASS {
            return deadline;
        }
        // The gate refuses requests that would miss their deadline after their service time, so that
        // time is added to the wait.
        let service_time = expected_time.unwrap_or_else(|| self.gate.service_time());
        let max_wait = Duration::from_millis(call.max_wait_ms.into());
        deadline.min(self.clock.now() + max_wait + service_time)
    }
}

/// End of a run.
struct RunEnd {
    result: RunResult,
    /// Crash of the backend server that ended the run.
    crash: Option<CrashId>,
}

impl From<RunResult> for RunEnd {
    fn from(result: RunResult) -> Self {
        Self {
            result,
            crash: None,
        }
    }
}

impl From<NotRunReason> for RunEnd {
    fn from(reason: NotRunReason) -> Self {
        RunResult::NotRun(reason).into()
    }
}

/// Returns the limits of the gate in front of a backend server with a number of slots.
pub fn gate_limits(slots: u32) -> AdmissionLimits {
    let concurrency = ((f64::from(slots) * MAX_SLOT_SHARE) as u32).max(1);
    AdmissionLimits {
        initial_concurrency: concurrency,
        min_concurrency: concurrency,
        max_concurrency: concurrency,
        queue_length: slots.saturating_mul(QUEUED_PER_SLOT),
        queue_wait_ms: QUEUE_WAIT_MS,
    }
}
