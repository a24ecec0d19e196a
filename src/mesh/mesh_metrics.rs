//! Metrics of a daemon whose routes and instances are published in a store.

use crate::{common::*, decision::mesh::instance_selector::LoadReport};
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

/// Upper bounds of the response time: 1 ms to 8 s, each twice the previous one.
const RESPONSE_TIME_BUCKETS: (f64, f64, u16) = (0.001, 2.0, 14);

type Labels = Vec<(&'static str, String)>;

/// Metrics of one daemon.
#[derive(Debug)]
pub struct MeshMetrics {
    registry: Registry,
    requests: Family<Labels, Counter>,
    response_time: Histogram,
    retries: Counter,
    store_failures: Counter,
    in_flight: Gauge,
    queued: Gauge,
    limit: Gauge,
    config_version: Gauge,
    members: Gauge,
}

impl MeshMetrics {
    /// Creates the metrics.
    pub fn new() -> Self {
        let (start, factor, length) = RESPONSE_TIME_BUCKETS;
        let mut metrics = Self {
            registry: Registry::with_prefix("skylark"),
            requests: Family::default(),
            response_time: Histogram::new(exponential_buckets(start, factor, length)),
            retries: Counter::default(),
            store_failures: Counter::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            config_version: Gauge::default(),
            members: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let requests = self.requests.clone();
        registry.register(
            "entered",
            "Requests that entered here, by their end",
            requests,
        );
        registry.register_with_unit(
            "answer_time",
            "Time from a request to its answer",
            Unit::Seconds,
            self.response_time.clone(),
        );
        let retries = self.retries.clone();
        registry.register("repeats", "Requests sent to a further upstream", retries);
        let failures = self.store_failures.clone();
        registry.register("store_losses", "Times that the store was lost", failures);
        let gauges = [
            (
                "runs_in_flight",
                "Requests at the backend server",
                &self.in_flight,
            ),
            ("runs_queued", "Requests that wait for a slot", &self.queued),
            (
                "run_limit",
                "Requests that the gate lets through",
                &self.limit,
            ),
            (
                "config_version",
                "Version of the routes in force",
                &self.config_version,
            ),
            ("members", "Instances of all services", &self.members),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a request that was responded to. `result` is the status of the backend server's
    /// response or the reason of a local response.
    pub fn count_request(&self, route: &str, result: &str, time: Duration) {
        let labels = vec![("route", route.to_string()), ("end", result.to_owned())];
        self.requests.get_or_create(&labels).inc();
        self.response_time.observe(time.as_secs_f64());
    }

    /// Counts a retry of a request at another instance.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a failed call to the store.
    pub fn count_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn text(&self, load: LoadReport, config_version: u64, members: usize) -> String {
        self.in_flight.set(load.in_flight.into());
        self.queued.set(load.queued.into());
        self.limit.set(load.limit.into());
        self.config_version.set(config_version as i64);
        self.members.set(members as i64);
        let mut output = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut output, &self.registry);
        output
    }
}

impl Default for MeshMetrics {
    fn default() -> Self {
        Self::new()
    }
}
