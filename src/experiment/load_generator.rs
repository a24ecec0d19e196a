//! Open-loop load generator whose callers retry failed requests after a short pause.

use crate::{
    common::*,
    decision::request_context::{CallId, RequestId},
    experiment::surge_plan::{SurgePhase, SurgePlan},
    filter::request_headers,
    shell::{header_names, http_client::HttpClient},
};
use gotham::helpers::http::Body;
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;

/// One attempt of a caller at a request.
#[derive(Clone, Copy, Debug)]
pub struct CallerAttempt {
    /// ID of the root request that the attempt starts, sent as its trace ID.
    pub root_request: RequestId,
    /// Whether a complete response with status 200 arrived in time.
    pub is_answered: bool,
}

/// Request of a caller with all its attempts.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Index of the class in the plan.
    pub class: usize,
    /// Phase in which the request was first sent.
    pub phase: SurgePhase,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<CallerAttempt>,
    /// Time of the successful response since the start of the experiment, if any.
    pub answered_at: Option<Duration>,
}

/// Sends the requests of a plan to the entry daemons of a chain.
#[derive(Clone, Debug)]
pub struct LoadGenerator {
    plan: Arc<SurgePlan>,
    entries: Arc<Vec<SocketAddr>>,
    service: SmolStr,
    client: HttpClient,
    start: Instant,
}

impl LoadGenerator {
    /// Creates a generator; the experiment starts now.
    pub fn new(plan: Arc<SurgePlan>, entries: Vec<SocketAddr>, service: SmolStr) -> Self {
        Self {
            plan,
            entries: Arc::new(entries),
            service,
            client: HttpClient::new(),
            start: Instant::now(),
        }
    }

    /// Sends all requests and returns them when the last one has finished.
    pub async fn run(self) -> Vec<CallerRequest> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed);
        let mut requests = JoinSet::new();
        let mut due = Duration::ZERO;
        while let Some(phase) = self.plan.phase(due) {
            tokio::time::sleep_until((self.start + due).into()).await;
            let class = self.plan.class_at(rng.random_range(0..100));
            let generator = self.clone();
            let seed = rng.random();
            requests.spawn(generator.send_request(class, phase, seed));
            // Exponential gaps model the arrivals of many independent callers (Poisson process).
            let gap = -(1.0 - rng.random::<f64>()).ln() / self.plan.rate(phase);
            due += Duration::from_secs_f64(gap);
        }
        requests.join_all().await
    }

    async fn send_request(self, class: usize, phase: SurgePhase, seed: u64) -> CallerRequest {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut request = CallerRequest {
            class,
            phase,
            attempts: Vec::new(),
            answered_at: None,
        };
        for number in 0..self.plan.caller_attempts {
            let entry = self.entries[rng.random_range(0..self.entries.len())];
            let id = RequestId(rng.random::<u128>().max(1));
            let attempt = self.send_attempt(entry, class, id, number > 0);
            let is_answered = tokio::time::timeout(self.plan.caller_timeout, attempt)
                .await
                .unwrap_or(false);
            request.attempts.push(CallerAttempt {
                root_request: id,
                is_answered,
            });
            if is_answered {
                request.answered_at = Some(self.start.elapsed());
                break;
            }
            let pause = Duration::from_millis(rng.random_range(10..50));
            tokio::time::sleep(pause).await;
        }
        request
    }

    async fn send_attempt(
        &self,
        entry: SocketAddr,
        class: usize,
        id: RequestId,
        is_retry: bool,
    ) -> bool {
        let Some(request) = self.attempt_request(entry, class, id, is_retry) else {
            return false;
        };
        let Ok(response) = self.client.send(entry, request).await else {
            return false;
        };
        let status = response.status();
        let body = response.into_body().collect().await;
        status == StatusCode::OK && body.is_ok()
    }

    fn attempt_request(
        &self,
        entry: SocketAddr,
        class: usize,
        id: RequestId,
        is_retry: bool,
    ) -> Option<Request<Body>> {
        let path = &self.plan.classes[class].path;
        let mut headers = HeaderMap::new();
        let span = CallId(id.0 as u64 | 1);
        request_headers::insert(&mut headers, HOST, &self.service);
        let trace = format_args!("00-{id}-{span}-01");
        request_headers::insert(&mut headers, header_names::TRACEPARENT, trace);
        if is_retry {
            request_headers::insert(&mut headers, header_names::RETRY, 1);
        }
        let mut request = Request::get(format!("http://{entry}{path}"))
            .body(Body::default())
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}
