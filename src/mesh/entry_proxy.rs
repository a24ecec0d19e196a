//! Proxy at the entry of a request: admits it, selects instances and retries failed attempts.

use crate::{
    common::*,
    decision::mesh::{
        admission_plan::AdmissionPlan,
        crash_suspects::SuspectVerdict,
        entry_admission::EntryRequest,
        route_table::{RouteSpec, RouteTable},
    },
    http1::message_head::RequestHead,
    mesh::{
        attempt_history::log_level,
        attempt_runner::{AdmittedRequest, AttemptRunner},
        caller_response::{CallerRequest, CallerResponse, LocalReason},
        fleet_state::FleetState,
        forwarded_head,
        peer_frame::RunResponse,
        peer_links::PeerLinks,
        resolved_request::ResolvedRequest,
        task_names,
    },
};
use bytes::Bytes;
use smol_str::format_smolstr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time by which the daemon responds before the caller's own deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(80);

/// Longest `Retry-After` time of a request that is refused because there is no configuration yet.
const DEFAULT_MAX_RETRY_AFTER: Duration = Duration::from_millis(600);

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
    runner: AttemptRunner,
}

/// Request with what is decided about it at its entry.
struct EnteredRequest<'a> {
    received: &'a CallerRequest,
    attempt_id: &'a Bytes,
    resolved: &'a ResolvedRequest,
    plan: Arc<AdmissionPlan>,
    is_nested: bool,
    deadline: Instant,
}

/// Refusal or failure for which the daemon creates a local response.
struct RequestFailure {
    reason: LocalReason,
    max_retry_after: Duration,
}

impl EntryProxy {
    /// Creates a proxy.
    pub fn new(state: Arc<FleetState>, links: Arc<PeerLinks>) -> Self {
        let runner = AttemptRunner::new(Arc::clone(&state), links);
        Self { state, runner }
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

    /// Serves a request and returns its response. A panic fails only this request, which may have run.
    pub async fn serve(&self, request: CallerRequest) -> CallerResponse {
        let attempt_id = request.head.headers.get(self.state.headers.attempt);
        let attempt_id = Bytes::copy_from_slice(attempt_id.unwrap_or_default());
        let serving = self.serve_attempt(request, attempt_id.clone());
        let response = self.state.tasks.guard(task_names::CALLER_REQUEST, serving);
        response
            .await
            .unwrap_or_else(|| self.local_response(LocalReason::Lost, &attempt_id, Duration::ZERO))
    }

    async fn serve_attempt(&self, request: CallerRequest, attempt_id: Bytes) -> CallerResponse {
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
            let is_refused = |failure: &RequestFailure| {
                matches!(failure.reason, LocalReason::OverAllotment { .. })
            };
            let is_granted = !result.as_ref().is_err_and(is_refused);
            let metrics = &state.metrics;
            metrics.count_organisation_request(&organisation.name, is_granted);
        }
    }

    /// Finds the route of a request, and the organisation of its caller.
    fn resolve(&self, head: &RequestHead) -> Result<ResolvedRequest, LocalReason> {
        let routes = self.state.routes().filter(|_| !self.state.is_starting());
        let routes: Arc<RouteTable> = routes.ok_or(LocalReason::NoConfig)?;
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
        let entered = EnteredRequest {
            received: request,
            attempt_id,
            resolved,
            plan,
            is_nested,
            deadline: request.received + remaining,
        };
        let result = self.admit(&entered).await;
        if is_nested {
            executor.count_call_end(&route.name, request.received);
            if result.as_ref().is_err_and(|reason| reason.is_overload()) {
                executor.count_unserved_call(&route.name);
            }
        }
        result.map_err(failure)
    }

    /// Serves a request, unless it is refused before any attempt.
    async fn admit(&self, request: &EnteredRequest<'_>) -> Result<RunResponse, LocalReason> {
        let state = &self.state;
        let organisation = request.resolved.identity()?;
        if organisation.is_some() && !state.accepts_keys() {
            return Err(LocalReason::OutdatedKeys);
        }
        if !state.is_running_until(request.deadline) {
            return Err(LocalReason::Leaving);
        }
        if !state.can_reach_needed_services(&request.resolved.route().name) {
            return Err(LocalReason::NoInstance);
        }
        let Some(organisation) = organisation else {
            return self.run_planned(request).await;
        };
        let granted_at = state.clock.now();
        state.take_allotment(organisation)?;
        let result = self.run_planned(request).await;
        if result.as_ref().is_err_and(|reason| reason.is_refusal()) {
            let mut allotments = state.allotments.lock();
            allotments.give_back(&organisation.name, granted_at, state.clock.now());
        }
        result
    }

    /// Serves a request unless the plan refuses it.
    async fn run_planned(&self, request: &EnteredRequest<'_>) -> Result<RunResponse, LocalReason> {
        if !request.is_nested && !self.is_planned(request) {
            return Err(LocalReason::Shed);
        }
        let resolved = request.resolved;
        let service = self.state.traffic_split.lock().select(resolved.route());
        let CallerRequest { head, body, .. } = request.received;
        let admitted = AdmittedRequest {
            resolved,
            service: service.ok_or(LocalReason::NoInstance)?,
            method: head.method.clone(),
            attempt_id: request.attempt_id.clone(),
            head: self.forwarded_head(head, resolved),
            body: body.clone(),
            deadline: request.deadline,
            plan: Arc::clone(&request.plan),
            is_nested: request.is_nested,
        };
        let verdict = self.state.suspects.verdict(&admitted.head, &admitted.body);
        if verdict == SuspectVerdict::Refused {
            return Err(LocalReason::CrashSuspect);
        }
        self.runner.run(&admitted).await
    }

    /// Returns whether a root request is within the planned share of its route.
    fn is_planned(&self, request: &EnteredRequest<'_>) -> bool {
        let route = &request.resolved.route().name;
        let head = &request.received.head;
        // A caller that sends a refused request again repeats its host and target. Such requests
        // are preferred.
        let fingerprint = xxh3_64_with_seed(
            head.target.as_bytes(),
            xxh3_64(head.headers.get("Host").unwrap_or_default()),
        );
        let entering = EntryRequest {
            route,
            share: request.plan.share(route),
            fingerprint,
            is_important: request.resolved.is_important(),
        };
        let now = self.state.clock.now();
        self.state.entry_admission.lock().admit(entering, now)
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

impl From<LocalReason> for RequestFailure {
    fn from(reason: LocalReason) -> Self {
        Self {
            reason,
            max_retry_after: DEFAULT_MAX_RETRY_AFTER,
        }
    }
}
