//! Decoder of the route configuration that the operator writes to the store.

use crate::{
    common::*,
    decision::{
        mesh::route_table::{
            CallerLimits, RouteSpec, RouteTable, RouteVersion, RunSemantics, WeightedTarget,
        },
        organisation::organisation_table::OrganisationError,
    },
    platform::{
        document_time,
        tenant_document::{self, TenantDocument},
    },
};
use indexmap::IndexSet;

/// A route configuration could not be decoded.
#[derive(Debug, Error)]
pub enum ConfigDocumentError {
    /// The text is not JSON of the expected structure. The error of the decoder is left out, since it
    /// may quote a key.
    #[error("The route configuration has a {category:?} error at line {line}, column {column}.")]
    Json {
        /// Kind of the error.
        category: serde_json::error::Category,
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
    },
    /// The version is not `r` followed by a number.
    #[error("The version `{0}` of the route configuration is not `r` followed by a number.")]
    Version(SmolStr),
    /// A time is negative or too large. The name is that of a route, or `limits`.
    #[error("`{0}` has a time that is not a valid duration.")]
    Time(SmolStr),
    /// A route has no host.
    #[error("The route `{0}` has no host.")]
    NoHost(SmolStr),
    /// A prefix does not start and end with a slash.
    #[error("The prefix of the route `{0}` does not start and end with a slash.")]
    Prefix(SmolStr),
    /// A route names a service that the configuration does not have, or none.
    #[error("The route `{0}` names no service of the configuration.")]
    Service(SmolStr),
    /// An organisation is not valid.
    #[error(transparent)]
    Organisation(#[from] OrganisationError),
}

impl From<serde_json::Error> for ConfigDocumentError {
    fn from(error: serde_json::Error) -> Self {
        Self::Json {
            category: error.classify(),
            line: error.line(),
            column: error.column(),
        }
    }
}

#[derive(Deserialize)]
struct ConfigDocument {
    version: SmolStr,
    routes: Vec<RouteDocument>,
    #[serde(default)]
    limits: Option<LimitsDocument>,
    #[serde(default)]
    services: Vec<ServiceDocument>,
    #[serde(default)]
    tenants: Option<Vec<TenantDocument>>,
}

#[derive(Deserialize)]
struct ServiceDocument {
    name: SmolStr,
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
    allow_anonymous: bool,
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
    let routes = routes?;
    check_services(&routes, &document.services)?;
    let table = RouteTable::new(RouteVersion(version), limits, routes);
    Ok(match document.tenants {
        Some(tenants) => table.with_organisations(tenant_document::decode(tenants)?),
        None => table,
    })
}

/// Checks that all targets of the routes are services of the configuration, if it lists any.
fn check_services(
    routes: &[RouteSpec],
    services: &[ServiceDocument],
) -> Result<(), ConfigDocumentError> {
    if services.is_empty() {
        return Ok(());
    }
    let names: IndexSet<&str> = services.iter().map(|service| &*service.name).collect();
    let is_known = |target: &WeightedTarget| names.contains(&*target.service);
    let is_served =
        |route: &&RouteSpec| !route.targets.is_empty() && route.targets.iter().all(is_known);
    match routes.iter().find(|route| !is_served(route)) {
        Some(route) => Err(ConfigDocumentError::Service(route.name.clone())),
        None => Ok(()),
    }
}

fn duration_from_secs(value: f64, name: &SmolStr) -> Result<Duration, ConfigDocumentError> {
    document_time::decode_seconds(value).ok_or_else(|| ConfigDocumentError::Time(name.clone()))
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
        if self.hostname.is_empty() {
            return Err(ConfigDocumentError::NoHost(self.name));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(ConfigDocumentError::Prefix(self.name));
        }
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
            is_open: self.allow_anonymous,
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
