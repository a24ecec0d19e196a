//! Metrics of one daemon.

use crate::{
    common::*,
    controller::gate_controller::GateLoad,
    decision::request_priority::RequestPriority,
    shell::{attempt_counters::AttemptCounters, request_counters::RequestCounters},
};
use prometheus_client::{
    encoding::text,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

/// Buckets of the added latency (start in seconds, factor, length): 20 us to 0.33 s. The target of
/// 0.6 ms lies between 0.32 ms and 0.64 ms.
const LATENCY_BUCKETS: (f64, f64, u16) = (20e-6, 2.0, 15);
/// Buckets of the profile lag (start in seconds, factor, length): 0.1 s to 51 s.
const LAG_BUCKETS: (f64, f64, u16) = (0.1, 2.0, 10);

type Labels = Vec<(&'static str, String)>;

/// Gauges that are updated when the metrics are read.
#[derive(Debug, Default)]
struct LoadGauges {
    in_flight: Gauge,
    queued: Gauge,
    limit: Gauge,
    threshold_class: Gauge,
    threshold_rank: Gauge,
}

/// Metrics of one daemon. The counters of requests and attempts are created at start, so that
/// counting does not lock a map.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    requests: Arc<RequestCounters>,
    attempts: Arc<AttemptCounters>,
    added_latency: Histogram,
    profile_version: Family<Labels, Gauge>,
    profile_lag: Histogram,
    drains: Counter,
    load: LoadGauges,
}

impl DaemonMetrics {
    /// Creates the metrics of a daemon whose backend server calls `services`. `dropped_spans` is
    /// the counter of spans that were not exported.
    pub fn new(services: &[SmolStr], dropped_spans: Counter) -> Self {
        let (start, factor, length) = LATENCY_BUCKETS;
        let added_latency = Histogram::new(exponential_buckets(start, factor, length));
        let (start, factor, length) = LAG_BUCKETS;
        let profile_lag = Histogram::new(exponential_buckets(start, factor, length));
        let mut metrics = Self {
            registry: Registry::with_prefix("skylark"),
            requests: Arc::default(),
            attempts: Arc::new(AttemptCounters::new(services)),
            added_latency,
            profile_version: Family::default(),
            profile_lag,
            drains: Counter::default(),
            load: LoadGauges::default(),
        };
        metrics.register();
        let help = "Spans that were not exported";
        metrics
            .registry
            .register("spans_dropped", help, dropped_spans);
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register_collector(Box::new(Arc::clone(&self.requests)));
        registry.register_collector(Box::new(Arc::clone(&self.attempts)));
        registry.register_with_unit(
            "added_latency",
            "Time to the response head less the time of the backend server",
            Unit::Seconds,
            self.added_latency.clone(),
        );
        let version = self.profile_version.clone();
        registry.register(
            "profile_version",
            "Version of the profile in force",
            version,
        );
        registry.register_with_unit(
            "profile_lag",
            "Time from the first sight of a profile version until it was in force",
            Unit::Seconds,
            self.profile_lag.clone(),
        );
        registry.register("drains", "Drains begun", self.drains.clone());
        self.load.register(registry);
    }

    /// Counts a finished request. Without a `class`, its class was not determined.
    pub fn count_request(&self, outcome: &str, reason: &str, class: Option<u8>) {
        self.requests.count(outcome, reason, class);
    }

    /// Counts an attempt sent to a service.
    pub fn count_attempt(&self, service: &str, is_extra: bool) {
        self.attempts.count(service, is_extra);
    }

    /// Returns the numbers of first and extra attempts sent to a service.
    pub fn attempts(&self, service: &str) -> (u64, u64) {
        self.attempts.get(service)
    }

    /// Records the latency that the daemon added to one request.
    pub fn record_added_latency(&self, latency: Duration) {
        self.added_latency.observe(latency.as_secs_f64());
    }

    /// Sets the version of the profile in force for a service.
    pub fn set_profile_version(&self, service: &str, version: u64) {
        let labels = vec![("service", service.to_owned())];
        self.profile_version
            .get_or_create(&labels)
            .set(version as i64);
    }

    /// Records the time from when a profile version was first seen until it came into force.
    pub fn record_profile_lag(&self, lag: Duration) {
        self.profile_lag.observe(lag.as_secs_f64());
    }

    /// Counts a drain that starts.
    pub fn count_drain(&self) {
        self.drains.inc();
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self, load: GateLoad, threshold: RequestPriority) -> String {
        self.load.set(load, threshold);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}

impl LoadGauges {
    fn register(&self, registry: &mut Registry) {
        let gauges = [
            (
                "requests_in_flight",
                "Requests that the backend server works on",
                &self.in_flight,
            ),
            (
                "requests_queued",
                "Requests that wait for a slot",
                &self.queued,
            ),
            (
                "concurrency_limit_requests",
                "Requests that may be in flight",
                &self.limit,
            ),
            (
                "threshold_class",
                "Least important class level that is admitted",
                &self.threshold_class,
            ),
            (
                "threshold_rank",
                "Highest rank of that class that is admitted",
                &self.threshold_rank,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    fn set(&self, load: GateLoad, threshold: RequestPriority) {
        self.in_flight.set(load.in_flight.into());
        self.queued.set(load.queued as i64);
        self.limit.set(load.limit.into());
        self.threshold_class.set(threshold.class.into());
        self.threshold_rank.set(threshold.rank.into());
    }
}
