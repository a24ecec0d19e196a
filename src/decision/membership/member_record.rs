//! Records about incarnations that daemons exchange.

use crate::{
    common::*,
    decision::{
        membership::{incarnation::Incarnation, member_phase::MemberPhase},
        routing::upstream_set::InstanceInfo,
    },
};

/// Identifies an instance.
#[derive(Clone, Debug, Eq, PartialEq, Hash, Ord, PartialOrd)]
pub struct MemberKey {
    /// Service of the instance.
    pub service: SmolStr,
    /// Name of the instance.
    pub instance: SmolStr,
}

/// Phase of one incarnation, as originally received by some daemon from the instance itself.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct MemberRecord {
    /// Service of the instance.
    pub service: SmolStr,
    /// Name and addresses of the instance; the `leaving` flag is unused.
    pub info: InstanceInfo,
    /// Incarnation that the record is about.
    pub incarnation: Incarnation,
    /// Latest phase that was received.
    pub phase: MemberPhase,
}

/// Response of another daemon that this daemon received directly.
#[derive(Clone, Debug)]
pub struct PeerResponse {
    /// Service of the instance.
    pub service: SmolStr,
    /// Instance that the request was sent to.
    pub info: InstanceInfo,
    /// Incarnation that responded.
    pub incarnation: Incarnation,
    /// Whether the response announced that the instance leaves.
    pub is_leaving: bool,
    /// Instant before the request was sent.
    pub sent: Instant,
    /// Instant after the response was received.
    pub received: Instant,
}

impl MemberRecord {
    /// Returns the key of the instance.
    pub fn key(&self) -> MemberKey {
        MemberKey {
            service: self.service.clone(),
            instance: self.info.instance.clone(),
        }
    }
}

impl From<&PeerResponse> for MemberRecord {
    fn from(response: &PeerResponse) -> Self {
        Self {
            service: response.service.clone(),
            info: response.info.clone(),
            incarnation: response.incarnation,
            phase: if response.is_leaving {
                MemberPhase::Leaving
            } else {
                MemberPhase::Live
            },
        }
    }
}
