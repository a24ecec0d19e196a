//! Demand of organisations at the entry of one daemon.

use crate::common::*;

/// Most organisations in one report.
pub const MAX_DEMANDS: usize = 8_192;

/// Largest demand that a report may state, in requests per second.
const MAX_RATE: f32 = 1e9;

/// Demand of all organisations at one daemon, for its peers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    /// Whether the daemon has run for long enough to know its demand.
    pub is_settled: bool,
    /// Organisations with any demand.
    pub demands: Vec<OrganisationDemand>,
}

/// Demand of one organisation at one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationDemand {
    /// Name of the organisation.
    pub organisation: SmolStr,
    /// Requests per second, those over the allotment included, without those refused for another
    /// reason.
    pub rate: f32,
    /// Requests per second that the allotment covered.
    pub granted_rate: f32,
}

impl OrganisationDemand {
    /// Returns whether the figures can be used.
    pub fn is_valid(&self) -> bool {
        let figures = [self.rate, self.granted_rate];
        figures
            .iter()
            .all(|figure| (0.0..=MAX_RATE).contains(figure))
    }
}
