//! Decoder of the route configuration that the operator writes to the store.

use crate::{
    common::*,
    decision::mesh::route_table::{
        CallerLimits, RouteSpec, RouteTable, RouteVersion, RunSemantics, WeightedTarget,
    },
};

/// A route configuration could not be decoded.
#[derive(Debug, Error)]
pub enum ConfigDocumentError {
    /// The text is not JSON of the expected structure.
    #[error("Cannot decode the route configuration: {0}.")]
    Json(#[from] serde_json::Error),
    /// The version is not `r` followed by a number.
    #[error("The version `{0}` of the route configuration is not `r` followed by a number.")]
    Version(SmolStr),
    /// A time is negative or too large. The name is that of a route, or `limits`.
    #[error("`{0}` has a time that is not a valid duration.")]
    Time(SmolStr),
}

#[derive(Deserialize)]
struct ConfigDocument {
    version: SmolStr,
    routes: Vec<RouteDocument>,
    #[serde(default)]
    limits: Option<LimitsDocument>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteDocument {
    name: SmolStr,
    hostname: SmolStr,
    prefix: SmolStr,
    route_type: SmolStr,
    timeout_s: f64,
    target_latency_s: f64,
    priority: u8,
    max_attempts: u32,
    #[serde(default)]
    service: Option<SmolStr>,
    #[serde(default)]
    weighted_targets: Option<Vec<TargetDocument>>,
}

#[derive(Deserialize)]
struct TargetDocument {
    service: SmolStr,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsDocument {
    max_header_bytes: usize,
    max_body_bytes: u64,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

/// Decodes a route configuration.
pub fn decode(bytes: &[u8]) -> Result<RouteTable, ConfigDocumentError> {
    let document: ConfigDocument = serde_json::from_slice(bytes)?;
    let version = document
        .version
        .strip_prefix('r')
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| ConfigDocumentError::Version(document.version.clone()))?;
    let limits = match document.limits {
        Some(limits) => limits.decode()?,
        None => CallerLimits::default(),
    };
    let routes: Result<Vec<_>, _> = document
        .routes
        .into_iter()
        .map(RouteDocument::decode)
        .collect();
    Ok(RouteTable::new(RouteVersion(version), limits, routes?))
}

fn duration_from_secs(value: f64, name: &SmolStr) -> Result<Duration, ConfigDocumentError> {
    Duration::try_from_secs_f64(value).map_err(|_| ConfigDocumentError::Time(name.clone()))
}

impl RouteDocument {
    fn decode(self) -> Result<RouteSpec, ConfigDocumentError> {
        let single_target = self
            .service
            .map(|service| WeightedTarget { service, weight: 1 });
        let weighted_targets = self.weighted_targets.unwrap_or_default();
        let weighted_targets = weighted_targets.into_iter().map(|target| WeightedTarget {
            service: target.service,
            weight: target.weight,
        });
        Ok(RouteSpec {
            timeout: duration_from_secs(self.timeout_s, &self.name)?,
            latency_target: duration_from_secs(self.target_latency_s, &self.name)?,
            name: self.name,
            host: self.hostname,
            prefix: self.prefix,
            semantics: match self.route_type.as_str() {
                "safe" | "download" => RunSemantics::Idempotent,
                _ => RunSemantics::AtMostOnce,
            },
            max_attempts: self.max_attempts.max(1),
            priority: self.priority,
            targets: single_target.into_iter().chain(weighted_targets).collect(),
        })
    }
}

impl LimitsDocument {
    fn decode(self) -> Result<CallerLimits, ConfigDocumentError> {
        let name = SmolStr::new_static("limits");
        Ok(CallerLimits {
            header_bytes: self.max_header_bytes,
            body_bytes: self.max_body_bytes,
            header_timeout: duration_from_secs(self.header_timeout_s, &name)?,
            idle_timeout: duration_from_secs(self.idle_timeout_s, &name)?,
        })
    }
}
