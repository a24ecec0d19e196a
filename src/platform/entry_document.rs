//! Entries that backend servers write about themselves to the store.

use crate::{
    common::*,
    decision::mesh::fleet_view::{BackendEntry, ServingState},
};

/// An entry of a backend server cannot be read.
#[derive(Debug, Error)]
pub enum EntryDocumentError {
    /// The text is not of the expected form.
    #[error("The entry cannot be read: {0}.")]
    Form(#[from] serde_json::Error),
    /// The state has no known name.
    #[error("The entry has the unknown state `{0}`.")]
    State(SmolStr),
    /// The time until the backend server is warm is no duration.
    #[error("The entry has no valid time until the backend server is warm.")]
    Cold,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EntryDocument {
    service: SmolStr,
    address: SocketAddr,
    zone: SmolStr,
    slots: u32,
    state: SmolStr,
    cold_remaining_s: f64,
    // Counter of the writes of one start. Only its presence is checked.
    #[serde(rename = "sequence")]
    _sequence: u64,
    #[serde(default)]
    born: Option<u64>,
}

/// Decodes the entry of a backend server.
pub fn decode(bytes: &[u8]) -> Result<BackendEntry, EntryDocumentError> {
    let document: EntryDocument = serde_json::from_slice(bytes)?;
    let state = match document.state.as_str() {
        "ready" => ServingState::Ready,
        "draining" => ServingState::Draining,
        _ => return Err(EntryDocumentError::State(document.state)),
    };
    let remaining_warm_up = Duration::try_from_secs_f64(document.cold_remaining_s)
        .map_err(|_| EntryDocumentError::Cold)?;
    Ok(BackendEntry {
        service: document.service,
        address: document.address,
        data_centre: document.zone,
        slots: document.slots,
        state,
        remaining_warm_up,
        started_ms: document.born,
    })
}
