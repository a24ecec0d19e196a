//! Decoder of the entries that backend servers write to the store.

use crate::{
    common::*,
    decision::mesh::fleet_view::{BackendEntry, ServingState},
    platform::document_time,
};

/// The entry of a backend server could not be decoded.
#[derive(Debug, Error)]
pub enum EntryDocumentError {
    /// The text is not JSON of the expected structure.
    #[error("Cannot decode the entry: {0}.")]
    Json(#[from] serde_json::Error),
    /// The state is unknown.
    #[error("The entry has the unknown state `{0}`.")]
    State(SmolStr),
    /// The remaining warm-up time is not a valid duration.
    #[error("The entry has an invalid remaining warm-up time.")]
    WarmUp,
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
    // Counts the writes since the start of the backend server.
    sequence: u64,
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
    let remaining_warm_up = document_time::decode_seconds(document.cold_remaining_s)
        .ok_or(EntryDocumentError::WarmUp)?;
    Ok(BackendEntry {
        service: document.service,
        address: document.address,
        data_centre: document.zone,
        slots: document.slots,
        state,
        remaining_warm_up,
        started_ms: document.born,
        sequence: document.sequence,
    })
}
