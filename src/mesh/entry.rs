//! Way of a request from its caller to an instance and back.

use crate::{
    common::*,
    decision::mesh::{
        admission_plan::{AdmissionPlan, ServiceCost},
        instance_choice::{AttemptEnd, ChosenInstance, InstanceKey},
        route_table::{RouteSpec, RunRule},
    },
    http1::message_head::RequestHead,
    mesh::{
        attempt_history::{AttemptHistory, MAX_REFUSALS, attempt_end, describe_end},
        entry_answer::{CallerRequest, EntryAnswer, OwnAnswer},
        fleet_state::FleetState,
        peer_frame::{CallFrame, NESTED_CLASS, ReplyFrame, RunAnswer},
        peer_link::CallEnd,
        peer_links::PeerLinks,
    },
};
use bytes::{BufMut, Bytes, BytesMut};
use smol_str::format_smolstr;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time before the end of the caller's patience at which it gets its answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(80);

/// Longest time after which a refused caller without a route may come back.
const DEFAULT_RETURN_TIME: Duration = Duration::from_millis(600);

/// Most class levels below that of nested calls.
const MAX_PRIORITY: u8 = 5;

/// Time beyond the caller's patience in which the executor tells whether a request was run, so that
/// one that was not is refused as such.
const VERDICT_TIME: Duration = Duration::from_millis(60);

/// Part of the latency target that a root request may wait for a slot where no other instance is left to
/// ask, as a divisor. A caller refused by then has time to come back.
const PATIENCE_DIVISOR: u32 = 4;

/// Time that a root request waits for a slot while other instances are left to ask.
const SHORT_PATIENCE: Duration = Duration::from_millis(4);

/// Part of the caller's time after which a refused request is worth sending again at the latest.
const RETURN_SHARE: f64 = 0.33;

/// Part of the latency target after which a refused request is worth sending again at the latest.
const RETURN_TARGET_SHARE: f64 = 0.5;

/// Takes requests of callers to the instances.
pub struct RequestEntry {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
}

/// Request with what was decided at its entry.
struct EnteredRequest<'a> {
    route: &'a RouteSpec,
    service: SmolStr,
    method: SmolStr,
    attempt: Bytes,
    head: Bytes,
    body: Bytes,
    limit: Instant,
    plan: Arc<AdmissionPlan>,
    is_nested: bool,
}

/// Refusal or failure that the daemon answers itself.
struct OwnEnd {
    reason: OwnAnswer,
    return_time: Duration,
}

impl RequestEntry {
    /// Creates the entry.
    pub fn new(state: Arc<FleetState>, links: Arc<PeerLinks>) -> Self {
        Self { state, links }
    }

    /// Returns the state of the daemon.
    pub fn state(&self) -> &Arc<FleetState> {
        &self.state
    }

    /// Creates an answer of the daemon itself. Refused callers come back within `return_time`, spread
    /// over its second half.
    pub fn own_answer(
        &self,
        reason: OwnAnswer,
        attempt: &[u8],
        return_time: Duration,
    ) -> EntryAnswer {
        let is_refusal = reason.status() == 503;
        let retry_after =
            is_refusal.then(|| return_time.mul_f64(0.5 + 0.5 * rand::random::<f64>()));
        EntryAnswer::own(reason, retry_after, attempt, &self.state.headers)
    }

    /// Answers a request.
    pub async fn serve(&self, request: CallerRequest) -> EntryAnswer {
        let attempt = request.head.headers.get(self.state.headers.attempt);
        let attempt = Bytes::copy_from_slice(attempt.unwrap_or_default());
        let result = self.answer(&request, &attempt).await;
        self.record_end(&request, &attempt, &result);
        match result {
            Ok(answer) => EntryAnswer::passed_on(answer),
            Err(end) => self.own_answer(end.reason, &attempt, end.return_time),
        }
    }

    /// Writes the line and the metrics of an answered request.
    fn record_end(
        &self,
        request: &CallerRequest,
        attempt: &[u8],
        result: &Result<RunAnswer, OwnEnd>,
    ) {
        let state = &self.state;
        let time = state
            .clock
            .now()
            .saturating_duration_since(request.received);
        let end = match result {
            Ok(answer) => format_smolstr!("{}", answer.status),
            Err(end) => SmolStr::new_static(end.reason.name()),
        };
        let routes = state.routes();
        let host = request.head.headers.text("Host").unwrap_or_default();
        let route = routes
            .as_ref()
            .and_then(|routes| routes.find(host, &request.head.target));
        let name = route.map_or(SmolStr::new_static("none"), |route| route.name.clone());
        let is_served = matches!(result, Ok(answer) if answer.status < 500);
        let level = line_level(is_served);
        if log::log_enabled!(level) {
            let plan = state.plan();
            let planned = plan.route(&name);
            let version = routes.as_ref().map_or(0, |routes| routes.version().0);
            log::log!(
                level,
                attempt:% = attempt.escape_ascii(),
                route:% = name,
                target:% = request.head.target,
                end:% = end,
                time_ms = time.as_millis() as u64,
                config = version,
                share = planned.map_or(1.0, |planned| planned.share),
                nested = u64::from(planned.is_some_and(|planned| planned.is_nested)),
                plan_daemons = plan.daemons() as u64;
                "entry: Answered."
            );
        }
        state.metrics.count_request(&name, &end, time);
    }

    async fn answer(&self, request: &CallerRequest, attempt: &Bytes) -> Result<RunAnswer, OwnEnd> {
        let routes = self.state.routes().ok_or(OwnAnswer::NoConfig)?;
        let host = request.head.headers.text("Host").unwrap_or_default();
        let route = routes
            .find(host, &request.head.target)
            .ok_or(OwnAnswer::NoRoute)?;
        let patience = self.patience(&request.head, route);
        let return_time = patience
            .mul_f64(RETURN_SHARE)
            .min(route.latency_target.mul_f64(RETURN_TARGET_SHARE));
        let own_end = |reason| OwnEnd {
            reason,
            return_time,
        };
        let plan = self.state.plan();
        let is_nested = plan.route(&route.name).is_some_and(|plan| plan.is_nested);
        self.state.executor.count_entry(&route.name, is_nested);
        if !self.state.lasts_until(request.received + patience) {
            return Err(own_end(OwnAnswer::Leaving));
        }
        if !self.state.can_complete(&route.name) {
            return Err(own_end(OwnAnswer::NoInstance));
        }
        if !is_nested && !self.is_admitted(request, route, &plan) {
            return Err(own_end(OwnAnswer::Shed));
        }
        let service = self.state.spread.lock().choose(route);
        let service = service.ok_or(own_end(OwnAnswer::NoInstance))?;
        let entered = EnteredRequest {
            head: self.forwarded_head(&request.head),
            method: request.head.method.clone(),
            attempt: attempt.clone(),
            body: request.body.clone(),
            limit: request.received + patience,
            service,
            route,
            plan,
            is_nested,
        };
        self.attempt_until_answered(&entered).await.map_err(own_end)
    }

    /// Decides whether the services that a root request needs have room for it.
    fn is_admitted(
        &self,
        request: &CallerRequest,
        route: &RouteSpec,
        plan: &AdmissionPlan,
    ) -> bool {
        let share = plan.route(&route.name).map_or(1.0, |plan| plan.share);
        let head = &request.head;
        let fingerprint = xxh3_64_with_seed(
            head.target.as_bytes(),
            xxh3_64(head.headers.get("Host").unwrap_or_default()),
        );
        let now = self.state.clock.now();
        let mut admission = self.state.admission.lock();
        admission.admit(&route.name, share, fingerprint, now)
    }

    async fn attempt_until_answered(
        &self,
        request: &EnteredRequest<'_>,
    ) -> Result<RunAnswer, OwnAnswer> {
        let state = &self.state;
        state
            .budget
            .lock()
            .on_request(&request.service, state.clock.now());
        let mut history = AttemptHistory::default();
        loop {
            let now = state.clock.now();
            if now >= request.limit {
                return history.end(OwnAnswer::Expired);
            }
            let (service, route) = (&request.service, &request.route.name);
            let chosen =
                state
                    .choice
                    .lock()
                    .choose(service, route, &history.tried, !request.is_nested, now);
            let Some(instance) = chosen else {
                return history.end(if history.refusals > 0 {
                    OwnAnswer::Busy
                } else {
                    OwnAnswer::NoInstance
                });
            };
            if history.reached > 0 {
                let is_granted = self.may_repeat(request, &history, now);
                log::info!(
                    attempt:% = request.attempt.escape_ascii(),
                    route:% = request.route.name,
                    reached = u64::from(history.reached),
                    granted = u64::from(is_granted);
                    "entry: Repeat considered."
                );
                if is_granted {
                    state.metrics.count_repeat();
                }
                if !is_granted {
                    let mut choice = state.choice.lock();
                    choice.finish(instance.key, AttemptEnd::Abandoned, now);
                    return history.end(OwnAnswer::Budget);
                }
            }
            history.tried.push(instance.key);
            let is_last = history.refusals + 1 >= MAX_REFUSALS
                || !state.choice.lock().has_other(service, &history.tried, now);
            let patience = if is_last {
                request.route.latency_target / PATIENCE_DIVISOR
            } else {
                SHORT_PATIENCE
            };
            match self.attempt(request, &instance, patience).await {
                Some(end) => {
                    if let Some(answer) = history.record(end, request.route) {
                        return answer;
                    }
                }
                None => {
                    history.may_have_run = true;
                    return history.end(OwnAnswer::Timeout);
                }
            }
        }
    }

    /// Decides whether a request may be sent to another upstream after one may have seen it.
    fn may_repeat(
        &self,
        request: &EnteredRequest<'_>,
        history: &AttemptHistory,
        now: Instant,
    ) -> bool {
        let plan = &request.plan;
        let single = [ServiceCost {
            service: request.service.clone(),
            runs: 1.0,
            slot_seconds: 0.0,
        }];
        let planned = plan.route(&request.route.name);
        let costs = planned.map_or(single.as_slice(), |planned| planned.costs.as_slice());
        // A run that fails because its calls are refused would be repeated with all of them.
        let makes_calls = costs.len() > request.route.targets.len();
        if history.failure.is_some() && makes_calls && plan.is_shedding() {
            return false;
        }
        let rate = |service: &str| plan.rate(service);
        let mut budget = self.state.budget.lock();
        budget.take_repeat(costs, rate, plan.daemons(), now)
    }

    /// Makes one attempt; returns `None` if no end is known in time.
    async fn attempt(
        &self,
        request: &EnteredRequest<'_>,
        instance: &ChosenInstance,
        patience: Duration,
    ) -> Option<CallEnd> {
        let mut guard = AttemptGuard {
            state: &self.state,
            key: instance.key,
            end: AttemptEnd::Abandoned,
        };
        let frame = self.call_frame(request, instance, patience);
        let limit = request.limit + VERDICT_TIME;
        let end = if instance.address.ip() == self.state.settings.peer.ip() {
            let running = self.state.executor.reply(&frame, request.limit);
            let reply = timeout_at(limit.into(), running).await;
            reply.ok().map(|reply| CallEnd::Reply(Arc::new(reply)))
        } else {
            let port = self.state.settings.peer.port();
            let address = SocketAddr::new(instance.address.ip(), port);
            match self.links.link(address) {
                Some(link) => link.call(frame).end_by(limit).await,
                None => Some(CallEnd::NotSent),
            }
        };
        let is_served = matches!(&end, Some(CallEnd::Reply(reply))
            if attempt_end(&reply.end) == AttemptEnd::Answered);
        log::log!(
            line_level(is_served),
            attempt:% = request.attempt.escape_ascii(),
            instance:% = instance.id,
            address:% = instance.address,
            left_ms = request
                .limit
                .saturating_duration_since(self.state.clock.now())
                .as_millis() as u64,
            result:% = end.as_ref().map_or_else(
                || SmolStr::new_static("no end in time"),
                describe_end,
            );
            "entry: Attempt ended."
        );
        guard.end = match &end {
            Some(CallEnd::Reply(reply)) => {
                self.record_load(request, instance, reply);
                attempt_end(&reply.end)
            }
            Some(CallEnd::NotSent | CallEnd::Lost) => AttemptEnd::Failed,
            None => AttemptEnd::Abandoned,
        };
        end
    }

    fn record_load(
        &self,
        request: &EnteredRequest<'_>,
        instance: &ChosenInstance,
        reply: &ReplyFrame,
    ) {
        let time = reply.service_time_us.map(Duration::from_micros);
        let time = time.map(|time| (&request.route.name, time));
        let now = self.state.clock.now();
        let mut choice = self.state.choice.lock();
        choice.set_report(instance.key, reply.load, time, now);
    }

    fn call_frame(
        &self,
        request: &EnteredRequest<'_>,
        instance: &ChosenInstance,
        patience: Duration,
    ) -> CallFrame {
        let left = request
            .limit
            .saturating_duration_since(self.state.clock.now());
        CallFrame {
            number: self.state.next_number(),
            service: request.service.clone(),
            instance: instance.id.clone(),
            origin: self.state.settings.service.clone(),
            route: request.route.name.clone(),
            class: if request.is_nested {
                NESTED_CLASS
            } else {
                NESTED_CLASS + 1 + request.route.priority.min(MAX_PRIORITY)
            },
            rank: (xxh3_64(&request.attempt) >> 48) as u16,
            is_repeat: false,
            patience_ms: patience.as_millis() as u32,
            is_once: request.route.rule == RunRule::Once,
            budget_ms: left.as_millis() as u32,
            sent_us: self.state.uptime_us(),
            method: request.method.clone(),
            attempt: request.attempt.clone(),
            head: request.head.clone(),
            body: request.body.clone(),
        }
    }

    /// Returns how long the caller waits for the final answer.
    fn patience(&self, head: &RequestHead, route: &RouteSpec) -> Duration {
        let stated = head.headers.text(self.state.headers.deadline_ms);
        let stated = stated.and_then(|text| text.parse().ok());
        let deadline = stated.map_or(route.timeout, |ms| {
            Duration::from_millis(ms).saturating_sub(ANSWER_MARGIN)
        });
        deadline.min(route.timeout)
    }

    /// Returns the request line and the header fields that the backend server gets.
    fn forwarded_head(&self, head: &RequestHead) -> Bytes {
        let headers = &self.state.headers;
        let replaced = [
            headers.deadline_ms,
            headers.expected_instance,
            headers.caller_service,
            "Expect",
        ];
        let is_dropped = |name: &[u8]| {
            replaced
                .iter()
                .any(|field| name.eq_ignore_ascii_case(field.as_bytes()))
        };
        let mut lines = BytesMut::with_capacity(512);
        lines.put_slice(head.method.as_bytes());
        lines.put_u8(b' ');
        lines.put_slice(head.target.as_bytes());
        lines.put_slice(b" HTTP/1.1\r\n");
        for (name, value) in head.headers.end_to_end(is_dropped) {
            lines.put_slice(name);
            lines.put_slice(b": ");
            lines.put_slice(value);
            lines.put_slice(b"\r\n");
        }
        lines.put_slice(headers.caller_service.as_bytes());
        lines.put_slice(b": ");
        lines.put_slice(self.state.settings.service.as_bytes());
        lines.put_slice(b"\r\n");
        lines.freeze()
    }
}

/// Returns the level of a line about a request. Most requests are served, and only the others need to be
/// explained afterwards.
fn line_level(is_served: bool) -> log::Level {
    if is_served {
        log::Level::Debug
    } else {
        log::Level::Info
    }
}

impl From<OwnAnswer> for OwnEnd {
    fn from(reason: OwnAnswer) -> Self {
        Self {
            reason,
            return_time: DEFAULT_RETURN_TIME,
        }
    }
}

/// Reports the end of an attempt, also when the caller leaves.
struct AttemptGuard<'a> {
    state: &'a FleetState,
    key: InstanceKey,
    end: AttemptEnd,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        self.state.choice.lock().finish(self.key, self.end, now);
    }
}
