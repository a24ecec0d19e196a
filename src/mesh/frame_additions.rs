//! Ends of messages between daemons, after the parts that daemons of earlier builds read: the eras of
//! positions in the store, and what kind of update it is.

use crate::{
    common::*,
    mesh::peer_frame::{FrameError, LoadFrame, StoreUpdateFrame},
};

/// End of a load message, after the demand.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoadAddition {
    /// Whether the demand is that of a configuration with organisations.
    has_demand: bool,
    /// Era of the sender's position in the store.
    era: u64,
}

/// End of a load message, after `LoadAddition`.
#[derive(Debug, Deserialize, Serialize)]
pub struct ContactAddition {
    /// See `StoreStatus::contact_age`, in milliseconds.
    contact_age_ms: Option<u32>,
}

impl ContactAddition {
    /// Returns the end of a message.
    pub fn new(load: &LoadFrame) -> Self {
        let age = load.store_status.contact_age;
        Self {
            contact_age_ms: age.and_then(|age| age.as_millis().try_into().ok()),
        }
    }

    /// Completes a message that was just decoded.
    pub fn apply(self, load: &mut LoadFrame) {
        let age = self.contact_age_ms;
        load.store_status.contact_age = age.map(|ms| Duration::from_millis(ms.into()));
    }
}

impl LoadAddition {
    /// Returns the end of a message.
    pub fn new(load: &LoadFrame) -> Self {
        Self {
            has_demand: load.demand.is_some(),
            era: load.store_status.position.era,
        }
    }

    /// Completes a message that was just decoded.
    pub fn apply(self, load: &mut LoadFrame) {
        if !self.has_demand {
            load.demand = None;
        }
        load.store_status.position.era = self.era;
        load.store_status.knows_eras = true;
    }
}

/// End of a store update. One without it is in era 0 and from a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct UpdateAddition {
    is_list: bool,
    previous: u64,
    last: u64,
    /// Eras of the items, in their order.
    items: Vec<u64>,
}

impl UpdateAddition {
    /// Returns the end of an update that needs one.
    pub fn new(update: &StoreUpdateFrame) -> Option<Self> {
        let addition = Self {
            is_list: update.is_list,
            previous: update.previous.era,
            last: update.last.era,
            items: update.items.iter().map(|item| item.position.era).collect(),
        };
        let mut eras = [addition.previous, addition.last]
            .into_iter()
            .chain(addition.items.iter().copied());
        let is_needed = addition.is_list || eras.any(|era| era > 0);
        is_needed.then_some(addition)
    }

    /// Completes an update that was just decoded.
    pub fn apply(self, update: &mut StoreUpdateFrame) -> Result<(), FrameError> {
        if self.items.len() != update.items.len() {
            return Err(FrameError::Records(self.items.len()));
        }
        update.is_list = self.is_list;
        update.previous.era = self.previous;
        update.last.era = self.last;
        for (item, era) in update.items.iter_mut().zip(self.items) {
            item.position.era = era;
        }
        Ok(())
    }
}
