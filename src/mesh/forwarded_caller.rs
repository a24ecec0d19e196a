//! Callers of requests that entered at a daemon of a build without organisations.

use crate::{
    common::*,
    decision::mesh::route_table::RouteTable,
    http1::message_head::RequestHead,
    mesh::{
        caller_response::{CallerResponse, LocalReason},
        context_headers::ContextHeaders,
        forwarded_head,
        peer_frame::{CallFrame, RunResponse, RunResult},
        resolved_request::ResolvedRequest,
    },
};
use bytes::BytesMut;

/// Checks the key in a request that its entry passed on, and replaces it by the organisation. Returns
/// the response for a caller that is not identified.
pub fn identify(
    call: &mut CallFrame,
    routes: Option<&Arc<RouteTable>>,
    headers: &ContextHeaders,
) -> Result<(), RunResult> {
    let Some(routes) = routes.filter(|routes| routes.organisations().is_some()) else {
        return Ok(());
    };
    if call.caller.is_identified {
        return Ok(());
    }
    let mut text = BytesMut::from(call.head.as_ref());
    text.extend_from_slice(b"\r\n");
    let Ok(Some(head)) = RequestHead::parse(&mut text, usize::MAX) else {
        return Err(refusal(LocalReason::Malformed, call, headers));
    };
    let resolved = ResolvedRequest::new(Arc::clone(routes), &head, headers);
    let organisation = match resolved.as_ref().map(ResolvedRequest::identity) {
        Some(Ok(organisation)) => organisation,
        Some(Err(reason)) => return Err(refusal(reason, call, headers)),
        None => None,
    };
    let added = organisation.map(|organisation| (headers.organisation, organisation.name.as_str()));
    call.head = forwarded_head::encode(&head, &[headers.api_key, headers.organisation], added);
    Ok(())
}

/// Returns a refusal as a response, which entries of earlier builds pass on.
fn refusal(reason: LocalReason, call: &CallFrame, headers: &ContextHeaders) -> RunResult {
    let response = CallerResponse::local(reason, None, &call.attempt_id, headers);
    RunResult::Response(RunResponse {
        status: response.status,
        head: response.header_lines,
        body: response.body,
    })
}
