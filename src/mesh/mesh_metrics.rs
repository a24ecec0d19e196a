//! Metrics of a daemon whose routes and instances are published in a store.

use crate::{
    common::*,
    decision::mesh::{instance_selector::LoadReport, store_position::StorePosition},
    mesh::store_contact::UpdateSource,
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
use std::sync::atomic::AtomicU64;

/// Upper bounds of the response time: 1 ms to 8 s, each twice the previous one.
const RESPONSE_TIME_BUCKETS: (f64, f64, u16) = (0.001, 2.0, 14);

/// What a daemon knows of the fleet, as reported in the metrics.
#[derive(Clone, Debug, Default)]
pub struct ViewReport {
    /// Version of the routes in force; 0 without one.
    pub config_version: u64,
    /// Number of instances of all services.
    pub members: usize,
    /// Whether the store has an entry of the local backend server.
    pub is_published: bool,
    /// Time since the store last responded, if this daemon reads it.
    pub response_age: Option<Duration>,
    /// Daemons of this data centre that read the store.
    pub store_readers: usize,
    /// Interval at which the daemons send each other their load.
    pub load_interval: Duration,
    /// Daemons whose load the admission plan uses.
    pub plan_daemons: usize,
    /// Age of the oldest load that the admission plan uses.
    pub oldest_summary: Duration,
    /// Limit that the local backend server names, in requests per second.
    pub named_rate: Option<f64>,
    /// Requests that were sent to the local backend server.
    pub runs: u64,
    /// Requests that were refused because of that limit.
    pub limited_runs: u64,
    /// Times that the local backend server ended while it ran requests.
    pub crashes: u64,
    /// Suspected requests that run only where no other suspect runs.
    pub isolated_requests: usize,
    /// Suspected requests that are refused.
    pub refused_requests: usize,
    /// How often refused requests came here.
    pub refused_arrivals: u64,
    /// Whether the local backend server has announced that it leaves.
    pub is_server_leaving: bool,
    /// Position of the store up to which the daemon has all entries.
    pub store_position: StorePosition,
    /// Panics of tasks since the start of the process, by task.
    pub task_panics: Vec<(&'static str, u64)>,
    /// Open connections of callers and peers.
    pub connections: u64,
    /// Those that the daemon has closed and the other end has not.
    pub closing_connections: u64,
}

type Labels = Vec<(&'static str, String)>;

/// Metrics of one daemon.
#[derive(Debug)]
pub struct MeshMetrics {
    registry: Registry,
    requests: Family<Labels, Counter>,
    organisation_requests: Family<Labels, Counter>,
    response_time: Histogram,
    retries: Counter,
    store_failures: Counter,
    store_updates: Family<Labels, Counter>,
    silent_links: Counter,
    resumed_runs: Family<Labels, Counter>,
    store_reading: Gauge,
    published: Gauge,
    server_leaving: Gauge,
    store_response_age: Gauge<f64, AtomicU64>,
    in_flight: Gauge,
    queued: Gauge,
    limit: Gauge,
    config_version: Gauge,
    members: Gauge,
    store_readers: Gauge,
    plan_daemons: Gauge,
    load_interval: Gauge<f64, AtomicU64>,
    plan_summary_age: Gauge<f64, AtomicU64>,
    named_limit: Family<Labels, Gauge<f64, AtomicU64>>,
    runs: Counter,
    limited_runs: Counter,
    crashes: Counter,
    suspects: Family<Labels, Gauge>,
    refused_arrivals: Counter,
    task_panics: Family<Labels, Counter>,
    store_era: Gauge,
    store_revision: Gauge,
    connections: Gauge,
    closing_connections: Gauge,
}

impl MeshMetrics {
    /// Creates the metrics.
    pub fn new() -> Self {
        let (start, factor, length) = RESPONSE_TIME_BUCKETS;
        let mut metrics = Self {
            registry: Registry::with_prefix("skylark"),
            requests: Family::default(),
            organisation_requests: Family::default(),
            response_time: Histogram::new(exponential_buckets(start, factor, length)),
            retries: Counter::default(),
            store_failures: Counter::default(),
            store_updates: Family::default(),
            silent_links: Counter::default(),
            resumed_runs: Family::default(),
            store_reading: Gauge::default(),
            published: Gauge::default(),
            server_leaving: Gauge::default(),
            store_response_age: Gauge::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            config_version: Gauge::default(),
            members: Gauge::default(),
            store_readers: Gauge::default(),
            plan_daemons: Gauge::default(),
            load_interval: Gauge::default(),
            plan_summary_age: Gauge::default(),
            named_limit: Family::default(),
            runs: Counter::default(),
            limited_runs: Counter::default(),
            crashes: Counter::default(),
            suspects: Family::default(),
            refused_arrivals: Counter::default(),
            task_panics: Family::default(),
            store_era: Gauge::default(),
            store_revision: Gauge::default(),
            connections: Gauge::default(),
            closing_connections: Gauge::default(),
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
        let organisation_requests = self.organisation_requests.clone();
        registry.register(
            "organisation_requests",
            "Requests of organisations, by whether the allotment granted them",
            organisation_requests,
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
        let updates = self.store_updates.clone();
        registry.register(
            "store_updates",
            "Updates of the store that changed something, by the way they arrived",
            updates,
        );
        let silent_links = self.silent_links.clone();
        registry.register(
            "silent_links",
            "Connections to peers closed because the peer was silent",
            silent_links,
        );
        let resumed_runs = self.resumed_runs.clone();
        registry.register(
            "resumed_runs",
            "Runs that senders asked for on a new connection, by their state here",
            resumed_runs,
        );
        registry.register_with_unit(
            "store_response_age",
            "Time since the store last responded; 0 for a daemon that does not read it",
            Unit::Seconds,
            self.store_response_age.clone(),
        );
        registry.register_with_unit(
            "load_interval",
            "Interval at which the daemons send each other their load",
            Unit::Seconds,
            self.load_interval.clone(),
        );
        registry.register_with_unit(
            "plan_summary_age",
            "Age of the oldest load that the admission plan uses",
            Unit::Seconds,
            self.plan_summary_age.clone(),
        );
        registry.register(
            "named_limit",
            "Requests per second that the backend server accepts; absent without a limit",
            self.named_limit.clone(),
        );
        let runs = self.runs.clone();
        registry.register("runs", "Requests sent to the backend server", runs);
        registry.register(
            "limited_runs",
            "Requests refused because the limit of the backend server was reached",
            self.limited_runs.clone(),
        );
        registry.register(
            "backend_crashes",
            "Times that the backend server ended while it ran requests",
            self.crashes.clone(),
        );
        registry.register(
            "suspects",
            "Requests suspected of crashing backend servers, by their treatment",
            self.suspects.clone(),
        );
        registry.register(
            "suspects_refused",
            "Times that a request was refused since it crashed backend servers",
            self.refused_arrivals.clone(),
        );
        registry.register(
            "task_panics",
            "Panics of tasks of this daemon, which are started again",
            self.task_panics.clone(),
        );
        let gauges = [
            (
                "store_reading",
                "Whether this daemon reads the store: 1 or 0",
                &self.store_reading,
            ),
            (
                "published",
                "Whether the store has an entry of the local backend server: 1 or 0",
                &self.published,
            ),
            (
                "server_leaving",
                "Whether the backend server has announced that it leaves: 1 or 0",
                &self.server_leaving,
            ),
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
            (
                "store_era",
                "How often the store came back from a copy, as far as known here",
                &self.store_era,
            ),
            (
                "store_revision",
                "Revision of the store in that era up to which all entries are known",
                &self.store_revision,
            ),
            ("members", "Instances of all services", &self.members),
            (
                "store_readers",
                "Daemons of this data centre that read the store",
                &self.store_readers,
            ),
            (
                "plan_daemons",
                "Daemons whose load the admission plan uses",
                &self.plan_daemons,
            ),
            (
                "connections",
                "Open connections of callers and peers",
                &self.connections,
            ),
            (
                "closing_connections",
                "Connections that this daemon has closed and the other end has not",
                &self.closing_connections,
            ),
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

    /// Counts a request of an organisation of the configuration.
    pub fn count_organisation_request(&self, organisation: &str, is_granted: bool) {
        let labels = vec![
            ("organisation", organisation.to_owned()),
            ("granted", is_granted.to_string()),
        ];
        self.organisation_requests.get_or_create(&labels).inc();
    }

    /// Counts a retry of a request at another instance.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a failed call to the store.
    pub fn count_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Counts an update of the store that changed something.
    pub fn count_store_update(&self, source: UpdateSource) {
        let labels = vec![("source", source.name().to_owned())];
        self.store_updates.get_or_create(&labels).inc();
    }

    /// Counts a connection to a peer that was closed because the peer was silent.
    pub fn count_silent_link(&self) {
        self.silent_links.inc();
    }

    /// Counts a run that its sender asked for on a new connection.
    pub fn count_resumed_run(&self, state: &'static str) {
        let labels = vec![("state", state.to_owned())];
        self.resumed_runs.get_or_create(&labels).inc();
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn text(&self, load: LoadReport, view: &ViewReport) -> String {
        self.store_reading.set(view.response_age.is_some().into());
        let age = view.response_age.unwrap_or_default();
        self.store_response_age.set(age.as_secs_f64());
        self.in_flight.set(load.in_flight.into());
        self.queued.set(load.queued.into());
        self.limit.set(load.limit.into());
        self.config_version.set(view.config_version as i64);
        self.store_era.set(view.store_position.era as i64);
        self.store_revision.set(view.store_position.revision as i64);
        self.members.set(view.members as i64);
        self.server_leaving.set(view.is_server_leaving.into());
        self.published.set(view.is_published.into());
        self.store_readers.set(view.store_readers as i64);
        self.plan_daemons.set(view.plan_daemons as i64);
        self.connections.set(view.connections as i64);
        self.closing_connections
            .set(view.closing_connections as i64);
        self.load_interval.set(view.load_interval.as_secs_f64());
        self.plan_summary_age.set(view.oldest_summary.as_secs_f64());
        self.named_limit.clear();
        if let Some(rate) = view.named_rate {
            self.named_limit.get_or_create(&Labels::new()).set(rate);
        }
        self.runs.inc_by(view.runs.saturating_sub(self.runs.get()));
        self.limited_runs
            .inc_by(view.limited_runs.saturating_sub(self.limited_runs.get()));
        self.crashes
            .inc_by(view.crashes.saturating_sub(self.crashes.get()));
        for (treatment, count) in [
            ("isolated", view.isolated_requests),
            ("refused", view.refused_requests),
        ] {
            let labels = vec![("treatment", treatment.to_owned())];
            self.suspects.get_or_create(&labels).set(count as i64);
        }
        self.refused_arrivals.inc_by(
            view.refused_arrivals
                .saturating_sub(self.refused_arrivals.get()),
        );
        for (task, count) in &view.task_panics {
            let labels = vec![("task", (*task).to_owned())];
            let counter = self.task_panics.get_or_create(&labels);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
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
