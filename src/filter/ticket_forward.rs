//! Sends a request with a ticket to its executor.

use crate::{
    common::*,
    decision::{once::ticket_id::TicketId, run_outcome::RunOutcome},
    filter::{
        identify_filter::CallState, outgoing_call::CallBody, peer_attempt::PeerAttempt,
        refusal::RefusalError, request_headers, request_marks::RequestMarks,
        upstream_slot::UpstreamSlot,
    },
    shell::{daemon::DaemonState, header_names},
};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Response, Uri, uri::PathAndQuery};

/// Forwards a request to the instance that its ticket names. The address comes from the list of
/// instances of the own service.
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
) -> Result<Response<Body>, RefusalError> {
    let service = &daemon.settings.service;
    let context = state.borrow::<CallState>().0.clone();
    let text = state.borrow::<RequestMarks>().ticket.clone();
    let mut body = CallBody::read(Body::take_from(state))
        .await
        .map_err(|error| error.for_repeat(true))?;
    let mut headers = HeaderMap::take_from(state);
    request_headers::strip_hop_by_hop(&mut headers);
    let path = Uri::borrow_from(state).path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut allowance = context.allowance;
    let end = loop {
        let (key, info) = daemon
            .upstreams
            .choose_named(service, &ticket.data_centre, &ticket.instance)
            .ok_or(RefusalError::ExecutorAway)?;
        let slot = UpstreamSlot::new(daemon, service, key);
        let attempt = PeerAttempt {
            daemon,
            service,
            info: &info,
            context: &context,
            slice: allowance,
            progress: daemon.progress_time(service),
            method: Method::borrow_from(state),
            path: &path,
            headers: &headers,
            ticket: text.as_deref(),
        };
        let end = attempt.send(slot, body.next_body()).await;
        if !end.is_cancelled {
            break end;
        }
        // The executor cancelled this attempt; an earlier one with the ticket may have run.
        if allowance == 0 || !body.is_repeatable() {
            return Err(RefusalError::Cancelled.for_repeat(true));
        }
        allowance -= 1;
    };
    let mut response = match end.response {
        Ok(response) => response,
        // An earlier request with the ticket may have run at the executor.
        Err(error) if error.outcome() == RunOutcome::NotRun => {
            return Err(RefusalError::ExecutorAway);
        }
        Err(error) => return Err(error),
    };
    if !context.is_entry {
        // A larger figure comes from a faulty peer.
        let unused = if end.unused <= allowance {
            end.unused
        } else {
            0
        };
        request_headers::insert(response.headers_mut(), header_names::UNUSED, unused);
    }
    Ok(response)
}
