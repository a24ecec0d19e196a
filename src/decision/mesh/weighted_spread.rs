//! Deterministic spread of a route's requests over its weighted targets.

use crate::{common::*, decision::mesh::route_table::RouteSpec};

/// Fractional part of the golden ratio. Multiples of it modulo 1 fill the interval evenly, so that
/// each run of requests keeps the shares to within about one request.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_8;

/// Positions of the spread of each route.
#[derive(Debug)]
pub struct WeightedSpread {
    offset: f64,
    positions: IndexMap<SmolStr, f64>,
}

impl WeightedSpread {
    /// Creates a spread. Daemons use different offsets between 0 and 1, so that their first
    /// requests do not all go to the same target.
    pub fn new(offset: f64) -> Self {
        Self {
            offset,
            positions: IndexMap::new(),
        }
    }

    /// Returns the service of the next request of a route.
    pub fn choose(&mut self, route: &RouteSpec) -> Option<SmolStr> {
        let [first, rest @ ..] = route.targets.as_slice() else {
            return None;
        };
        if rest.is_empty() {
            return Some(first.service.clone());
        }
        let offset = self.offset;
        let position = self
            .positions
            .entry(route.name.clone())
            .or_insert_with(|| offset);
        *position = (*position + GOLDEN_FRACTION).fract();
        let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut left = *position * total;
        route
            .targets
            .iter()
            .find(|target| {
                left -= f64::from(target.weight);
                left < 0.0
            })
            .or(route.targets.iter().rfind(|target| target.weight > 0))
            .map(|target| target.service.clone())
    }

    /// Forgets the positions of routes that are not in force any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.positions.retain(|name, _| is_known(name));
    }
}
