//! Plan which share of the requests of each route the fleet can serve.
//!
//! Each daemon computes the plan from the load summaries of all daemons. The plan gives each root route
//! the slot seconds that one of its requests uses at every service below, and fills the services in the
//! order of the routes' priority. What does not fit is refused at its entry, before any work is done.

use crate::{
    common::*,
    decision::mesh::{
        load_summary::LoadSummary,
        route_table::{RouteSpec, RouteTable},
    },
};

/// Age at which a summary does not count any more.
const SUMMARY_LIFETIME: Duration = Duration::from_secs(4);

/// Share of the slots that is planned. The rest absorbs the variation of arrivals and of work.
const PLANNED_USE: f64 = 0.9;

/// Requests of a route that would be expected at the machines of a service, and that are all missing
/// there, before the route counts as one that only backend servers call.
const NESTED_EVIDENCE: f64 = 6.0;

/// Share of the expected requests below which they count as missing.
const MISSING_SHARE: f64 = 0.05;

/// Deepest chain of calls that is followed.
const MAX_DEPTH: usize = 12;

/// Calls for each run below which a route counts as not calling another.
const MIN_CALLS: f64 = 0.05;

/// Runs without calls that are added to the observed ones, so that a few runs prove little.
const SHRINKING_STARTS: f64 = 10.0;

/// Least factor on the correction of a service's capacity in one plan. Load reports lag behind the
/// effect of a plan, so that a larger step would overshoot.
const MAX_FALL: f64 = 0.9;

/// Use above which a service is overloaded, as a share of its slots. A short queue keeps the slots in
/// use, and the calls in it start well within their time.
const FULL_USE: f64 = 1.25;

/// Share of the slots below which a service has room.
const FREE_USE: f64 = 0.85;

/// Largest factor on the correction of a service's capacity in one plan.
const MAX_RISE: f64 = 1.12;

/// Weight of a new load report in the mean use of a service. Runs take up to a second, so that single
/// reports vary much more than the load.
const USE_WEIGHT: f64 = 0.4;

/// Least correction of a service's capacity.
const MIN_CORRECTION: f64 = 0.5;

/// Largest correction while requests are refused: the plan then overestimates their cost.
const MAX_CORRECTION: f64 = 1.5;

/// Largest correction while nothing is refused, so that a surge does not meet a plan that has grown too
/// generous.
const MAX_IDLE_CORRECTION: f64 = 1.2;

/// Share of each route's requests that is admitted before the order of priority counts, so that no kind
/// of request is shut out. Callers send each refused request about once more, so that this is about
/// three tenths of what they want.
const LEAST_SHARE: f64 = 0.15;

/// Runs of one service that one request of a route causes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCost {
    /// Service.
    pub service: SmolStr,
    /// Runs for each request.
    pub runs: f64,
    /// Slot seconds for each request.
    pub slot_seconds: f64,
}

/// Plan for one route.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePlan {
    /// Whether only backend servers call the route.
    pub is_nested: bool,
    /// Share of the requests that is admitted.
    pub share: f64,
    /// Runs that one request causes, at its own service and below.
    pub costs: Vec<ServiceCost>,
}

/// Plan for all routes.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPlan {
    routes: IndexMap<SmolStr, RoutePlan>,
    /// Requests per second for each service, calls included.
    rates: IndexMap<SmolStr, f64>,
    daemons: usize,
}

impl AdmissionPlan {
    /// Returns the plan of a route.
    pub fn route(&self, name: &str) -> Option<&RoutePlan> {
        self.routes.get(name)
    }

    /// Returns the requests per second for a service.
    pub fn rate(&self, service: &str) -> f64 {
        self.rates.get(service).copied().unwrap_or(0.0)
    }

    /// Returns the number of daemons whose summaries count.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// Returns whether requests of some route are refused.
    pub fn is_shedding(&self) -> bool {
        self.routes.values().any(|route| route.share < 1.0)
    }

    /// Returns the plans of all routes.
    pub fn routes(&self) -> impl Iterator<Item = (&SmolStr, &RoutePlan)> {
        self.routes.iter()
    }
}

/// Computes plans from the summaries of all daemons.
#[derive(Debug, Default)]
pub struct AdmissionPlanner {
    summaries: IndexMap<u64, (LoadSummary, Instant)>,
    corrections: IndexMap<SmolStr, ServiceCorrection>,
    is_shedding: bool,
}

/// How the slots of a service are used compared to the plan.
#[derive(Clone, Copy, Debug)]
struct ServiceCorrection {
    factor: f64,
    mean_use: f64,
}

/// Sums over all summaries.
#[derive(Debug, Default)]
struct FleetSums {
    daemons: usize,
    daemons_of: IndexMap<SmolStr, f64>,
    capacity: IndexMap<SmolStr, f64>,
    in_use: IndexMap<SmolStr, f64>,
    /// Weighted entries and the rate of each route, and its entries by service of the machine.
    entries: IndexMap<SmolStr, EntrySums>,
    /// Starts and slot seconds of each route.
    runs: IndexMap<SmolStr, (f64, f64)>,
    calls: IndexMap<SmolStr, IndexMap<SmolStr, f64>>,
}

#[derive(Debug, Default)]
struct EntrySums {
    count: f64,
    rate: f64,
    by_service: IndexMap<SmolStr, f64>,
}

impl AdmissionPlanner {
    /// Takes the summary of a daemon.
    pub fn learn(&mut self, summary: LoadSummary, now: Instant) {
        self.summaries.insert(summary.daemon, (summary, now));
    }

    /// Computes the plan in force from now on.
    pub fn plan(&mut self, table: &RouteTable, now: Instant) -> AdmissionPlan {
        self.summaries
            .retain(|_, (_, at)| *at + SUMMARY_LIFETIME > now);
        let sums = self.sum();
        self.correct(&sums);
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
                let rate = sums.entries.get(&route.name).map_or(0.0, |sums| sums.rate);
                *plan.rates.entry(service).or_default() += rate * share;
            }
        }
        self.fill(table, &sums, &mut plan);
        self.is_shedding = plan.is_shedding();
        plan
    }

    /// Fills the services with the routes in the order of their priority.
    fn fill(&self, table: &RouteTable, sums: &FleetSums, plan: &mut AdmissionPlan) {
        let mut free: IndexMap<SmolStr, f64> = sums
            .capacity
            .iter()
            .map(|(service, slots)| {
                let correction = self.corrections.get(service).map_or(1.0, |c| c.factor);
                (service.clone(), slots * PLANNED_USE * correction)
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
            sums.raise_shares(group, LEAST_SHARE, &mut free, plan);
        }
        for group in &groups {
            sums.raise_shares(group, 1.0, &mut free, plan);
        }
    }

    /// Corrects the planned capacity of each service so that the use of its slots approaches the
    /// planned one. Errors of the learned costs are so made up for.
    fn correct(&mut self, sums: &FleetSums) {
        let largest = if self.is_shedding {
            MAX_CORRECTION
        } else {
            MAX_IDLE_CORRECTION
        };
        for (service, slots) in &sums.capacity {
            let used = sums.in_use.get(service).copied().unwrap_or(0.0);
            let entry = self.corrections.entry(service.clone());
            let correction = entry.or_insert(ServiceCorrection {
                factor: 1.0,
                mean_use: used,
            });
            correction.mean_use += (used - correction.mean_use) * USE_WEIGHT;
            let mean = correction.mean_use;
            if mean > slots * FULL_USE {
                correction.factor *= (slots * FULL_USE / mean).max(MAX_FALL);
            } else if mean < slots * FREE_USE {
                correction.factor *= MAX_RISE;
            }
            correction.factor = correction.factor.clamp(MIN_CORRECTION, largest);
        }
    }

    fn sum(&self) -> FleetSums {
        let mut sums = FleetSums::default();
        for (summary, _) in self.summaries.values() {
            let service = &summary.service;
            sums.daemons += 1;
            *sums.daemons_of.entry(service.clone()).or_default() += 1.0;
            let load = summary.load;
            *sums.capacity.entry(service.clone()).or_default() += f64::from(load.limit);
            *sums.in_use.entry(service.clone()).or_default() +=
                f64::from(load.in_flight + load.queued);
            for entered in &summary.entered {
                let entry = sums.entries.entry(entered.route.clone()).or_default();
                entry.count += f64::from(entered.count);
                entry.rate += f64::from(entered.rate);
                *entry.by_service.entry(service.clone()).or_default() += f64::from(entered.count);
            }
            for run in &summary.runs {
                let starts = f64::from(run.starts);
                let entry = sums.runs.entry(run.route.clone()).or_default();
                entry.0 += starts;
                entry.1 += starts * f64::from(run.time_s);
            }
            for share in &summary.calls {
                let calls = sums.calls.entry(share.run.clone()).or_default();
                *calls.entry(share.call.clone()).or_default() += f64::from(share.count);
            }
        }
        sums
    }
}

impl FleetSums {
    /// Raises the shares of routes of equal rank up to `limit` as far as the services have room.
    fn raise_shares(
        &self,
        names: &[SmolStr],
        limit: f64,
        free: &mut IndexMap<SmolStr, f64>,
        plan: &mut AdmissionPlan,
    ) {
        let rate = |name: &SmolStr| self.entries.get(name).map_or(0.0, |entry| entry.rate);
        let mut demand = IndexMap::<SmolStr, f64>::new();
        for name in names {
            let route = &plan.routes[name];
            let wanted = rate(name) * (limit - route.share).max(0.0);
            for cost in &route.costs {
                *demand.entry(cost.service.clone()).or_default() += wanted * cost.slot_seconds;
            }
        }
        let fitting: IndexMap<SmolStr, f64> = demand
            .iter()
            .filter_map(|(service, demand)| {
                let room = free.get(service)?.max(0.0);
                (*demand > room).then(|| (service.clone(), room / demand))
            })
            .collect();
        for name in names {
            let route = &mut plan.routes[name];
            let shares = route.costs.iter();
            let fraction = shares
                .filter_map(|cost| fitting.get(&cost.service))
                .copied()
                .fold(1.0, f64::min);
            let raise = (limit - route.share).max(0.0) * fraction;
            route.share += raise;
            for cost in &route.costs {
                if let Some(free) = free.get_mut(&cost.service) {
                    *free -= rate(name) * raise * cost.slot_seconds;
                }
            }
        }
    }

    /// Returns whether only backend servers call a route. Clients use all machines, while the
    /// services at the end of the call graph make no calls; so a route that never enters at the
    /// machines of some service is not used by clients.
    fn is_nested(&self, route: &str) -> bool {
        let Some(entry) = self.entries.get(route) else {
            return false;
        };
        self.daemons_of.iter().any(|(service, daemons)| {
            let expected = entry.count * daemons / self.daemons.max(1) as f64;
            let seen = entry.by_service.get(service).copied().unwrap_or(0.0);
            expected >= NESTED_EVIDENCE && seen < expected * MISSING_SHARE
        })
    }

    /// Adds the runs and slot seconds that `count` requests of a route cause at all services.
    fn add_costs(
        &self,
        table: &RouteTable,
        route: &RouteSpec,
        count: f64,
        depth: usize,
        costs: &mut IndexMap<SmolStr, (f64, f64)>,
    ) {
        let (starts, seconds) = self.runs.get(&route.name).copied().unwrap_or_default();
        let time = if starts > 0.0 { seconds / starts } else { 0.0 };
        for (service, share) in target_shares(route) {
            let cost = costs.entry(service).or_default();
            cost.0 += count * share;
            cost.1 += count * share * time;
        }
        if depth >= MAX_DEPTH {
            return;
        }
        let calls = self.calls.get(&route.name).into_iter().flatten();
        for (call, calls) in calls {
            let per_run = calls / (starts + SHRINKING_STARTS);
            if per_run >= MIN_CALLS
                && let Some(called) = table.by_name(call)
            {
                self.add_costs(table, called, count * per_run, depth + 1, costs);
            }
        }
    }
}

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
