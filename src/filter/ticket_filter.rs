//! Fourth filter: runs a request with a ticket at most once, at its executor.

use crate::{
    common::*,
    controller::run_records::RunEntry,
    decision::{
        once::{
            run_record_table::RecordLimits,
            ticket_id::TicketId,
            ticket_issuer::{TicketError, TicketIssuer},
        },
        profile::{route_rule::TicketRule, service_profile::ServiceProfile},
    },
    filter::{
        identify_filter::CallState,
        recorded_run::{self, RunPolicy},
        refusal::RefusalError,
        request_headers,
        request_marks::RequestMarks,
        ticket_forward,
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

/// Bounds of the record of tickets.
pub const TICKET_LIMITS: RecordLimits = RecordLimits {
    records: 8_192,
    bytes: 4 << 20,
    response_bytes: 64 << 10,
    reserved_bytes: 16 << 10,
};

/// A ticket stays usable when its request was not run, and its response is collected.
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
                let is_repeat = state.borrow::<RequestMarks>().is_repeat();
                let error = RefusalError::NoProfile(service.clone()).for_repeat(is_repeat);
                return Ok((state, error.to_response()));
            };
            let ticket = state.borrow::<RequestMarks>().ticket.clone();
            let Some(text) = ticket else {
                return match self.fresh_ticket(&state, &in_force.profile) {
                    Some(error) => Ok((state, error.to_response())),
                    None => chain(state).await,
                };
            };
            match text.parse::<TicketId>() {
                Err(_) => Ok((state, RefusalError::TicketInvalid.to_response())),
                Ok(ticket) if self.daemon.tickets.lock().is_executor(&ticket) => {
                    self.execute(&ticket, state, chain).await
                }
                Ok(ticket) => ticket_forward::forward(&self.daemon, &ticket, state).await,
            }
        }
        .boxed()
    }
}

impl TicketFilter {
    fn fresh_ticket(&self, state: &State, profile: &ServiceProfile) -> Option<RefusalError> {
        let method = state.borrow::<Method>();
        let rule = profile.matching_route(method.as_str(), state.borrow::<Uri>().path())?;
        if rule.ticket != TicketRule::Required {
            return None;
        }
        let valid = Duration::from_secs(profile.ticket.lifetime_s.into());
        let now = self.daemon.clock.now();
        let ticket = self.daemon.tickets.lock().issue(valid, now);
        Some(RefusalError::TicketRequired(ticket.to_string().into()))
    }

    async fn execute<Chain>(self, ticket: &TicketId, state: State, chain: Chain) -> HandlerResult
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        let now = self.daemon.clock.now();
        let verified = self.daemon.tickets.lock().verify(ticket, now);
        let expiry = match verified {
            Ok(expiry) => expiry,
            Err(error) => return Ok((state, ticket_refusal(&error).to_response())),
        };
        let deadline = state.borrow::<CallState>().0.deadline;
        let left = deadline.saturating_duration_since(now);
        let records = &self.daemon.ticket_runs;
        let entry = records.begin(ticket.number, fingerprint(&state), expiry);
        let is_first = matches!(entry, RunEntry::Run(..));
        let allowance = state.borrow::<CallState>().0.allowance;
        let (state, mut response) =
            recorded_run::execute(entry, left, POLICY, state, chain).await?;
        if !is_first {
            // The run spends the allowance of the first request with the ticket.
            request_headers::insert(response.headers_mut(), header_names::UNUSED, allowance);
        }
        Ok((state, response))
    }
}

/// Creates the issuer of a daemon under a random incarnation and key.
pub fn new_issuer(data_centre: SmolStr, instance: SmolStr, now: Instant) -> TicketIssuer {
    TicketIssuer::new(data_centre, instance, rand::random(), rand::random(), now)
}

fn ticket_refusal(error: &TicketError) -> RefusalError {
    match error {
        TicketError::Incarnation => RefusalError::ExecutorRestarted,
        TicketError::Mac => RefusalError::TicketInvalid,
        TicketError::Expired => RefusalError::TicketExpired,
    }
}

/// Hash of the method and the path, so that a ticket does not return the response to another
/// request.
fn fingerprint(state: &State) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(state.borrow::<Method>().as_str().as_bytes());
    hash.update(b" ");
    let path = state.borrow::<Uri>().path_and_query();
    hash.update(path.map_or("/", |path| path.as_str()).as_bytes());
    hash.digest()
}
