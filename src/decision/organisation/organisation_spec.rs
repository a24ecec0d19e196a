//! Organisation of a configuration.

use crate::{common::*, decision::organisation::api_key::ApiKey};

/// Bound on the requests of an organisation over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestAllotment {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may come in addition at once.
    pub burst: f64,
}

/// Organisation with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationSpec {
    /// Name, which backend servers receive.
    pub name: SmolStr,
    /// Keys; none if all were taken away.
    pub keys: Vec<ApiKey>,
    /// Priority, compared before that of the routes; 0 is the most important.
    pub priority: u8,
    /// Bound on the requests, if there is one.
    pub allotment: Option<RequestAllotment>,
}
