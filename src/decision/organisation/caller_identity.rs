//! Identification of the organisation of a caller.

use crate::{
    common::*,
    decision::organisation::{
        organisation_spec::OrganisationSpec, organisation_table::OrganisationTable,
    },
};

/// A request is refused since its caller is not identified.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum IdentityError {
    /// The request has no key.
    #[error("The request has no key.")]
    MissingKey,
    /// No organisation holds the key, or the request has several.
    #[error("No organisation holds the key of the request.")]
    UnknownKey,
}

/// Returns the organisation of a request with these values of the key header, or `None` on a route that
/// is open to all callers.
pub fn identify<'a, 'b>(
    organisations: &'a OrganisationTable,
    is_open: bool,
    mut keys: impl Iterator<Item = &'b [u8]>,
) -> Result<Option<&'a Arc<OrganisationSpec>>, IdentityError> {
    if is_open {
        return Ok(None);
    }
    let key = keys.next().ok_or(IdentityError::MissingKey)?;
    if keys.next().is_some() {
        return Err(IdentityError::UnknownKey);
    }
    let key = std::str::from_utf8(key).map_err(|_| IdentityError::UnknownKey)?;
    let holder = organisations.by_key(key.trim());
    holder.map(Some).ok_or(IdentityError::UnknownKey)
}
