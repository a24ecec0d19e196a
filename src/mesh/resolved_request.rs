//! Requests whose route and caller are known.

use crate::{
    common::*,
    decision::{
        mesh::route_table::{RouteKey, RouteSpec, RouteTable},
        organisation::{
            caller_identity::{self, IdentityError},
            organisation_spec::OrganisationSpec,
        },
    },
    http1::message_head::RequestHead,
    mesh::{caller_response::LocalReason, context_headers::ContextHeaders, peer_frame::CallerNote},
};

/// Route of a request and organisation of its caller, by the configuration in force when the request
/// came.
pub struct ResolvedRequest {
    routes: Arc<RouteTable>,
    key: RouteKey,
    identity: Result<Option<Arc<OrganisationSpec>>, IdentityError>,
}

impl ResolvedRequest {
    /// Finds the route of a request and identifies its caller; returns `None` if no route matches.
    pub fn new(
        routes: Arc<RouteTable>,
        head: &RequestHead,
        headers: &ContextHeaders,
    ) -> Option<Self> {
        let host = head.headers.text("Host").unwrap_or_default();
        let key = routes.find_key(host, &head.target)?;
        let identity = routes.organisations().map_or(Ok(None), |organisations| {
            let is_open = routes.route(key).is_open;
            let keys = head.headers.all(headers.api_key);
            caller_identity::identify(organisations, is_open, keys).map(Option::<&Arc<_>>::cloned)
        });
        Some(Self {
            routes,
            key,
            identity,
        })
    }

    /// Returns the route.
    pub fn route(&self) -> &RouteSpec {
        self.routes.route(self.key)
    }

    /// Returns whether the configuration has organisations.
    pub fn has_organisations(&self) -> bool {
        self.routes.organisations().is_some()
    }

    /// Returns the organisation of the caller, if the route needs one; fails if the caller is not
    /// identified.
    pub fn identity(&self) -> Result<Option<&Arc<OrganisationSpec>>, LocalReason> {
        match &self.identity {
            Ok(organisation) => Ok(organisation.as_ref()),
            Err(IdentityError::MissingKey) => Err(LocalReason::MissingKey),
            Err(IdentityError::UnknownKey) => Err(LocalReason::UnknownKey),
        }
    }

    /// Returns the organisation of the caller, if it is known.
    pub fn organisation(&self) -> Option<&Arc<OrganisationSpec>> {
        self.identity.as_ref().ok()?.as_ref()
    }

    /// Returns whether the caller belongs to one of the most important organisations, while others are
    /// less important.
    pub fn is_important(&self) -> bool {
        let priority = self
            .organisation()
            .map(|organisation| organisation.priority);
        self.routes.is_important(priority)
    }

    /// Returns the rank of the request by its priorities; 0 is the most important.
    pub fn rank(&self) -> u8 {
        let organisation = self.organisation().map(Arc::as_ref);
        self.routes.rank(organisation, self.route())
    }

    /// Returns what the daemon beside the backend server is told of the caller.
    pub fn caller(&self) -> CallerNote {
        CallerNote {
            is_identified: self.has_organisations(),
        }
    }
}
