//! Deterministic weighted split of a route's requests among its targets.

use crate::{
    common::*,
    decision::mesh::route_table::{RouteSpec, WeightedTarget},
};

/// Fractional part of the golden ratio, which spaces out the initial credits of the targets of one
/// route.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_8;

/// Credits of the targets of one route, in requests.
#[derive(Debug)]
struct TargetCredits {
    targets: Vec<WeightedTarget>,
    credits: Vec<f64>,
}

/// Smooth weighted round robin over the targets of each route. With each request, the credit of
/// every target grows by its share of a request; the target with the most credit gets the request,
/// which costs it a credit of 1. The counts thus stay within about one request of the shares.
#[derive(Debug)]
pub struct TrafficSplit {
    offset: f64,
    routes: IndexMap<SmolStr, TargetCredits>,
}

impl TrafficSplit {
    /// Creates a split without routes. Daemons use different offsets between 0 and 1, so that their
    /// first requests do not all go to the same target.
    pub fn new(offset: f64) -> Self {
        Self {
            offset,
            routes: IndexMap::new(),
        }
    }

    /// Selects the service for the next request of a route.
    pub fn select(&mut self, route: &RouteSpec) -> Option<SmolStr> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let offset = self.offset;
        let credits = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| TargetCredits::new(&route.targets, offset));
        if credits.targets != route.targets {
            *credits = TargetCredits::new(&route.targets, offset);
        }
        credits.select()
    }

    /// Drops routes that are no longer in force.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_in_force(name));
    }
}

impl TargetCredits {
    fn new(targets: &[WeightedTarget], offset: f64) -> Self {
        let starts = (0..targets.len()).map(|index| index as f64 * GOLDEN_FRACTION + offset);
        Self {
            targets: targets.to_vec(),
            credits: starts.map(|start| start.fract() - 0.5).collect(),
        }
    }

    fn select(&mut self) -> Option<SmolStr> {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut best: Option<usize> = None;
        for (index, target) in self.targets.iter().enumerate() {
            if target.weight == 0 {
                continue;
            }
            self.credits[index] += f64::from(target.weight) / total;
            if best.is_none_or(|best| self.credits[index] > self.credits[best]) {
                best = Some(index);
            }
        }
        let best = best?;
        self.credits[best] -= 1.0;
        Some(self.targets[best].service.clone())
    }
}
