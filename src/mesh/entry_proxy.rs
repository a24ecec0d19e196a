//! Proxy at the entry of a request: admits it, selects instances and retries failed attempts.

use crate::{
    common::*,
    decision::mesh::{
        admission_plan::{AdmissionPlan, ServiceCost},
        crash_suspects::SuspectVerdict,
        entry_admission::EntryRequest,
        instance_selector::{InstanceKey, InstanceResult, SelectedInstance, SelectionRequest},
        request_fingerprint::RequestFingerprint,
        route_table::{RouteSpec, RouteTable, RunSemantics},
    },
    http1::message_head::RequestHead,
    mesh::{
        attempt_history::{AttemptHistory, MAX_REFUSALS, describe_result, instance_result},
        caller_response::{CallerRequest, CallerResponse, LocalReason},
        fleet_state::FleetState,
        forwarded_head,
        peer_frame::{CallFrame, NESTED_CLASS, ReplyFrame, RunResponse},
        peer_link::CallResult,
        peer_links::PeerLinks,
        resolved_request::ResolvedRequest,
    },
};
use bytes::Bytes;
use smol_str::format_smolstr;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time by which the daemon responds before the caller's own deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(80);

/// Longest `Retry-After` time of a request that is refused because there is no configuration yet.
const DEFAULT_MAX_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Greatest rank with a class level of its own; greater ones share that level.
const MAX_RANK: u8 = 5;

/// Time after the deadline of a request in which the executor can still report that it was not run,
/// so that the request is refused instead of timed out.
const RESULT_GRACE: Duration = Duration::from_millis(60);

/// Divisor of the latency target that gives the longest wait of a root request for a slot of the
/// last instance to try. A caller that is refused by then has time for a retry.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Longest wait of a root request for a slot while other instances are left to try.
const SHORT_MAX_WAIT: Duration = Duration::from_millis(4);

/// Longest `Retry-After` time, as a share of the time that the caller waits for the response.
const RETRY_AFTER_SHARE: f64 = 0.33;

/// Longest `Retry-After` time, as a share of the latency target of the route.
const RETRY_AFTER_TARGET_SHARE: f64 = 0.5;

/// Shortest and longest time until the next token of an allotment that a refused caller is told.
const MIN_ALLOTMENT_WAIT: Duration = Duration::from_millis(100);
const MAX_ALLOTMENT_WAIT: Duration = Duration::from_secs(10);

/// Proxies requests of callers to instances of the service that their route names.
pub struct EntryProxy {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
}

/// Admitted request with its route, caller, service and admission plan.
struct AdmittedRequest<'a> {
    resolved: &'a ResolvedRequest,
    route: &'a RouteSpec,
    service: SmolStr,
    method: SmolStr,
    attempt_id: Bytes,
    head: Bytes,
    body: Bytes,
    deadline: Instant,
    plan: Arc<AdmissionPlan>,
    is_nested: bool,
}

/// Refusal or failure for which the daemon creates a local response.
struct RequestFailure {
    reason: LocalReason,
    max_retry_after: Duration,
}

impl EntryProxy {
    /// Creates a proxy.
    pub fn new(state: Arc<FleetState>, links: Arc<PeerLinks>) -> Self {
        Self { state, links }
    }

    /// Returns the shared state of the daemon.
    pub fn state(&self) -> &Arc<FleetState> {
        &self.state
    }

    /// Creates a local response. A refusal asks the caller to retry after a random time in the
    /// second half of `max_retry_after`; one by an allotment, after the time until its next token and
    /// at most as long again, so that callers do not return together.
    pub fn local_response(
        &self,
        reason: LocalReason,
        attempt_id: &[u8],
        max_retry_after: Duration,
    ) -> CallerResponse {
        let retry_after = match reason {
            LocalReason::OverAllotment { wait } => {
                let wait = wait.clamp(MIN_ALLOTMENT_WAIT, MAX_ALLOTMENT_WAIT);
                Some(wait.mul_f64(1.0 + rand::random::<f64>()))
            }
            reason => reason
                .is_refusal()
                .then(|| max_retry_after.mul_f64(0.5 + 0.5 * rand::random::<f64>())),
        };
        CallerResponse::local(reason, retry_after, attempt_id, &self.state.headers)
    }

    /// Serves a request and returns its response.
    pub async fn serve(&self, request: CallerRequest) -> CallerResponse {
        let attempt_id = request.head.headers.get(self.state.headers.attempt);
        let attempt_id = Bytes::copy_from_slice(attempt_id.unwrap_or_default());
        let resolved = self.resolve(&request.head);
        let result = match &resolved {
            Ok(resolved) => self.handle_request(&request, &attempt_id, resolved).await,
            Err(reason) => Err((*reason).into()),
        };
        self.record_result(&request, &attempt_id, resolved.as_ref().ok(), &result);
        match result {
            Ok(response) => CallerResponse::forwarded(response),
            Err(error) => self.local_response(error.reason, &attempt_id, error.max_retry_after),
        }
    }

    /// Writes the log line and the metrics of a finished request.
    fn record_result(
        &self,
        request: &CallerRequest,
        attempt_id: &[u8],
        resolved: Option<&ResolvedRequest>,
        result: &Result<RunResponse, RequestFailure>,
    ) {
        let state = &self.state;
        let time = state
            .clock
            .now()
            .saturating_duration_since(request.received);
        let result_label = match result {
            Ok(response) => format_smolstr!("{}", response.status),
            Err(failure) => SmolStr::new_static(failure.reason.name()),
        };
        let name = resolved.map_or(SmolStr::new_static("none"), |resolved| {
            resolved.route().name.clone()
        });
        let organisation = resolved.and_then(ResolvedRequest::organisation);
        let is_served = matches!(result, Ok(response) if response.status < 500);
        let level = log_level(is_served);
        if log::log_enabled!(level) {
            let plan = state.plan();
            let planned = plan.route(&name);
            let version = state.routes().map_or(0, |routes| routes.version().0);
            log::log!(
                level,
                attempt:% = attempt_id.escape_ascii(),
                route:% = name,
                organisation = organisation.map(|organisation| organisation.name.as_str()),
                target:% = request.head.target,
                end:% = result_label,
                time_ms = time.as_millis() as u64,
                config = version,
                share = planned.map_or(1.0, |planned| planned.share),
                nested = u64::from(planned.is_some_and(|planned| planned.is_nested)),
                plan_daemons = plan.daemons() as u64;
                "entry: Answered."
            );
        }
        state.metrics.count_request(&name, &result_label, time);
        if let Some(organisation) = organisation {
            let is_granted = !matches!(
                result,
                Err(RequestFailure {
                    reason: LocalReason::OverAllotment { .. },
                    ..
                })
            );
            let metrics = &state.metrics;
            metrics.count_organisation_request(&organisation.name, is_granted);
        }
    }

    /// Finds the route of a request, and the organisation of its caller.
    fn resolve(&self, head: &RequestHead) -> Result<ResolvedRequest, LocalReason> {
        let routes: Arc<RouteTable> = self.state.routes().ok_or(LocalReason::NoConfig)?;
        ResolvedRequest::new(routes, head, &self.state.headers).ok_or(LocalReason::NoRoute)
    }

    async fn handle_request(
        &self,
        request: &CallerRequest,
        attempt_id: &Bytes,
        resolved: &ResolvedRequest,
    ) -> Result<RunResponse, RequestFailure> {
        let route = resolved.route();
        let remaining = self.remaining_time(&request.head, route);
        let max_retry_after = remaining
            .mul_f64(RETRY_AFTER_SHARE)
            .min(route.latency_target.mul_f64(RETRY_AFTER_TARGET_SHARE));
        let failure = |reason| RequestFailure {
            reason,
            max_retry_after,
        };
        let plan = self.state.plan();
        let is_nested = plan.route(&route.name).is_some_and(|plan| plan.is_nested);
        let executor = &self.state.executor;
        executor.count_entered_request(&route.name);
        let deadline = request.received + remaining;
        let serving = self.admit_and_run(request, attempt_id, resolved, plan, deadline);
        let result = serving.await;
        if is_nested {
            executor.count_call_end(&route.name, request.received);
            if result.as_ref().is_err_and(|reason| reason.is_overload()) {
                executor.count_unserved_call(&route.name);
            }
        }
        result.map_err(failure)
    }

    /// Serves a request of a route, unless it is refused before any attempt.
    async fn admit_and_run(
        &self,
        request: &CallerRequest,
        attempt_id: &Bytes,
        resolved: &ResolvedRequest,
        plan: Arc<AdmissionPlan>,
        deadline: Instant,
    ) -> Result<RunResponse, LocalReason> {
        let route = resolved.route();
        let organisation = resolved.identity()?;
        if organisation.is_some() && !self.state.accepts_keys() {
            return Err(LocalReason::OutdatedKeys);
        }
        if !self.state.is_running_until(deadline) {
            return Err(LocalReason::Leaving);
        }
        if !self.state.can_reach_needed_services(&route.name) {
            return Err(LocalReason::NoInstance);
        }
        let granted_at = self.state.clock.now();
        if let Some(organisation) = organisation {
            self.state.take_allotment(organisation)?;
        }
        let running = self.run_admitted(request, attempt_id, resolved, plan, deadline);
        let result = running.await;
        if let Some(organisation) = organisation
            && result.as_ref().is_err_and(|reason| reason.is_refusal())
        {
            let mut allotments = self.state.allotments.lock();
            allotments.give_back(&organisation.name, granted_at, self.state.clock.now());
        }
        result
    }

    /// Serves a request within the allotment of its organisation, unless the plan refuses it.
    async fn run_admitted(
        &self,
        request: &CallerRequest,
        attempt_id: &Bytes,
        resolved: &ResolvedRequest,
        plan: Arc<AdmissionPlan>,
        deadline: Instant,
    ) -> Result<RunResponse, LocalReason> {
        let route = resolved.route();
        let is_nested = plan.route(&route.name).is_some_and(|plan| plan.is_nested);
        if !is_nested && !self.is_admitted(request, resolved, &plan) {
            return Err(LocalReason::Shed);
        }
        let service = self.state.traffic_split.lock().select(route);
        let service = service.ok_or(LocalReason::NoInstance)?;
        let admitted = AdmittedRequest {
            head: self.forwarded_head(&request.head, resolved),
            method: request.head.method.clone(),
            attempt_id: attempt_id.clone(),
            body: request.body.clone(),
            deadline,
            service,
            resolved,
            route,
            plan,
            is_nested,
        };
        let verdict = self.state.suspects.verdict(&admitted.head, &admitted.body);
        if verdict == SuspectVerdict::Refused {
            return Err(LocalReason::CrashSuspect);
        }
        self.run_attempts(&admitted).await
    }

    /// Returns whether a root request is admitted within the planned share of its route.
    fn is_admitted(
        &self,
        request: &CallerRequest,
        resolved: &ResolvedRequest,
        plan: &AdmissionPlan,
    ) -> bool {
        let route = resolved.route();
        let share = plan.route(&route.name).map_or(1.0, |plan| plan.share);
        let head = &request.head;
        // A caller that sends a refused request again repeats its host and target. Such requests
        // are preferred.
        let fingerprint = xxh3_64_with_seed(
            head.target.as_bytes(),
            xxh3_64(head.headers.get("Host").unwrap_or_default()),
        );
        let now = self.state.clock.now();
        let mut admission = self.state.entry_admission.lock();
        let entering = EntryRequest {
            route: &route.name,
            share,
            fingerprint,
            is_important: resolved.is_important(),
        };
        admission.admit(entering, now)
    }

    /// Makes attempts at a request until its result is final.
    async fn run_attempts(
        &self,
        request: &AdmittedRequest<'_>,
    ) -> Result<RunResponse, LocalReason> {
        let state = &self.state;
        state
            .retry_budget
            .lock()
            .record_request(&request.service, state.clock.now());
        let mut history = AttemptHistory::default();
        loop {
            let now = state.clock.now();
            if now >= request.deadline {
                return history.finish(LocalReason::Expired);
            }
            let (service, route) = (&request.service, &request.route.name);
            let selection = SelectionRequest {
                service,
                route,
                latency_target: request.route.latency_target,
                needs_slot: !request.is_nested,
            };
            let selected = state.selector.lock().select(selection, &history.tried, now);
            let Some(instance) = selected else {
                return history.finish(if history.refusals > 0 {
                    LocalReason::Busy
                } else {
                    LocalReason::NoInstance
                });
            };
            if history.needs_retry() {
                let is_granted = self.take_retry(request, &history, now);
                log::info!(
                    attempt:% = request.attempt_id.escape_ascii(),
                    route:% = request.route.name,
                    reached = u64::from(history.reached),
                    granted = u64::from(is_granted);
                    "entry: Repeat considered."
                );
                if is_granted {
                    history.granted += 1;
                    state.metrics.count_retry();
                    if let Some(organisation) = request.resolved.organisation() {
                        let mut allotments = state.allotments.lock();
                        allotments.take_repeat(&organisation.name, now);
                    }
                }
                if !is_granted {
                    let mut selector = state.selector.lock();
                    selector.record_result(instance.key, InstanceResult::Abandoned, now);
                    return history.finish(LocalReason::Budget);
                }
            }
            history.tried.push(instance.key);
            let is_last = history.refusals + 1 >= MAX_REFUSALS
                || !state
                    .selector
                    .lock()
                    .has_alternative(service, &history.tried, now);
            let max_wait = if is_last {
                request.route.latency_target / MAX_WAIT_DIVISOR
            } else {
                SHORT_MAX_WAIT
            };
            match self.make_attempt(request, &instance, max_wait).await {
                Some(result) => {
                    let may_retry = self.may_retry_after(request, &result);
                    if let Some(final_result) = history.record_result(result, request.route) {
                        return final_result;
                    }
                    if !may_retry {
                        return history.finish(LocalReason::Lost);
                    }
                }
                None => {
                    history.may_have_run = true;
                    return history.finish(LocalReason::Timeout);
                }
            }
        }
    }

    /// Records the crash of a server that ended an attempt; returns false if the request must not
    /// reach a further server because of it.
    fn may_retry_after(&self, request: &AdmittedRequest<'_>, result: &CallResult) -> bool {
        let CallResult::Reply(reply) = result else {
            return true;
        };
        let Some(crash) = reply.notes.crash else {
            return true;
        };
        let fingerprint = RequestFingerprint::new(&request.head, &request.body);
        self.state.suspects.record_crash(fingerprint, crash)
    }

    /// Takes a retry from the budget for a request that may have reached a backend server; returns
    /// false if the request must not be sent to another one.
    fn take_retry(
        &self,
        request: &AdmittedRequest<'_>,
        history: &AttemptHistory,
        now: Instant,
    ) -> bool {
        let plan = &request.plan;
        let single_run = [ServiceCost {
            service: request.service.clone(),
            runs: 1.0,
            slot_seconds: 0.0,
        }];
        let planned = plan.route(&request.route.name);
        let costs = planned.map_or(single_run.as_slice(), |planned| planned.costs.as_slice());
        // While requests are refused, an error response of a run that makes calls probably results
        // from the refusal of a nested call. A retry would repeat all calls of the run.
        let makes_calls = costs.len() > request.route.targets.len();
        if history.error_response.is_some() && makes_calls && plan.is_shedding() {
            return false;
        }
        let rate = |service: &str| plan.rate(service);
        let mut budget = self.state.retry_budget.lock();
        budget.take_retry(costs, rate, plan.daemons(), now)
    }

    /// Makes one attempt; returns `None` if its result is not known in time.
    async fn make_attempt(
        &self,
        request: &AdmittedRequest<'_>,
        instance: &SelectedInstance,
        max_wait: Duration,
    ) -> Option<CallResult> {
        let mut guard = AttemptGuard {
            state: &self.state,
            key: instance.key,
            result: InstanceResult::Abandoned,
        };
        let frame = self.call_frame(request, instance, max_wait);
        let result_deadline = request.deadline + RESULT_GRACE;
        let result = if instance.address.ip() == self.state.settings.peer.ip() {
            let running = self.state.executor.run_call(&frame, request.deadline);
            let reply = timeout_at(result_deadline.into(), running).await;
            reply.ok().map(|reply| CallResult::Reply(Arc::new(reply)))
        } else {
            let port = self.state.settings.peer.port();
            let address = SocketAddr::new(instance.address.ip(), port);
            match self.links.link(address) {
                Some(link) => link.call(frame).result_by(result_deadline).await,
                None => Some(CallResult::NotSent),
            }
        };
        let is_served = matches!(&result, Some(CallResult::Reply(reply))
            if instance_result(&reply.result) == InstanceResult::Responded);
        log::log!(
            log_level(is_served),
            attempt:% = request.attempt_id.escape_ascii(),
            instance:% = instance.id,
            address:% = instance.address,
            left_ms = request
                .deadline
                .saturating_duration_since(self.state.clock.now())
                .as_millis() as u64,
            result:% = result.as_ref().map_or_else(
                || SmolStr::new_static("no end in time"),
                describe_result,
            );
            "entry: Attempt ended."
        );
        guard.result = match &result {
            Some(CallResult::Reply(reply)) => {
                self.record_load(request, instance, reply);
                instance_result(&reply.result)
            }
            Some(CallResult::NotSent | CallResult::Lost) => InstanceResult::Failed,
            None => InstanceResult::Abandoned,
        };
        result
    }

    fn record_load(
        &self,
        request: &AdmittedRequest<'_>,
        instance: &SelectedInstance,
        reply: &ReplyFrame,
    ) {
        let time = reply.service_time_us.map(Duration::from_micros);
        let time = time.map(|time| (&request.route.name, time));
        let now = self.state.clock.now();
        let mut selector = self.state.selector.lock();
        selector.record_report(instance.key, reply.load, time, now);
        selector.record_notes(instance.key, &reply.notes);
    }

    fn call_frame(
        &self,
        request: &AdmittedRequest<'_>,
        instance: &SelectedInstance,
        max_wait: Duration,
    ) -> CallFrame {
        let remaining = request
            .deadline
            .saturating_duration_since(self.state.clock.now());
        CallFrame {
            number: self.state.next_run_number(),
            service: request.service.clone(),
            instance: instance.id.clone(),
            caller_service: self.state.settings.service.clone(),
            route: request.route.name.clone(),
            class: if request.is_nested {
                NESTED_CLASS
            } else {
                NESTED_CLASS + 1 + request.resolved.rank().min(MAX_RANK)
            },
            rank: (xxh3_64(&request.attempt_id) >> 48) as u16,
            is_marked_retry: false,
            max_wait_ms: max_wait.as_millis() as u32,
            is_at_most_once: request.route.semantics == RunSemantics::AtMostOnce,
            remaining_ms: remaining.as_millis() as u32,
            queued_at_us: self.state.uptime_us(),
            method: request.method.clone(),
            attempt_id: request.attempt_id.clone(),
            head: request.head.clone(),
            body: request.body.clone(),
            caller: request.resolved.caller(),
        }
    }

    /// Returns how long the request may take, from its deadline header and its route.
    fn remaining_time(&self, head: &RequestHead, route: &RouteSpec) -> Duration {
        let stated = head.headers.text(self.state.headers.deadline_ms);
        let stated = stated.and_then(|text| text.parse().ok());
        let time = stated.map_or(route.timeout, |ms| {
            Duration::from_millis(ms).saturating_sub(RESPONSE_MARGIN)
        });
        time.min(route.timeout)
    }

    /// Returns the request line and the header fields that are forwarded to the backend server.
    fn forwarded_head(&self, head: &RequestHead, resolved: &ResolvedRequest) -> Bytes {
        let headers = &self.state.headers;
        let mut dropped = vec![
            headers.deadline_ms,
            headers.expected_instance,
            headers.caller_service,
            "Expect",
        ];
        if resolved.has_organisations() {
            dropped.extend([headers.api_key, headers.organisation]);
        }
        let service = &self.state.settings.service;
        let mut added = vec![(headers.caller_service, service.as_str())];
        if let Some(organisation) = resolved.organisation() {
            added.push((headers.organisation, organisation.name.as_str()));
        }
        forwarded_head::encode(head, &dropped, added)
    }
}

/// Returns the log level for the result of a request or attempt. Most succeed, and only the others
/// are needed to trace a fault.
fn log_level(is_served: bool) -> log::Level {
    if is_served {
        log::Level::Debug
    } else {
        log::Level::Info
    }
}

impl From<LocalReason> for RequestFailure {
    fn from(reason: LocalReason) -> Self {
        Self {
            reason,
            max_retry_after: DEFAULT_MAX_RETRY_AFTER,
        }
    }
}

/// Reports the result of an attempt, also when the caller disconnects.
struct AttemptGuard<'a> {
    state: &'a FleetState,
    key: InstanceKey,
    result: InstanceResult,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        self.state
            .selector
            .lock()
            .record_result(self.key, self.result, now);
    }
}
