//! Decoder of the organisations in the configuration, which the platform calls tenants.

use crate::{
    common::*,
    decision::organisation::{
        api_key::ApiKey,
        organisation_spec::{OrganisationSpec, RequestAllotment},
        organisation_table::{OrganisationError, OrganisationTable},
    },
};

/// Tenant as the operator writes it.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantDocument {
    #[serde(default)]
    name: SmolStr,
    #[serde(default)]
    api_keys: Vec<SmolStr>,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Creates the table of the organisations of one configuration.
pub fn decode(documents: Vec<TenantDocument>) -> Result<OrganisationTable, OrganisationError> {
    let specs: Result<Vec<_>, _> = documents.into_iter().map(TenantDocument::decode).collect();
    OrganisationTable::new(specs?)
}

impl TenantDocument {
    fn decode(self) -> Result<OrganisationSpec, OrganisationError> {
        let keys = self.api_keys.iter().map(|text| ApiKey::new(text));
        let Some(keys) = keys.collect::<Option<Vec<_>>>() else {
            return Err(OrganisationError::InvalidKey(self.name));
        };
        // A rate of 0 stands for no limit. A negative one is kept, so that the table rejects it.
        let allotment = (self.rate_per_s != 0.0 || self.burst < 0.0).then_some(RequestAllotment {
            rate: self.rate_per_s,
            burst: self.burst,
        });
        Ok(OrganisationSpec {
            name: self.name,
            keys,
            priority: self.priority,
            allotment,
        })
    }
}
