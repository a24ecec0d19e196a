//! Forwards a request with a ticket to the executor of the ticket.

use crate::{
    common::*,
    decision::{once::ticket_id::TicketId, run_outcome::RunOutcome},
    filter::{
        at_most_once_headers::AtMostOnceHeaders, context_filter::ContextState,
        outgoing_call::CallBody, peer_attempt::PeerAttempt, request_error::RequestError,
        request_headers, upstream_guard::UpstreamGuard,
    },
    shell::{daemon::DaemonState, header_names},
};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Response, Uri, uri::PathAndQuery};

/// Forwards a request to the instance that its ticket names, whose address is looked up among the
/// instances of this daemon's service.
pub async fn forward(
    daemon: &Arc<DaemonState>,
    ticket: &TicketId,
    mut state: State,
) -> HandlerResult {
    let response = forward_to_executor(daemon, ticket, &mut state).await;
    Ok((state, response.unwrap_or_else(|error| error.to_response())))
}

async fn forward_to_executor(
    daemon: &Arc<DaemonState>,
    ticket: &TicketId,
    state: &mut State,
) -> Result<Response<Body>, RequestError> {
    let service = &daemon.settings.service;
    let context = state.borrow::<ContextState>().0.clone();
    let ticket_text = state.borrow::<AtMostOnceHeaders>().ticket.clone();
    let mut body = CallBody::read(Body::take_from(state))
        .await
        .map_err(|error| error.with_unknown_outcome_if(true))?;
    let mut headers = HeaderMap::take_from(state);
    request_headers::strip_hop_by_hop(&mut headers);
    let path = Uri::borrow_from(state).path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut remaining_allowance = context.allowance;
    let result = loop {
        let (key, info) = daemon
            .upstreams
            .choose_named(service, &ticket.data_centre, &ticket.instance)
            .ok_or(RequestError::ExecutorUnreachable)?;
        let guard = UpstreamGuard::new(daemon, service, key);
        let attempt = PeerAttempt {
            daemon,
            service,
            info: &info,
            context: &context,
            allowance: remaining_allowance,
            progress_timeout: daemon.progress_timeout(service),
            method: Method::borrow_from(state),
            path: &path,
            headers: &headers,
            ticket: ticket_text.as_deref(),
        };
        let result = attempt.send(guard, body.next_body()).await;
        if !result.is_cancelled {
            break result;
        }
        // A resume request cancelled this attempt, but an earlier one with the ticket may have run.
        if remaining_allowance == 0 || !body.is_replayable() {
            return Err(RequestError::Cancelled.with_unknown_outcome_if(true));
        }
        remaining_allowance -= 1;
    };
    let mut response = match result.response {
        Ok(response) => response,
        // This request was not run, but an earlier one with the ticket may have run.
        Err(error) if error.outcome() == RunOutcome::NotRun => {
            return Err(RequestError::ExecutorUnreachable);
        }
        Err(error) => return Err(error),
    };
    if !context.is_entry {
        // A larger value can only come from a faulty peer.
        let unused = if result.unused <= remaining_allowance {
            result.unused
        } else {
            0
        };
        request_headers::insert(response.headers_mut(), header_names::UNUSED, unused);
    }
    Ok(response)
}
