//! Planning of the share of each route's requests that the fleet can serve.
//!
//! Each daemon computes the plan from the load summaries of all daemons. The plan holds the slot
//! seconds that one request of each root route uses at every service, nested calls included, and
//! allocates the capacity of the services in the order of the routes' priority. Requests beyond the
//! capacity are refused at their entry, before any work is done.

use crate::{
    common::*,
    decision::mesh::{
        load_summary::LoadSummary,
        route_table::{RouteSpec, RouteTable},
    },
};

/// Age at which a load summary is no longer used.
const SUMMARY_LIFETIME: Duration = Duration::from_secs(4);

/// Share of the slots that the plan allocates. The rest absorbs the variation of arrivals and of
/// run times.
const PLANNED_UTILISATION: f64 = 0.9;

/// Number of requests of a route that must be expected to enter at the machines of a service before
/// their absence there shows that only backend servers call the route.
const MIN_EXPECTED_REQUESTS: f64 = 6.0;

/// Share of the expected requests below which they count as absent.
const ABSENT_SHARE: f64 = 0.05;

/// Maximum depth of nested calls in the plan.
const MAX_DEPTH: usize = 12;

/// Calls per run below which a route counts as not calling another.
const MIN_CALLS_PER_RUN: f64 = 0.05;

/// Runs without calls that are added to the observed runs as a prior, so that the call rate of a
/// route with few runs is not overestimated.
const PRIOR_RUNS: f64 = 10.0;

/// Smallest factor on the correction of a service's capacity in one plan. Load reports lag behind
/// the effect of a plan, so a larger decrease would overshoot.
const MIN_DECREASE_FACTOR: f64 = 0.9;

/// Utilisation above which a service is overloaded, as a share of its slots. A short queue keeps
/// the slots in use, and the calls in it start well within their remaining time.
const OVERLOAD_UTILISATION: f64 = 1.25;

/// Utilisation below which a service has spare capacity, as a share of its slots.
const SPARE_UTILISATION: f64 = 0.85;

/// Largest factor on the correction of a service's capacity in one plan.
const MAX_INCREASE_FACTOR: f64 = 1.12;

/// Weight of a new load report in the mean number of requests at a service. Runs take up to a
/// second, so single reports vary much more than the load.
const REPORT_WEIGHT: f64 = 0.4;

/// Smallest correction of a service's capacity.
const MIN_CORRECTION: f64 = 0.5;

/// Largest correction of a service's capacity while requests are refused: if slots are then free,
/// the plan overestimates the cost of the requests.
const MAX_CORRECTION: f64 = 1.5;

/// Largest correction of a service's capacity while no requests are refused, so that the plan does
/// not admit too much at the start of a surge.
const MAX_CORRECTION_WITHOUT_SHEDDING: f64 = 1.2;

/// Share of each route's requests that is allocated before the priority is taken into account, so
/// that no route is starved. Callers send each refused request about once more, so this is about
/// three tenths of their original requests.
const MIN_SHARE: f64 = 0.15;

/// Cost of one request of a route at one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCost {
    /// Service.
    pub service: SmolStr,
    /// Runs per request.
    pub runs: f64,
    /// Slot seconds per request.
    pub slot_seconds: f64,
}

/// Plan for one route.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePlan {
    /// Whether only backend servers call the route. Its requests are nested calls and are not
    /// refused.
    pub is_nested: bool,
    /// Share of the requests that is admitted, from 0 to 1.
    pub share: f64,
    /// Cost of one request by service, nested calls included.
    pub costs: Vec<ServiceCost>,
}

/// Plan for all routes in force.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPlan {
    routes: IndexMap<SmolStr, RoutePlan>,
    /// Requests per second of each service, nested calls included.
    rates: IndexMap<SmolStr, f64>,
    daemons: usize,
}

impl AdmissionPlan {
    /// Returns the plan of a route.
    pub fn route(&self, name: &str) -> Option<&RoutePlan> {
        self.routes.get(name)
    }

    /// Returns the requests per second of a service, nested calls included.
    pub fn rate(&self, service: &str) -> f64 {
        self.rates.get(service).copied().unwrap_or(0.0)
    }

    /// Returns the number of daemons whose load summaries are used.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// Returns whether any route has a share below 1, so that some of its requests are refused.
    pub fn is_shedding(&self) -> bool {
        self.routes.values().any(|route| route.share < 1.0)
    }

    /// Returns the plans of all routes.
    pub fn routes(&self) -> impl Iterator<Item = (&SmolStr, &RoutePlan)> {
        self.routes.iter()
    }
}

/// Computes plans from the load summaries of all daemons.
#[derive(Debug, Default)]
pub struct AdmissionPlanner {
    summaries: IndexMap<u64, (LoadSummary, Instant)>,
    corrections: IndexMap<SmolStr, ServiceCorrection>,
    is_shedding: bool,
}

/// Correction of the capacity of a service by the measured number of requests at it.
#[derive(Clone, Copy, Debug)]
struct ServiceCorrection {
    factor: f64,
    mean_requests: f64,
}

/// Sums over all load summaries.
#[derive(Debug, Default)]
struct FleetSums {
    daemons: usize,
    daemons_by_service: IndexMap<SmolStr, f64>,
    /// Sum of the concurrency limits by service, in slots.
    capacity: IndexMap<SmolStr, f64>,
    /// Requests in flight and queued by service.
    requests: IndexMap<SmolStr, f64>,
    /// Requests by route, counted where they entered.
    entered: IndexMap<SmolStr, EnteredSums>,
    /// Runs and slot seconds by route.
    runs: IndexMap<SmolStr, (f64, f64)>,
    /// Calls by the route of the runs and by the route that is called.
    calls: IndexMap<SmolStr, IndexMap<SmolStr, f64>>,
}

/// Requests of one route, summed over all daemons where they entered.
#[derive(Debug, Default)]
struct EnteredSums {
    /// Decayed count of the requests.
    count: f64,
    /// Requests per second.
    rate: f64,
    /// Decayed count by the service of the machines at which the requests entered.
    by_service: IndexMap<SmolStr, f64>,
}

impl AdmissionPlanner {
    /// Records the load summary of a daemon.
    pub fn record_summary(&mut self, summary: LoadSummary, now: Instant) {
        self.summaries.insert(summary.daemon_id, (summary, now));
    }

    /// Computes the plan from the load summaries that have not expired.
    pub fn plan(&mut self, table: &RouteTable, now: Instant) -> AdmissionPlan {
        self.summaries
            .retain(|_, (_, received_at)| *received_at + SUMMARY_LIFETIME > now);
        let sums = self.sum_summaries();
        self.update_corrections(&sums);
        let mut plan = AdmissionPlan {
            daemons: sums.daemons,
            ..AdmissionPlan::default()
        };
        for route in table.routes() {
            let mut costs = IndexMap::new();
            sums.add_costs(table, route, 1.0, 0, &mut costs);
            let is_nested = sums.is_nested(&route.name);
            let costs = costs.into_iter();
            plan.routes.insert(
                route.name.clone(),
                RoutePlan {
                    is_nested,
                    share: 1.0,
                    costs: costs
                        .map(|(service, (runs, slot_seconds))| ServiceCost {
                            service,
                            runs,
                            slot_seconds,
                        })
                        .collect(),
                },
            );
            for (service, share) in target_shares(route) {
                let rate = sums.entered.get(&route.name).map_or(0.0, |sums| sums.rate);
                *plan.rates.entry(service).or_default() += rate * share;
            }
        }
        self.allocate(table, &sums, &mut plan);
        self.is_shedding = plan.is_shedding();
        plan
    }

    /// Allocates the capacity of the services to the routes in the order of their priority.
    fn allocate(&self, table: &RouteTable, sums: &FleetSums, plan: &mut AdmissionPlan) {
        let mut free_slots: IndexMap<SmolStr, f64> = sums
            .capacity
            .iter()
            .map(|(service, slots)| {
                let correction = self.corrections.get(service).map_or(1.0, |c| c.factor);
                (service.clone(), slots * PLANNED_UTILISATION * correction)
            })
            .collect();
        let mut priorities: Vec<u8> = table.routes().map(|route| route.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let groups: Vec<Vec<SmolStr>> = priorities
            .iter()
            .map(|priority| {
                table
                    .routes()
                    .filter(|route| route.priority == *priority)
                    .map(|route| route.name.clone())
                    .filter(|name| !plan.routes[name].is_nested)
                    .collect()
            })
            .collect();
        for route in plan.routes.values_mut().filter(|route| !route.is_nested) {
            route.share = 0.0;
        }
        for group in &groups {
            sums.raise_shares(group, MIN_SHARE, &mut free_slots, plan);
        }
        for group in &groups {
            sums.raise_shares(group, 1.0, &mut free_slots, plan);
        }
    }

    /// Corrects the planned capacity of each service whose utilisation is above
    /// `OVERLOAD_UTILISATION` or below `SPARE_UTILISATION`. This compensates for errors of the
    /// estimated costs.
    fn update_corrections(&mut self, sums: &FleetSums) {
        let max_correction = if self.is_shedding {
            MAX_CORRECTION
        } else {
            MAX_CORRECTION_WITHOUT_SHEDDING
        };
        for (service, slots) in &sums.capacity {
            let requests = sums.requests.get(service).copied().unwrap_or(0.0);
            let entry = self.corrections.entry(service.clone());
            let correction = entry.or_insert(ServiceCorrection {
                factor: 1.0,
                mean_requests: requests,
            });
            correction.mean_requests += (requests - correction.mean_requests) * REPORT_WEIGHT;
            let mean = correction.mean_requests;
            if mean > slots * OVERLOAD_UTILISATION {
                correction.factor *= (slots * OVERLOAD_UTILISATION / mean).max(MIN_DECREASE_FACTOR);
            } else if mean < slots * SPARE_UTILISATION {
                correction.factor *= MAX_INCREASE_FACTOR;
            }
            correction.factor = correction.factor.clamp(MIN_CORRECTION, max_correction);
        }
    }

    fn sum_summaries(&self) -> FleetSums {
        let mut sums = FleetSums::default();
        for (summary, _) in self.summaries.values() {
            let service = &summary.service;
            sums.daemons += 1;
            *sums.daemons_by_service.entry(service.clone()).or_default() += 1.0;
            let load = summary.load;
            *sums.capacity.entry(service.clone()).or_default() += f64::from(load.limit);
            *sums.requests.entry(service.clone()).or_default() +=
                f64::from(load.in_flight + load.queued);
            for requests in &summary.entered_requests {
                let entered_sums = sums.entered.entry(requests.route.clone()).or_default();
                entered_sums.count += f64::from(requests.count);
                entered_sums.rate += f64::from(requests.rate);
                *entered_sums.by_service.entry(service.clone()).or_default() +=
                    f64::from(requests.count);
            }
            for route_runs in &summary.runs {
                let starts = f64::from(route_runs.starts);
                let run_sums = sums.runs.entry(route_runs.route.clone()).or_default();
                run_sums.0 += starts;
                run_sums.1 += starts * f64::from(route_runs.mean_time_s);
            }
            for route_calls in &summary.calls {
                let calls = sums.calls.entry(route_calls.run_route.clone()).or_default();
                *calls.entry(route_calls.call_route.clone()).or_default() +=
                    f64::from(route_calls.count);
            }
        }
        sums
    }
}

impl FleetSums {
    /// Raises the shares of routes of the same priority up to `limit` as far as the services have
    /// free slots.
    fn raise_shares(
        &self,
        names: &[SmolStr],
        limit: f64,
        free_slots: &mut IndexMap<SmolStr, f64>,
        plan: &mut AdmissionPlan,
    ) {
        let rate = |name: &SmolStr| self.entered.get(name).map_or(0.0, |sums| sums.rate);
        let mut demand = IndexMap::<SmolStr, f64>::new();
        for name in names {
            let route = &plan.routes[name];
            let wanted_rate = rate(name) * (limit - route.share).max(0.0);
            for cost in &route.costs {
                *demand.entry(cost.service.clone()).or_default() += wanted_rate * cost.slot_seconds;
            }
        }
        let fitting_shares: IndexMap<SmolStr, f64> = demand
            .iter()
            .filter_map(|(service, demand)| {
                let free = free_slots.get(service)?.max(0.0);
                (*demand > free).then(|| (service.clone(), free / demand))
            })
            .collect();
        for name in names {
            let route = &mut plan.routes[name];
            let costs = route.costs.iter();
            let fraction = costs
                .filter_map(|cost| fitting_shares.get(&cost.service))
                .copied()
                .fold(1.0, f64::min);
            let raise = (limit - route.share).max(0.0) * fraction;
            route.share += raise;
            for cost in &route.costs {
                if let Some(free) = free_slots.get_mut(&cost.service) {
                    *free -= rate(name) * raise * cost.slot_seconds;
                }
            }
        }
    }

    /// Returns whether only backend servers call a route. Clients call a route from the machines of
    /// all services, so its requests enter at the machines of each service in proportion to their
    /// number. Services at the end of the call graph make no calls themselves. So if almost none of
    /// the expected requests enter at the machines of some service, no clients call the route.
    fn is_nested(&self, route: &str) -> bool {
        let Some(entered) = self.entered.get(route) else {
            return false;
        };
        self.daemons_by_service.iter().any(|(service, daemons)| {
            let expected = entered.count * daemons / self.daemons.max(1) as f64;
            let observed = entered.by_service.get(service).copied().unwrap_or(0.0);
            expected >= MIN_EXPECTED_REQUESTS && observed < expected * ABSENT_SHARE
        })
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
            let calls_per_run = call_count / (runs + PRIOR_RUNS);
            if calls_per_run >= MIN_CALLS_PER_RUN
                && let Some(called_route) = table.by_name(call_route)
            {
                self.add_costs(table, called_route, count * calls_per_run, depth + 1, costs);
            }
        }
    }
}

/// Returns the services of a route's targets with their shares of the requests.
fn target_shares(route: &RouteSpec) -> Vec<(SmolStr, f64)> {
    let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
    let targets = route.targets.iter();
    targets
        .map(|target| {
            let share = f64::from(target.weight) / total.max(1.0);
            (target.service.clone(), share)
        })
        .collect()
}
