//! Organisations of one configuration, indexed by key.

use crate::{
    common::*,
    decision::organisation::{api_key::ApiKey, organisation_spec::OrganisationSpec},
};

/// Largest rate or burst of an allotment, above what any fleet serves.
const MAX_FIGURE: f64 = 1e9;

/// The organisations of a configuration contradict each other or have invalid values. No message
/// contains a key.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum OrganisationError {
    /// An organisation has no name.
    #[error("The organisation number {0} has no name.")]
    NoName(usize),
    /// The name contains bytes that a header value cannot contain.
    #[error("The name of the organisation number {0} cannot be sent in a header.")]
    InvalidName(usize),
    /// Two organisations have the same name.
    #[error("Two organisations have the name `{0}`.")]
    SharedName(SmolStr),
    /// Two organisations hold the same key.
    #[error("The organisations `{0}` and `{1}` hold the same key.")]
    SharedKey(SmolStr, SmolStr),
    /// A key is empty, too long, or cannot be sent in a header.
    #[error("The organisation `{0}` has a key that is not valid.")]
    InvalidKey(SmolStr),
    /// A rate or burst is negative, too large or not a number.
    #[error("The organisation `{0}` has an allotment that is not valid.")]
    InvalidAllotment(SmolStr),
}

/// Organisations of one configuration.
#[derive(Debug, Default)]
pub struct OrganisationTable {
    organisations: IndexMap<SmolStr, Arc<OrganisationSpec>>,
    by_key: IndexMap<ApiKey, Arc<OrganisationSpec>>,
}

impl OrganisationTable {
    /// Creates a table; fails if any organisation is not valid.
    pub fn new(specs: Vec<OrganisationSpec>) -> Result<Self, OrganisationError> {
        let mut table = Self::default();
        for (index, spec) in specs.into_iter().enumerate() {
            check(&spec, index + 1)?;
            table.insert(Arc::new(spec))?;
        }
        Ok(table)
    }

    fn insert(&mut self, spec: Arc<OrganisationSpec>) -> Result<(), OrganisationError> {
        for key in &spec.keys {
            let holder = self.by_key.insert(key.clone(), Arc::clone(&spec));
            if let Some(holder) = holder.filter(|holder| holder.name != spec.name) {
                return Err(OrganisationError::SharedKey(
                    holder.name.clone(),
                    spec.name.clone(),
                ));
            }
        }
        let name = spec.name.clone();
        match self.organisations.insert(name.clone(), spec) {
            Some(_) => Err(OrganisationError::SharedName(name)),
            None => Ok(()),
        }
    }

    /// Returns the organisation that holds a key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<OrganisationSpec>> {
        self.by_key.get(key)
    }

    /// Returns the organisation with a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<OrganisationSpec>> {
        self.organisations.get(name)
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<OrganisationSpec>> {
        self.organisations.values()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Returns whether there are no organisations, so that no key is valid.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }
}

fn check(spec: &OrganisationSpec, number: usize) -> Result<(), OrganisationError> {
    if spec.name.is_empty() {
        return Err(OrganisationError::NoName(number));
    }
    if !spec.name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(OrganisationError::InvalidName(number));
    }
    let figures = spec.allotment.map_or([0.0; 2], |a| [a.rate, a.burst]);
    if figures
        .iter()
        .any(|figure| !(0.0..=MAX_FIGURE).contains(figure))
    {
        return Err(OrganisationError::InvalidAllotment(spec.name.clone()));
    }
    Ok(())
}
