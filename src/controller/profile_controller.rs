//! Profiles in force for this daemon's service and the called services.

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

/// Version of a profile that is in force for a service.
#[derive(Clone, Debug)]
pub struct ProfileInForce {
    /// Version of the profile on the platform.
    pub version: u64,
    /// Published profile.
    pub profile: Arc<ServiceProfile>,
}

#[derive(Debug, Default)]
struct ProfileState {
    versions: IndexMap<SmolStr, u64>,
    profiles: IndexMap<SmolStr, ProfileInForce>,
    selections: IndexMap<SmolStr, SmolStr>,
    services: IndexMap<SmolStr, ProfileInForce>,
}

/// Selects the profile in force for each service.
pub struct ProfileController {
    state: Mutex<ProfileState>,
    node: SharedNode,
    clock: Arc<dyn Clock>,
}

impl ProfileController {
    /// Creates a controller without any value in force; `node` is used for [`Self::report`].
    pub fn new(node: SharedNode, clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            node,
            clock,
        }
    }

    /// Returns the profile in force for a service.
    pub fn get(&self, service: &str) -> Option<ProfileInForce> {
        self.state.lock().services.get(service).cloned()
    }

    /// Returns the state of the catalogue for operators. The reported version of a key is the one
    /// passed to [`Self::apply`], which may be older than the latest one in the catalogue.
    pub fn report(&self) -> CatalogueReport {
        let mut report = self.node.lock().report(self.clock.now());
        let state = self.state.lock();
        for key in &mut report.keys {
            key.version = state.versions.get(&key.key).copied();
        }
        report
    }

    /// Puts a value in force and calls `on_applied`, unless the same or a later version of the key
    /// is in force. `on_applied` runs under the lock, so that it gets the values of a key in the
    /// order of their versions.
    pub fn apply(&self, applied: &AppliedValue, on_applied: impl FnOnce(&AppliedValue)) {
        let mut state = self.state.lock();
        let version = applied.stamp.version;
        let current = state.versions.get(&applied.key);
        if current.is_some_and(|current| *current >= version) {
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
        state.update_services();
        on_applied(applied);
    }
}

impl ProfileState {
    /// Recomputes the profile in force for each service. When another profile is selected, the
    /// previous one stays in force until the value of the selected one has arrived.
    fn update_services(&mut self) {
        for (service, profile) in &self.selections {
            if let Some(in_force) = self.profiles.get(profile) {
                self.services.insert(service.clone(), in_force.clone());
            }
        }
    }
}
