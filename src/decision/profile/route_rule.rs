//! Settings of a profile for the requests of one route.

use crate::common::*;

/// Whether requests on a route need a ticket.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum TicketRule {
    /// A ticket is used if present, but not required.
    #[default]
    Optional,
    /// A request without a ticket is refused.
    Required,
}

/// Rule for the requests that match a method and a path prefix.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method; if absent, every method matches.
    #[serde(default)]
    pub method: Option<SmolStr>,
    /// Path prefix, which matches whole segments only.
    pub path: SmolStr,
    /// Name of a class of the profile.
    pub class: SmolStr,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether requests need a ticket.
    #[serde(default)]
    pub ticket: TicketRule,
    /// Deadline of a root request on this route, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
}

/// Deadline of a root request for which the profile specifies none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 2_000;

fn default_deadline_ms() -> u32 {
    DEFAULT_DEADLINE_MS
}

impl RouteRule {
    /// Returns whether the rule matches a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let matches_method = self.method.as_ref().is_none_or(|name| name == method);
        matches_method && self.matches_path(path)
    }

    /// Returns whether the path prefix matches.
    pub(super) fn matches_path(&self, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
