//! Sums over the load summaries of all daemons, and the costs of requests derived from them.

use crate::{
    common::*,
    decision::mesh::{
        load_summary::LoadSummary,
        route_table::{RouteSpec, RouteTable},
    },
};

/// Number of requests of a route that must be expected to enter at the machines of a service before
/// their absence there shows that only backend servers call the route.
const MIN_EXPECTED_REQUESTS: f64 = 6.0;

/// Share of the expected requests below which they count as absent.
const ABSENT_SHARE: f64 = 0.05;

/// Maximum depth of nested calls in the plan.
const MAX_DEPTH: usize = 12;

/// Calls per run below which a route counts as not calling another.
const MIN_CALLS_PER_RUN: f64 = 0.05;

/// Whether a peer's backend server can be used, as this daemon sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerReach {
    /// The backend server accepts requests.
    Serving,
    /// The daemon can be reached, but its backend server is leaving or not published, so its slots
    /// are no capacity.
    NotServing,
    /// The daemon cannot be reached. Its slots are no capacity, and its callers load other parts of
    /// the fleet.
    Unreachable,
}

/// Sums over all load summaries.
#[derive(Debug, Default)]
pub struct FleetSums {
    /// Number of daemons.
    pub daemons: usize,
    daemons_by_service: IndexMap<SmolStr, f64>,
    /// Load by service.
    pub services: IndexMap<SmolStr, ServiceSums>,
    /// Requests by route, counted where they entered.
    pub entered: IndexMap<SmolStr, EnteredSums>,
    /// Runs and slot seconds by route.
    runs: IndexMap<SmolStr, (f64, f64)>,
    /// Calls by the route of the runs and by the route that is called.
    calls: IndexMap<SmolStr, IndexMap<SmolStr, f64>>,
}

/// Load of the backend servers of one service that can be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSums {
    /// Sum of the concurrency limits, in slots.
    pub slots: f64,
    /// Requests in flight and queued nested calls. Root requests in a queue delay no others, and are
    /// refused after a short wait.
    pub requests: f64,
}

/// Requests of one route, summed over all daemons where they entered.
#[derive(Debug, Default)]
pub struct EnteredSums {
    /// Decayed count of the requests.
    count: f64,
    /// Requests per second.
    pub rate: f64,
    /// Nested calls per second that were not run for lack of a slot.
    pub unserved_rate: f64,
    /// Decayed count by the service of the machines at which the requests entered.
    by_service: IndexMap<SmolStr, f64>,
}

impl FleetSums {
    /// Adds the load summary of a daemon.
    pub fn add(&mut self, summary: &LoadSummary, reach: PeerReach) {
        if reach == PeerReach::Unreachable {
            return;
        }
        let service = &summary.service;
        self.daemons += 1;
        *self.daemons_by_service.entry(service.clone()).or_default() += 1.0;
        let load = summary.load;
        let service_sums = self.services.entry(service.clone()).or_default();
        if reach == PeerReach::Serving {
            service_sums.slots += f64::from(load.limit);
            service_sums.requests += f64::from(load.in_flight + load.queued_calls);
        }
        for requests in &summary.entered_requests {
            let entered_sums = self.entered.entry(requests.route.clone()).or_default();
            let rate = f64::from(requests.rate);
            entered_sums.count += f64::from(requests.count);
            entered_sums.rate += rate;
            entered_sums.unserved_rate += f64::from(requests.unserved_rate);
            *entered_sums.by_service.entry(service.clone()).or_default() +=
                f64::from(requests.count);
        }
        for route_runs in &summary.runs {
            let runs = f64::from(route_runs.count);
            let run_sums = self.runs.entry(route_runs.route.clone()).or_default();
            run_sums.0 += runs;
            run_sums.1 += runs * f64::from(route_runs.mean_time_s);
        }
        for route_calls in &summary.calls {
            let calls = self.calls.entry(route_calls.run_route.clone()).or_default();
            *calls.entry(route_calls.call_route.clone()).or_default() +=
                f64::from(route_calls.count);
        }
    }

    /// Returns the requests of a route per second.
    pub fn rate(&self, route: &str) -> f64 {
        self.entered.get(route).map_or(0.0, |sums| sums.rate)
    }

    /// Returns whether only backend servers call a route. Clients call a route from the machines of
    /// all services, so its requests enter at the machines of each service in proportion to their
    /// number. Services at the end of the call graph make no calls themselves. So if almost none of
    /// the expected requests enter at the machines of some service, no clients call the route.
    pub fn is_nested(&self, route: &str) -> bool {
        let Some(entered) = self.entered.get(route) else {
            return false;
        };
        self.daemons_by_service.iter().any(|(service, daemons)| {
            let expected = entered.count * daemons / self.daemons.max(1) as f64;
            let observed = entered.by_service.get(service).copied().unwrap_or(0.0);
            expected >= MIN_EXPECTED_REQUESTS && observed < expected * ABSENT_SHARE
        })
    }

    /// Returns the runs and slot seconds that one request of a route causes at each service, nested
    /// calls included.
    pub fn costs(&self, table: &RouteTable, route: &RouteSpec) -> IndexMap<SmolStr, (f64, f64)> {
        let mut costs = IndexMap::new();
        self.add_costs(table, route, 1.0, 0, &mut costs);
        costs
    }

    /// Adds the runs and slot seconds that `count` requests of a route cause at all services,
    /// nested calls included.
    fn add_costs(
        &self,
        table: &RouteTable,
        route: &RouteSpec,
        count: f64,
        depth: usize,
        costs: &mut IndexMap<SmolStr, (f64, f64)>,
    ) {
        let (runs, slot_seconds) = self.runs.get(&route.name).copied().unwrap_or_default();
        let time = if runs > 0.0 { slot_seconds / runs } else { 0.0 };
        for (service, share) in target_shares(route) {
            let cost = costs.entry(service).or_default();
            cost.0 += count * share;
            cost.1 += count * share * time;
        }
        if depth >= MAX_DEPTH {
            return;
        }
        let calls = self.calls.get(&route.name).into_iter().flatten();
        for (call_route, call_count) in calls {
            let calls_per_run = if runs > 0.0 { call_count / runs } else { 0.0 };
            if calls_per_run >= MIN_CALLS_PER_RUN
                && let Some(called_route) = table.by_name(call_route)
            {
                self.add_costs(table, called_route, count * calls_per_run, depth + 1, costs);
            }
        }
    }
}

/// Returns the services of a route's targets with their shares of the requests.
pub fn target_shares(route: &RouteSpec) -> Vec<(SmolStr, f64)> {
    let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
    let targets = route.targets.iter();
    targets
        .map(|target| {
            let share = f64::from(target.weight) / total.max(1.0);
            (target.service.clone(), share)
        })
        .collect()
}
