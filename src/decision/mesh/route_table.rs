//! Route table with lookup by host and path prefix.

use crate::{
    common::*,
    decision::organisation::{
        organisation_spec::OrganisationSpec,
        organisation_table::OrganisationTable,
        priority_ranks::{MAX_RANK, PriorityRanks},
    },
};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a route in a [`RouteTable`].
    pub struct RouteKey;
}

/// Version of a route configuration. A daemon never goes back to a lower one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd)]
pub struct RouteVersion(pub u64);

/// Semantics of the runs of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunSemantics {
    /// The request is idempotent and may run several times.
    Idempotent,
    /// Each request that a caller sends runs at most once. One that the caller sends again counts
    /// as a new request.
    AtMostOnce,
}

/// Target of a route: a service that gets a share of its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedTarget {
    /// Name of the service.
    pub service: SmolStr,
    /// Share relative to the other targets of the route.
    pub weight: u32,
}

/// One route of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: SmolStr,
    /// Value of the `Host` header.
    pub host: SmolStr,
    /// Prefix of the path; it starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub semantics: RunSemantics,
    /// Longest time until the final response.
    pub timeout: Duration,
    /// Time within which a response has its full value to the caller.
    pub latency_target: Duration,
    /// Maximum number of attempts that the daemon makes at one request of a caller and that may
    /// reach a backend server.
    pub max_attempts: u32,
    /// Priority of the route; 0 is the most important.
    pub priority: u8,
    /// Whether callers need no key although the configuration has organisations.
    pub is_open: bool,
    /// Services that run the requests.
    pub targets: Vec<WeightedTarget>,
}

/// Limits on the size of a caller's requests and on how long its connection may stay idle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time for receiving a request head.
    pub header_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits before the first configuration is in force.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routes of one configuration, indexed by host and by name.
#[derive(Debug)]
pub struct RouteTable {
    version: RouteVersion,
    limits: CallerLimits,
    routes: SlotMap<RouteKey, RouteSpec>,
    by_host: IndexMap<SmolStr, Vec<RouteKey>>,
    by_name: IndexMap<SmolStr, RouteKey>,
    organisations: Option<OrganisationTable>,
    ranks: PriorityRanks,
}

impl RouteTable {
    /// Creates a table from the routes of a configuration.
    pub fn new(version: RouteVersion, limits: CallerLimits, specs: Vec<RouteSpec>) -> Self {
        let mut routes = SlotMap::with_key();
        let mut by_host = IndexMap::<SmolStr, Vec<RouteKey>>::new();
        let mut by_name = IndexMap::new();
        for spec in specs {
            let host = spec.host.to_ascii_lowercase_smolstr();
            let name = spec.name.clone();
            let key = routes.insert(spec);
            by_name.insert(name, key);
            by_host.entry(host).or_default().push(key);
        }
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
        }
        Self {
            version,
            limits,
            routes,
            by_host,
            by_name,
            organisations: None,
            ranks: PriorityRanks::default(),
        }
    }

    /// Puts the organisations of the configuration into the table.
    pub fn with_organisations(mut self, organisations: OrganisationTable) -> Self {
        let all = organisations.organisations();
        let priorities = all.map(|organisation| organisation.priority);
        let keyed = self.routes.values().filter(|route| !route.is_open);
        self.ranks = PriorityRanks::new(priorities, keyed.map(|route| route.priority));
        self.organisations = Some(organisations);
        self
    }

    /// Returns the organisations, if the configuration has any.
    pub fn organisations(&self) -> Option<&OrganisationTable> {
        self.organisations.as_ref()
    }

    /// Returns whether an organisation's priority is the most important one, while others are less
    /// important.
    pub fn is_important(&self, priority: Option<u8>) -> bool {
        priority.is_some_and(|priority| self.ranks.is_most_important(priority))
    }

    /// Returns the rank of a request by the priorities of its organisation and of its route; 0 is the
    /// most important. Without organisations, it is the priority of the route.
    pub fn rank(&self, organisation: Option<&OrganisationSpec>, route: &RouteSpec) -> u8 {
        if self.organisations.is_none() {
            return route.priority.min(MAX_RANK);
        }
        let priority = organisation.map(|organisation| organisation.priority);
        self.ranks.rank(priority, route.priority)
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &RouteSpec> {
        self.routes.values()
    }

    /// Returns the route with a name.
    pub fn by_name(&self, name: &str) -> Option<&RouteSpec> {
        self.by_name.get(name).map(|key| &self.routes[*key])
    }

    /// Returns the route with a key of this table.
    pub fn route(&self, key: RouteKey) -> &RouteSpec {
        &self.routes[key]
    }

    /// Returns the route that [`Self::find_key`] finds.
    pub fn find(&self, host: &str, target: &str) -> Option<&RouteSpec> {
        self.find_key(host, target).map(|key| self.route(key))
    }

    /// Returns the route of the host with the longest prefix of the path in `target`. The port of
    /// the host, and the query and fragment of the target, are ignored.
    pub fn find_key(&self, host: &str, target: &str) -> Option<RouteKey> {
        let name = host.split(':').next().unwrap_or_default();
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let keys = match self.by_host.get(name) {
            Some(keys) => keys,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        keys.iter()
            .copied()
            .find(|key| path.starts_with(self.routes[*key].prefix.as_str()))
    }
}

trait AsciiLowercase {
    fn to_ascii_lowercase_smolstr(&self) -> SmolStr;
}

impl AsciiLowercase for SmolStr {
    fn to_ascii_lowercase_smolstr(&self) -> SmolStr {
        self.to_ascii_lowercase().into()
    }
}
