//! Runs a request with a ticket at most once, at the executor of the ticket.
//!
//! The executor of a ticket is the instance that issued it. It keeps the record of the run; other
//! instances forward the request to it.

use crate::{
    common::*,
    controller::run_records::RunAction,
    decision::{
        once::{
            run_record_table::RecordLimits,
            ticket_id::TicketId,
            ticket_issuer::{TicketError, TicketIssuer},
        },
        profile::{route_rule::TicketRule, service_profile::ServiceProfile},
    },
    filter::{
        at_most_once_headers::AtMostOnceHeaders,
        context_filter::ContextState,
        recorded_run::{self, RunPolicy},
        request_error::RequestError,
        request_headers, ticket_forward,
    },
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::{HandlerFuture, HandlerResult},
    middleware::{Middleware, NewMiddleware},
    state::State,
};
use http::{Method, Uri};
use std::pin::Pin;
use xxhash_rust::xxh3::Xxh3;

/// Limits of the record of runs with tickets.
pub const TICKET_LIMITS: RecordLimits = RecordLimits {
    records: 8_192,
    bytes: 4 << 20,
    response_bytes: 64 << 10,
    reserved_bytes: 16 << 10,
};

/// A ticket can be used again if its request was not run. Bodies of unknown length are collected as
/// well, so that their responses can be returned to later requests with the ticket.
const POLICY: RunPolicy = RunPolicy {
    is_released_when_not_run: true,
    collects_unknown_length: true,
};

/// Applies the ticket rule of the route.
#[derive(Clone, NewMiddleware)]
pub struct TicketFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for TicketFilter {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
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
            let ticket = state.borrow::<AtMostOnceHeaders>().ticket.clone();
            let Some(text) = ticket else {
                return match self.issue_required_ticket(&state, &in_force.profile) {
                    Some(error) => Ok((state, error.to_response())),
                    None => chain(state).await,
                };
            };
            match text.parse::<TicketId>() {
                Err(_) => Ok((state, RequestError::TicketInvalid.to_response())),
                Ok(ticket) if self.daemon.ticket_issuer.lock().is_executor(&ticket) => {
                    self.execute(&ticket, state, chain).await
                }
                Ok(ticket) => ticket_forward::forward(&self.daemon, &ticket, state).await,
            }
        }
        .boxed()
    }
}

impl TicketFilter {
    /// Issues a ticket, as part of an error, if the route requires one.
    fn issue_required_ticket(
        &self,
        state: &State,
        profile: &ServiceProfile,
    ) -> Option<RequestError> {
        let method = state.borrow::<Method>();
        let rule = profile.matching_route(method.as_str(), state.borrow::<Uri>().path())?;
        if rule.ticket != TicketRule::Required {
            return None;
        }
        let lifetime = Duration::from_secs(profile.ticket.lifetime_s.into());
        let now = self.daemon.clock.now();
        let ticket = self.daemon.ticket_issuer.lock().issue(lifetime, now);
        Some(RequestError::TicketRequired(ticket.to_string().into()))
    }

    async fn execute<Chain>(self, ticket: &TicketId, state: State, chain: Chain) -> HandlerResult
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        let now = self.daemon.clock.now();
        let verified = self.daemon.ticket_issuer.lock().verify(ticket, now);
        let expiry = match verified {
            Ok(expiry) => expiry,
            Err(error) => return Ok((state, ticket_error(&error).to_response())),
        };
        let deadline = state.borrow::<ContextState>().0.deadline;
        let remaining_time = deadline.saturating_duration_since(now);
        let records = &self.daemon.ticket_runs;
        let action = records.begin(ticket.number, fingerprint(&state), expiry);
        let is_first = matches!(action, RunAction::Run(..));
        let allowance = state.borrow::<ContextState>().0.allowance;
        let (state, mut response) =
            recorded_run::execute(action, remaining_time, POLICY, state, chain).await?;
        if !is_first {
            // Only the first request with the ticket runs, so that this one used no extra attempts.
            request_headers::insert(response.headers_mut(), header_names::UNUSED, allowance);
        }
        Ok((state, response))
    }
}

/// Creates the ticket issuer of a daemon with a random incarnation and a random key.
pub fn new_issuer(data_centre: SmolStr, instance: SmolStr, now: Instant) -> TicketIssuer {
    TicketIssuer::new(data_centre, instance, rand::random(), rand::random(), now)
}

fn ticket_error(error: &TicketError) -> RequestError {
    match error {
        TicketError::Incarnation => RequestError::ExecutorRestarted,
        TicketError::Mac => RequestError::TicketInvalid,
        TicketError::Expired => RequestError::TicketExpired,
    }
}

/// Returns a hash of the method and the path, to detect the use of a ticket for another request.
fn fingerprint(state: &State) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(state.borrow::<Method>().as_str().as_bytes());
    hasher.update(b" ");
    let path = state.borrow::<Uri>().path_and_query();
    hasher.update(path.map_or("/", |path| path.as_str()).as_bytes());
    hasher.digest()
}
