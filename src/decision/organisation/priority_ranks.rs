//! Ranks of requests by the priority of their organisation and of their route.

use std::collections::BTreeSet;

/// Greatest rank. The admission gate has a class level for each rank, besides that of nested calls.
pub const MAX_RANK: u8 = 5;

/// Ranks of the pairs of an organisation's and a route's priority that a configuration contains. The
/// least important pairs share the last rank if there are too many.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PriorityRanks {
    organisations: Vec<u8>,
    routes: Vec<u8>,
}

impl PriorityRanks {
    /// Creates the ranks of a configuration.
    pub fn new(organisations: impl Iterator<Item = u8>, routes: impl Iterator<Item = u8>) -> Self {
        let sorted = |set: BTreeSet<u8>| set.into_iter().collect();
        Self {
            organisations: sorted(organisations.collect()),
            routes: sorted(routes.collect()),
        }
    }

    /// Returns whether an organisation's priority is the most important one, while others are less
    /// important.
    pub fn is_most_important(&self, organisation: u8) -> bool {
        self.organisations.len() > 1 && self.organisations.first() == Some(&organisation)
    }

    /// Returns the rank of a request; 0 is the most important. One without an organisation ranks with
    /// the least important organisations.
    pub fn rank(&self, organisation: Option<u8>, route: u8) -> u8 {
        let position = |sorted: &[u8], value: u8| sorted.partition_point(|other| *other < value);
        let least = self.organisations.len().saturating_sub(1);
        let group = organisation.map_or(least, |priority| position(&self.organisations, priority));
        let rank = group * self.routes.len() + position(&self.routes, route);
        u8::try_from(rank).map_or(MAX_RANK, |rank| rank.min(MAX_RANK))
    }
}
