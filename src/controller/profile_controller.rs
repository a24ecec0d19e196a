//! Profiles in force for the own service and the called services.

use crate::{
    common::*,
    controller::gossip_controller::SharedNode,
    decision::{
        catalogue::{
            catalogue_message::AppliedValue, catalogue_report::CatalogueReport,
            catalogue_value::CatalogueValue,
        },
        clock::Clock,
        profile::service_profile::ServiceProfile,
    },
};

/// Profile that a service runs under.
#[derive(Clone, Debug)]
pub struct ProfileInForce {
    /// Version of the profile on the platform.
    pub version: u64,
    /// Profile as published.
    pub profile: Arc<ServiceProfile>,
}

#[derive(Debug, Default)]
struct ProfileState {
    versions: IndexMap<SmolStr, u64>,
    profiles: IndexMap<SmolStr, ProfileInForce>,
    selections: IndexMap<SmolStr, SmolStr>,
    services: IndexMap<SmolStr, ProfileInForce>,
}

/// Holds the profiles in force, by service.
pub struct ProfileController {
    state: Mutex<ProfileState>,
    node: SharedNode,
    clock: Arc<dyn Clock>,
}

impl ProfileController {
    /// Creates the controller over the catalogue of a daemon.
    pub fn new(node: SharedNode, clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            node,
            clock,
        }
    }

    /// Returns the profile of a service.
    pub fn get(&self, service: &str) -> Option<ProfileInForce> {
        self.state.lock().services.get(service).cloned()
    }

    /// Returns the state of the catalogue for operators.
    pub fn report(&self) -> CatalogueReport {
        self.node.lock().report(self.clock.now())
    }

    /// Puts a value in force and calls `follow` with it unless a higher version already is.
    /// `follow` runs under the lock, so that values of one key are followed in their order.
    pub fn apply(&self, applied: &AppliedValue, follow: impl FnOnce(&AppliedValue)) {
        let mut state = self.state.lock();
        let version = applied.stamp.version;
        let known = state.versions.get(&applied.key);
        if known.is_some_and(|known| *known >= version) {
            return;
        }
        state.versions.insert(applied.key.clone(), version);
        let name = applied.key.split_once('/').map_or("", |(_, name)| name);
        match &applied.value {
            CatalogueValue::Profile(profile) => {
                let profile = Arc::clone(profile);
                let in_force = ProfileInForce { version, profile };
                state.profiles.insert(name.into(), in_force);
            }
            CatalogueValue::Selection(profile) => {
                state.selections.insert(name.into(), profile.clone());
            }
            CatalogueValue::Instances(_) => {}
        }
        state.select();
        follow(applied);
    }
}

impl ProfileState {
    /// Recomputes the profile of each service. A service keeps its profile until the value of a
    /// newly selected one is there.
    fn select(&mut self) {
        for (service, profile) in &self.selections {
            if let Some(in_force) = self.profiles.get(profile) {
                self.services.insert(service.clone(), in_force.clone());
            }
        }
    }
}
