//! Overload profile of a service.

use super::{
    canonical_form::CanonicalForm,
    profile_digest::ProfileDigest,
    profile_error::MAX_PROFILE_BYTES,
    profile_limits::{SheddingRules, TicketLimits, UpstreamLimits},
    profile_validation,
    refusal_rule::RefusalRule,
    route_rule::{DEFAULT_DEADLINE_MS, RouteRule},
};
use crate::{
    common::*,
    decision::request_priority::LOWEST_CLASS,
    toml_location::{self, KeyLocation},
};

pub use super::profile_error::ProfileError;

/// Limits on the requests that a daemon admits to its backend server.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionLimits {
    /// Initial concurrency limit.
    pub initial_concurrency: u32,
    /// Lowest concurrency limit.
    pub min_concurrency: u32,
    /// Highest concurrency limit.
    pub max_concurrency: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue_length: u32,
    /// Max wait for a slot, in milliseconds.
    pub queue_wait_ms: u32,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            initial_concurrency: 50,
            min_concurrency: 4,
            max_concurrency: 200,
            queue_length: 100,
            queue_wait_ms: 50,
        }
    }
}

/// Limits on extra attempts.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RetryLimits {
    /// Extra attempts granted to a root request, shared by all its nested calls.
    pub allowance: u16,
    /// Extra attempts to a service as a share of first attempts, in percent.
    pub budget_percent: u8,
    /// Shortest time after which a refused caller may retry, in milliseconds.
    pub retry_after_ms: u32,
    /// Window over which the retries of refused callers are spread, in milliseconds.
    pub retry_after_window_ms: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            allowance: 3,
            budget_percent: 10,
            retry_after_ms: 1_000,
            retry_after_window_ms: 2_000,
        }
    }
}

/// Overload profile, as published in the platform's configuration service.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceProfile {
    /// Name under which the profile is published.
    pub name: SmolStr,
    /// Levels of the classes by name; level 0 is the most important.
    pub classes: IndexMap<SmolStr, u8>,
    /// Class of requests that match no route.
    pub default_class: SmolStr,
    /// Deadline of root requests that match no route, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub unmatched_deadline_ms: u32,
    /// Limits on admission.
    #[serde(default)]
    pub admission: AdmissionLimits,
    /// Order of shedding.
    #[serde(default)]
    pub shedding: SheddingRules,
    /// Limits on extra attempts.
    #[serde(default)]
    pub retry: RetryLimits,
    /// Limits on tickets.
    #[serde(default)]
    pub ticket: TicketLimits,
    /// Limits on upstreams.
    #[serde(default)]
    pub upstream: UpstreamLimits,
    /// Route rules; the first one that matches applies.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
    /// Responses that show that the backend server did not run a request.
    #[serde(default)]
    pub refusals: Vec<RefusalRule>,
}

fn default_deadline_ms() -> u32 {
    DEFAULT_DEADLINE_MS
}

impl FromStr for ServiceProfile {
    type Err = ProfileError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_PROFILE_BYTES {
            return Err(ProfileError::TooLarge(text.len()));
        }
        let profile: Self = toml::from_str(text).map_err(|error| ProfileError::Syntax {
            location: KeyLocation::of_error(text, &error),
            message: toml_location::one_line_message(&error),
        })?;
        match profile_validation::validate(&profile) {
            Ok(()) => Ok(profile),
            Err((path, violation)) => Err(ProfileError::Rule {
                location: KeyLocation::of_path(text, &path),
                violation,
            }),
        }
    }
}

impl ServiceProfile {
    /// Returns the first route rule that matches a request.
    pub fn matching_route(&self, method: &str, path: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|rule| rule.matches(method, path))
    }

    /// Returns the class level of a request; `rule` is its matching route rule, if any.
    pub fn class_level(&self, rule: Option<&RouteRule>) -> u8 {
        let name = rule.map_or(&self.default_class, |rule| &rule.class);
        self.classes.get(name).copied().unwrap_or(LOWEST_CLASS)
    }

    /// Returns the deadline of a root request; `rule` is its matching route rule, if any.
    pub fn deadline(&self, rule: Option<&RouteRule>) -> Duration {
        let ms = rule.map_or(self.unmatched_deadline_ms, |rule| rule.deadline_ms);
        Duration::from_millis(ms.into())
    }

    /// Decodes and validates a profile as published.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ProfileError> {
        if bytes.len() > MAX_PROFILE_BYTES {
            return Err(ProfileError::TooLarge(bytes.len()));
        }
        match std::str::from_utf8(bytes) {
            Ok(text) => text.parse(),
            Err(error) => Err(ProfileError::Encoding {
                line: toml_location::line_number(bytes, error.valid_up_to()),
            }),
        }
    }

    /// Returns the canonical form.
    pub fn canonical(&self) -> String {
        CanonicalForm(self).to_string()
    }

    /// Returns the digest of the canonical form.
    pub fn digest(&self) -> ProfileDigest {
        ProfileDigest::of(&self.canonical())
    }
}
