//! Attempts at a request that was admitted at its entry: selects instances and retries.

use crate::{
    common::*,
    decision::mesh::{
        admission_plan::{AdmissionPlan, ServiceCost},
        instance_selector::{InstanceKey, InstanceResult, SelectedInstance, SelectionRequest},
        request_fingerprint::RequestFingerprint,
        route_table::RunSemantics,
    },
    mesh::{
        attempt_history::{
            AttemptHistory, MAX_REFUSALS, describe_result, instance_result, log_level,
        },
        caller_response::LocalReason,
        fleet_state::FleetState,
        peer_frame::{CallFrame, NESTED_CLASS, ReplyFrame, RunResponse},
        peer_link::{CallResult, UnsentReason},
        peer_links::PeerLinks,
        resolved_request::ResolvedRequest,
    },
};
use bytes::Bytes;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64;

/// Time after the deadline of a request in which the executor can still report that it was not run,
/// so that the request is refused instead of timed out.
const RESULT_GRACE: Duration = Duration::from_millis(60);

/// Divisor of the latency target that gives the longest wait of a root request for a slot of the
/// last instance to try. A caller that is refused by then has time for a retry.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Longest wait of a root request for a slot while other instances are left to try.
const SHORT_MAX_WAIT: Duration = Duration::from_millis(4);

/// Admitted request.
pub struct AdmittedRequest<'a> {
    /// Route and caller.
    pub resolved: &'a ResolvedRequest,
    /// Service that is to run the request.
    pub service: SmolStr,
    /// Method.
    pub method: SmolStr,
    /// Identifier of the caller's attempt.
    pub attempt_id: Bytes,
    /// Head as it is forwarded.
    pub head: Bytes,
    /// Whole body.
    pub body: Bytes,
    /// Time by which the request must be responded to.
    pub deadline: Instant,
    /// Admission plan when the request was admitted.
    pub plan: Arc<AdmissionPlan>,
    /// Whether the request is a call of a backend server.
    pub is_nested: bool,
}

/// Makes attempts at admitted requests.
pub struct AttemptRunner {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
}

impl AttemptRunner {
    /// Creates a runner.
    pub fn new(state: Arc<FleetState>, links: Arc<PeerLinks>) -> Self {
        Self { state, links }
    }

    /// Makes attempts at a request until its result is final.
    pub async fn run(&self, request: &AdmittedRequest<'_>) -> Result<RunResponse, LocalReason> {
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
            let (service, route) = (&request.service, request.resolved.route());
            let selection = SelectionRequest {
                service,
                route: &route.name,
                latency_target: route.latency_target,
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
                    route:% = route.name,
                    reached = u64::from(history.reached),
                    granted = u64::from(is_granted);
                    "entry: Repeat considered."
                );
                if !is_granted {
                    let mut selector = state.selector.lock();
                    selector.record_result(instance.key, InstanceResult::Abandoned, now);
                    return history.finish(LocalReason::Budget);
                }
                history.granted += 1;
                state.metrics.count_retry();
                if let Some(organisation) = request.resolved.organisation() {
                    let mut allotments = state.allotments.lock();
                    allotments.take_repeat(&organisation.name, now);
                }
            }
            history.tried.push(instance.address);
            let is_last = history.refusals + 1 >= MAX_REFUSALS
                || !state
                    .selector
                    .lock()
                    .has_alternative(service, &history.tried, now);
            let max_wait = if is_last {
                route.latency_target / MAX_WAIT_DIVISOR
            } else {
                SHORT_MAX_WAIT
            };
            match self.make_attempt(request, &instance, max_wait).await {
                Some(result) => {
                    let may_retry = self.may_retry_after(request, &result);
                    if let Some(final_result) = history.record_result(result, route) {
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
        let route = request.resolved.route();
        let planned = plan.route(&route.name);
        let costs = planned.map_or(single_run.as_slice(), |planned| planned.costs.as_slice());
        // While requests are refused, an error response of a run that makes calls probably results
        // from the refusal of a nested call. A retry would repeat all calls of the run.
        let makes_calls = costs.len() > route.targets.len();
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
        let run_number = frame.number;
        let result_deadline = request.deadline + RESULT_GRACE;
        let result = if instance.address.ip() == self.state.settings.peer.ip() {
            let executor = &self.state.executor;
            let running = executor.run_call(&frame, request.deadline, &|| true);
            let reply = timeout_at(result_deadline.into(), running).await;
            reply.ok().map(|reply| CallResult::Reply(Arc::new(reply)))
        } else {
            let port = self.state.settings.peer.port();
            let address = SocketAddr::new(instance.address.ip(), port);
            match self.links.link(address) {
                Some(link) => link.call(frame).result_by(result_deadline).await,
                None => Some(CallResult::NotSent(UnsentReason::Unreachable)),
            }
        };
        let is_served = matches!(&result, Some(CallResult::Reply(reply))
            if instance_result(&reply.result) == InstanceResult::Responded);
        log::log!(
            log_level(is_served),
            attempt:% = request.attempt_id.escape_ascii(),
            instance:% = instance.id,
            address:% = instance.address,
            run = run_number,
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
            Some(CallResult::NotSent(_) | CallResult::Lost) => InstanceResult::Failed,
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
        let time = time.map(|time| (&request.resolved.route().name, time));
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
        let route = request.resolved.route();
        CallFrame {
            number: self.state.next_run_number(),
            service: request.service.clone(),
            instance: instance.id.clone(),
            caller_service: self.state.settings.service.clone(),
            route: route.name.clone(),
            class: if request.is_nested {
                NESTED_CLASS
            } else {
                NESTED_CLASS + 1 + request.resolved.rank()
            },
            rank: (xxh3_64(&request.attempt_id) >> 48) as u16,
            is_marked_retry: false,
            max_wait_ms: max_wait.as_millis() as u32,
            is_at_most_once: route.semantics == RunSemantics::AtMostOnce,
            remaining_ms: remaining.as_millis() as u32,
            queued_at_us: self.state.uptime_us(),
            method: request.method.clone(),
            attempt_id: request.attempt_id.clone(),
            head: request.head.clone(),
            body: request.body.clone(),
            caller: request.resolved.caller(),
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
