//! Planning of the share of each route's requests that the fleet can serve.
//!
//! Each daemon computes the plan from the load summaries of all daemons. The plan holds the slot
//! seconds that one request of each root route uses at every service, nested calls included, and
//! allocates the capacity of the services in the order of the routes' priority. Requests beyond the
//! capacity are refused at their entry, before any work is done.

use crate::{
    common::*,
    decision::mesh::{
        capacity_control::{CapacityControl, ServiceMeasurement},
        fleet_sums::{FleetSums, PeerReach, target_shares},
        load_summary::LoadSummary,
        route_table::{RouteSpec, RouteTable},
    },
};
use std::net::IpAddr;

/// Shortest age at which a load summary is no longer used.
const MIN_SUMMARY_LIFETIME: Duration = Duration::from_secs(4);

/// Number of load intervals after which a load summary is no longer used. With two, one lost message
/// would take the slots of a daemon out of the plan.
const SUMMARY_LIFETIME_INTERVALS: u32 = 3;

/// Runs per request at a service from which a route depends on it. Smaller figures result from
/// calls that are attributed to the wrong route, or concern few requests.
const NEEDED_RUNS: f64 = 0.7;

/// Smallest rate of root requests by which their mean cost is divided, in requests per second.
const MIN_ROOT_RATE: f64 = 0.01;

/// Requests at a service, as a share of its slots, from which the runs that call it wait.
const SATURATED_UTILISATION: f64 = 0.8;

/// Requests at a service, as a share of its slots, beyond which calls of admitted requests wait.
const QUEUE_FREE_UTILISATION: f64 = 1.1;

/// Maximum number of steps in which the shares of one priority are raised.
const MAX_RAISES: usize = 12;

/// Difference to its limit at which a share is not raised further.
const SHARE_TOLERANCE: f64 = 1e-3;

/// Free slots that a service is assumed to have at least when costs are compared.
const MIN_FREE_SLOTS: f64 = 0.01;

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

impl RoutePlan {
    /// Returns whether the requests of the route depend on a service.
    pub fn needs(&self, service: &str) -> bool {
        let mut costs = self.costs.iter();
        costs.any(|cost| cost.service == service && cost.runs >= NEEDED_RUNS)
    }

    /// Returns the services that the requests of the route depend on.
    pub fn needed_services(&self) -> impl Iterator<Item = &SmolStr> {
        let costs = self.costs.iter();
        costs
            .filter(|cost| cost.runs >= NEEDED_RUNS)
            .map(|cost| &cost.service)
    }
}

/// Plan for all routes in force.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPlan {
    routes: IndexMap<SmolStr, RoutePlan>,
    /// Requests per second of each service, nested calls included.
    rates: IndexMap<SmolStr, f64>,
    services: IndexMap<SmolStr, ServicePlan>,
    daemons: usize,
    oldest_summary: Duration,
}

/// Plan for one service, with the measurements that decided it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePlan {
    /// Measurements since the last plan.
    pub measurement: ServiceMeasurement,
    /// Slots that the plan may allocate.
    pub allowed_slots: f64,
    /// Slots that are left after the allocation; at or below 0 the service limits its routes.
    pub free_slots: f64,
}

impl AdmissionPlan {
    /// Returns the plan of a route.
    pub fn route(&self, name: &str) -> Option<&RoutePlan> {
        self.routes.get(name)
    }

    /// Returns the share of a route's requests that is admitted; 1 for an unknown route.
    pub fn share(&self, name: &str) -> f64 {
        self.routes.get(name).map_or(1.0, |route| route.share)
    }

    /// Returns the requests per second of a service, nested calls included.
    pub fn rate(&self, service: &str) -> f64 {
        self.rates.get(service).copied().unwrap_or(0.0)
    }

    /// Returns the plans of all services.
    pub fn services(&self) -> impl Iterator<Item = (&SmolStr, &ServicePlan)> {
        self.services.iter()
    }

    /// Returns the number of daemons whose load summaries are used.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// Returns the age of the oldest load summary that is used.
    pub fn oldest_summary(&self) -> Duration {
        self.oldest_summary
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
    load_interval: Duration,
    control: CapacityControl,
    last_plan: AdmissionPlan,
}

impl AdmissionPlanner {
    /// Sets the interval at which the daemons send their load.
    pub fn set_load_interval(&mut self, interval: Duration) {
        self.load_interval = interval;
    }

    /// Records the load summary of a daemon.
    pub fn record_summary(&mut self, summary: LoadSummary, now: Instant) {
        self.summaries.insert(summary.daemon_id, (summary, now));
    }

    /// Computes the plan from the load summaries that have not expired. `reach` returns whether the
    /// backend server beside the daemon at an address can be used.
    pub fn plan(
        &mut self,
        table: &RouteTable,
        reach: impl Fn(IpAddr) -> PeerReach,
        now: Instant,
    ) -> AdmissionPlan {
        let lifetime = MIN_SUMMARY_LIFETIME.max(self.load_interval * SUMMARY_LIFETIME_INTERVALS);
        self.summaries
            .retain(|_, (_, received_at)| *received_at + lifetime > now);
        let mut sums = FleetSums::default();
        for (summary, _) in self.summaries.values() {
            sums.add(summary, reach(summary.ip));
        }
        let mut plan = AdmissionPlan {
            daemons: sums.daemons,
            oldest_summary: self.oldest_summary(now),
            ..AdmissionPlan::default()
        };
        for route in table.routes() {
            let costs = sums.costs(table, route).into_iter();
            let route_plan = RoutePlan {
                is_nested: sums.is_nested(&route.name),
                share: 1.0,
                costs: costs
                    .map(|(service, (runs, slot_seconds))| ServiceCost {
                        service,
                        runs,
                        slot_seconds,
                    })
                    .collect(),
            };
            plan.routes.insert(route.name.clone(), route_plan);
            for (service, share) in target_shares(route) {
                let rate = sums.rate(&route.name);
                *plan.rates.entry(service).or_default() += rate * share;
            }
        }
        self.update_control(table, &sums, &mut plan, now);
        allocate(table, &sums, &mut plan);
        self.last_plan = plan.clone();
        plan
    }

    fn oldest_summary(&self, now: Instant) -> Duration {
        let summaries = self.summaries.values();
        let ages = summaries.map(|(_, received_at)| now.saturating_duration_since(*received_at));
        ages.max().unwrap_or_default()
    }

    /// Updates the allowed load of each service by the effect of the last plan.
    fn update_control(
        &mut self,
        table: &RouteTable,
        sums: &FleetSums,
        plan: &mut AdmissionPlan,
        now: Instant,
    ) {
        let mut measurements: IndexMap<SmolStr, ServiceMeasurement> = sums
            .services
            .iter()
            .map(|(service, service_sums)| {
                let measurement = ServiceMeasurement {
                    slots: service_sums.slots,
                    requests: service_sums.requests,
                    ..ServiceMeasurement::default()
                };
                (service.clone(), measurement)
            })
            .collect();
        let roots = plan.routes.iter().filter(|(_, route)| !route.is_nested);
        let root_rate: f64 = roots.map(|(name, _)| sums.rate(name)).sum();
        let root_rate = root_rate.max(MIN_ROOT_RATE);
        for route in table.routes() {
            let Some(entered) = sums.entered.get(&route.name) else {
                continue;
            };
            let admitted_rate = entered.rate * self.last_plan.share(&route.name);
            for (service, share) in target_shares(route) {
                if let Some(measurement) = measurements.get_mut(&service) {
                    measurement.admitted_rate += admitted_rate * share;
                    measurement.unserved_rate += entered.unserved_rate * share;
                }
            }
            let route_plan = &plan.routes[&route.name];
            for cost in route_plan.costs.iter().filter(|_| !route_plan.is_nested) {
                if let Some(measurement) = measurements.get_mut(&cost.service) {
                    measurement.admitted_slots += admitted_rate * cost.slot_seconds;
                    measurement.request_cost += entered.rate * cost.slot_seconds / root_rate;
                }
            }
        }
        add_backlogs(table, sums, plan, &mut measurements);
        let is_shedding = self.last_plan.is_shedding();
        for (service, measurement) in measurements {
            self.control
                .update(&service, &measurement, is_shedding, now);
            let allowed_slots = self.control.allowed_slots(&service, &measurement);
            let service_plan = ServicePlan {
                measurement,
                allowed_slots,
                free_slots: allowed_slots,
            };
            plan.services.insert(service, service_plan);
        }
    }
}

/// Adds to each service the slot seconds that waiting calls still need there: those in its own queue,
/// and the nested calls of those that wait at other services. A queue at a service whose own calls
/// wait elsewhere is no reason to reserve its slots, since they are held by these waits.
fn add_backlogs(
    table: &RouteTable,
    sums: &FleetSums,
    plan: &AdmissionPlan,
    measurements: &mut IndexMap<SmolStr, ServiceMeasurement>,
) {
    let measured = measurements.iter();
    let saturated: Vec<SmolStr> = measured
        .filter(|(_, measured)| measured.requests > measured.slots * SATURATED_UTILISATION)
        .map(|(service, _)| service.clone())
        .collect();
    let services: Vec<SmolStr> = measurements.keys().cloned().collect();
    for service in &services {
        let measured = measurements[service];
        let queue = (measured.requests - measured.slots * QUEUE_FREE_UTILISATION).max(0.0);
        let routes: Vec<(&RoutePlan, f64)> = table
            .routes()
            .map(|route| {
                let rate = sums.rate(&route.name) * target_share(route, service);
                (&plan.routes[&route.name], rate)
            })
            .filter(|(_, rate)| *rate > 0.0)
            .collect();
        let total: f64 = routes.iter().map(|(_, rate)| rate).sum();
        for (route_plan, rate) in routes {
            let needs = |other: &SmolStr| other != service && route_plan.needs(other);
            let waits_below = saturated.iter().any(needs);
            measurements[service].waits_below |= waits_below;
            let own_costs = route_plan.costs.iter();
            let costs = own_costs.filter(|cost| cost.service != *service || !waits_below);
            for cost in costs {
                if let Some(measurement) = measurements.get_mut(&cost.service) {
                    measurement.backlog_s += queue * rate / total * cost.slot_seconds;
                }
            }
        }
    }
}

/// Returns the share of a route's requests that a service runs.
fn target_share(route: &RouteSpec, service: &str) -> f64 {
    let targets = target_shares(route).into_iter();
    let own_shares = targets.filter(|(target, _)| target == service);
    own_shares.map(|(_, share)| share).sum()
}

/// Allocates the capacity of the services to the routes in the order of their priority.
fn allocate(table: &RouteTable, sums: &FleetSums, plan: &mut AdmissionPlan) {
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
        raise_shares(group, MIN_SHARE, sums, plan);
    }
    for group in &groups {
        raise_shares(group, 1.0, sums, plan);
    }
}

/// Raises the shares of routes of the same priority up to `limit` as far as the services have free
/// slots. Routes that use fewer slots of the short services rise faster, so that more requests are
/// served. Once a service has no free slots, the shares of the routes that depend on it stay, and
/// those of the other routes rise further.
fn raise_shares(names: &[SmolStr], limit: f64, sums: &FleetSums, plan: &mut AdmissionPlan) {
    let mut rising: Vec<&SmolStr> = names.iter().collect();
    for _ in 0..MAX_RAISES {
        rising.retain(|name| plan.routes[*name].share < limit - SHARE_TOLERANCE);
        let raises = wanted_raises(&rising, limit, sums, plan);
        let scarcest = scarcest_service(&raises, sums, plan);
        let fraction = scarcest.as_ref().map_or(1.0, |(_, fraction)| *fraction);
        for (name, raise) in &raises {
            let route = &mut plan.routes[*name];
            route.share += raise * fraction;
            for cost in &route.costs {
                if let Some(service) = plan.services.get_mut(&cost.service) {
                    service.free_slots -= sums.rate(name) * raise * fraction * cost.slot_seconds;
                }
            }
        }
        if let Some((exhausted, _)) = scarcest {
            rising.retain(|name| !plan.routes[*name].needs(&exhausted));
        }
    }
}

/// Returns by how much the share of each rising route is to be raised if all slots are free enough.
fn wanted_raises<'a>(
    rising: &[&'a SmolStr],
    limit: f64,
    sums: &FleetSums,
    plan: &AdmissionPlan,
) -> Vec<(&'a SmolStr, f64)> {
    let missing = |name: &SmolStr| limit - plan.routes[name].share;
    let full_raises: Vec<(&SmolStr, f64)> =
        rising.iter().map(|name| (*name, missing(name))).collect();
    let demand = slot_demand(&full_raises, sums, plan);
    // Part of the free slots of the short services that one request uses.
    let price = |name: &SmolStr| -> f64 {
        let costs = plan.routes[name].costs.iter();
        let parts = costs.filter_map(|cost| {
            let free = plan.services.get(&cost.service)?.free_slots;
            let is_short = demand.get(&cost.service)? > &free;
            is_short.then(|| cost.slot_seconds / free.max(MIN_FREE_SLOTS))
        });
        parts.sum()
    };
    let prices: Vec<f64> = rising.iter().map(|name| price(name)).collect();
    let paid = prices.iter().copied().filter(|price| *price > 0.0);
    let lowest = paid.fold(f64::INFINITY, f64::min);
    let weight = |price: f64| {
        if price > 0.0 {
            (lowest / price).sqrt()
        } else {
            1.0
        }
    };
    let raises = full_raises.into_iter().zip(&prices);
    raises
        .map(|((name, raise), price)| (name, raise * weight(*price)))
        .collect()
}

/// Returns the slots that raises of the shares would use at each service.
fn slot_demand(
    raises: &[(&SmolStr, f64)],
    sums: &FleetSums,
    plan: &AdmissionPlan,
) -> IndexMap<SmolStr, f64> {
    let mut demand = IndexMap::<SmolStr, f64>::new();
    for (name, raise) in raises {
        for cost in &plan.routes[*name].costs {
            *demand.entry(cost.service.clone()).or_default() +=
                sums.rate(name) * raise * cost.slot_seconds;
        }
    }
    demand
}

/// Returns the service whose free slots allow the smallest fraction of the raises, with that
/// fraction, unless all raises fit. Only services that one of the routes depends on count.
fn scarcest_service(
    raises: &[(&SmolStr, f64)],
    sums: &FleetSums,
    plan: &AdmissionPlan,
) -> Option<(SmolStr, f64)> {
    let is_needed = |service: &str| {
        let mut routes = raises.iter().map(|(name, _)| &plan.routes[*name]);
        routes.any(|route| route.needs(service))
    };
    slot_demand(raises, sums, plan)
        .into_iter()
        .filter(|(service, _)| is_needed(service))
        .filter_map(|(service, demand)| {
            let free = plan.services.get(&service)?.free_slots.max(0.0);
            (demand > free).then(|| (service, free / demand))
        })
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
}
