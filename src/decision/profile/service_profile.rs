//! Overload profile of a service.

use crate::{
    common::*,
    decision::{
        profile::{refusal_rule::RefusalRule, route_rule::RouteRule},
        request_priority::LOWEST_CLASS,
    },
};

/// Bounds on the work that a daemon admits to its backend server.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionLimits {
    /// Concurrency limit at the start.
    pub initial_concurrency: u32,
    /// Lowest concurrency limit.
    pub min_concurrency: u32,
    /// Highest concurrency limit.
    pub max_concurrency: u32,
    /// Most requests that wait for a slot.
    pub queue_length: u32,
    /// Longest wait for a slot, in milliseconds.
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

/// Bounds on extra attempts.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RetryLimits {
    /// Extra attempts granted to a whole root request.
    pub allowance: u16,
    /// Extra attempts to a service as a share of first attempts, in percent.
    pub budget_percent: u8,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            allowance: 3,
            budget_percent: 10,
        }
    }
}

/// Overload profile as published by a team.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceProfile {
    /// Name under which the profile is published.
    pub name: SmolStr,
    /// Class names and their levels, 0 the most important.
    pub classes: IndexMap<SmolStr, u8>,
    /// Class of requests that match no route.
    pub default_class: SmolStr,
    /// Admission bounds.
    #[serde(default)]
    pub admission: AdmissionLimits,
    /// Retry bounds.
    #[serde(default)]
    pub retry: RetryLimits,
    /// Route rules; the first match counts.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
    /// Longest time without a received byte before a connection counts as silent, in milliseconds.
    #[serde(default = "default_progress_ms")]
    pub progress_ms: u32,
    /// Time for which a ticket is valid, in milliseconds.
    #[serde(default = "default_ticket_ms")]
    pub ticket_ms: u32,
    /// Published refusal of the backend server.
    #[serde(default)]
    pub refusal: Option<RefusalRule>,
}

/// Progress time of a profile that names none, in milliseconds.
fn default_progress_ms() -> u32 {
    1_000
}

/// Ticket validity of a profile that names none, in milliseconds.
fn default_ticket_ms() -> u32 {
    60_000
}

/// A profile cannot be used.
#[derive(Debug, Error)]
pub enum ProfileError {
    /// The text is not valid TOML or has unknown or missing keys.
    #[error("The profile cannot be read: {0}")]
    Syntax(#[from] toml::de::Error),
    /// A class that a key refers to does not exist.
    #[error("The class `{0}` is not declared in `classes`.")]
    UnknownClass(SmolStr),
    /// A class level is out of range.
    #[error("The level of class `{0}` is above {LOWEST_CLASS}.")]
    ClassLevel(SmolStr),
}

impl FromStr for ServiceProfile {
    type Err = ProfileError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let profile: Self = toml::from_str(text)?;
        profile.validate()?;
        Ok(profile)
    }
}

impl ServiceProfile {
    /// Returns the rule for a request, if a route matches.
    pub fn rule(&self, method: &str, path: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|rule| rule.matches(method, path))
    }

    /// Returns the class level for a request.
    pub fn class_level(&self, rule: Option<&RouteRule>) -> u8 {
        let name = rule.map_or(&self.default_class, |rule| &rule.class);
        self.classes.get(name).copied().unwrap_or(LOWEST_CLASS)
    }

    fn validate(&self) -> Result<(), ProfileError> {
        if let Some((name, _)) = self
            .classes
            .iter()
            .find(|(_, level)| **level > LOWEST_CLASS)
        {
            return Err(ProfileError::ClassLevel(name.clone()));
        }
        let unknown = std::iter::once(&self.default_class)
            .chain(self.routes.iter().map(|rule| &rule.class))
            .find(|class| !self.classes.contains_key(*class));
        match unknown {
            Some(class) => Err(ProfileError::UnknownClass(class.clone())),
            None => Ok(()),
        }
    }
}
