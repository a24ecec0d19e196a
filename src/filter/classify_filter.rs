//! Sets the class, the deadline and the allowance of root requests.

use crate::{
    common::*,
    decision::{
        profile::service_profile::ServiceProfile, request_context::RequestContext,
        request_priority::RequestPriority,
    },
    filter::{
        at_most_once_headers::AtMostOnceHeaders, context_filter::ContextState,
        request_error::RequestError,
    },
    shell::daemon::DaemonState,
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use http::{Method, Uri};
use std::pin::Pin;

/// Applies the profile of this daemon's service to the requests of which this daemon is the entry.
#[derive(Clone, NewMiddleware)]
pub struct ClassifyFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for ClassifyFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let service = &self.daemon.settings.service;
            let Some(in_force) = self.daemon.profiles.get(service) else {
                let may_have_run = state.borrow::<AtMostOnceHeaders>().may_have_run();
                let error =
                    RequestError::NoProfile(service.clone()).with_unknown_outcome_if(may_have_run);
                return Ok((state, error.to_response()));
            };
            let method = state.borrow::<Method>().clone();
            let uri = state.borrow::<Uri>().clone();
            let now = self.daemon.clock.now();
            let context = &mut state.borrow_mut::<ContextState>().0;
            if context.is_entry {
                apply_profile(context, &in_force.profile, method.as_str(), uri.path(), now);
            }
            chain(state).await
        }
        .boxed()
    }
}

/// Sets the class, the deadline and the allowance of a root request from a profile.
pub fn apply_profile(
    context: &mut RequestContext,
    profile: &ServiceProfile,
    method: &str,
    path: &str,
    now: Instant,
) {
    let rule = profile.matching_route(method, path);
    context.deadline = context.deadline.min(now + profile.deadline(rule));
    context.allowance = profile.retry.allowance;
    context.priority = RequestPriority::for_request(
        profile.class_level(rule),
        context.priority.retry,
        context.request.0,
    );
}
