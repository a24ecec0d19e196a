//! Runs a request under a record and collects its response.

use crate::{
    common::*,
    controller::run_records::{RunEntry, RunGuard, RunKey, RunWaiter},
    decision::{
        once::{
            recorded_response::RecordedResponse,
            run_record_table::{RecordDecision, RecordedResult},
        },
        run_outcome::RunOutcome,
    },
    filter::{refusal::RefusalError, request_headers},
};
use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, StreamExt};
use gotham::{
    handler::{HandlerFuture, HandlerResult},
    helpers::http::Body,
    state::State,
};
use http::Response;
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use std::pin::Pin;

/// Largest response body that is collected, in bytes.
pub const MAX_COLLECTED_BODY: usize = 64 * 1024;

/// What a record does with the responses of its runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunPolicy {
    /// Whether a request that was not run gives its key free.
    pub is_released_when_not_run: bool,
    /// Whether bodies of unknown length are collected, too.
    pub collects_unknown_length: bool,
}

/// Body after the attempt to collect it.
pub enum CollectedBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is too long to collect.
    Long(Body),
    /// A body that ended early.
    Cut,
}

/// Executes the decision of a record on a request.
pub async fn execute<K, Chain>(
    entry: RunEntry<K>,
    deadline: Duration,
    policy: RunPolicy,
    state: State,
    chain: Chain,
) -> HandlerResult
where
    K: RunKey,
    Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
{
    match entry {
        RunEntry::Run(guard, waiter) => run(guard, &waiter, policy, state, chain).await,
        entry => Ok((state, await_end(entry, deadline).await)),
    }
}

/// Waits for the end of a run that another request started.
pub async fn await_end<K: RunKey>(entry: RunEntry<K>, deadline: Duration) -> Response<Body> {
    let end = match entry {
        RunEntry::Wait(mut waiter) => match tokio::time::timeout(deadline, waiter.end()).await {
            Ok(end) => Ok(end),
            Err(_) => Err(RefusalError::DeadlineAfter),
        },
        RunEntry::Decided(decision) => match decision {
            RecordDecision::Finished(end) => Ok(end),
            RecordDecision::Cancelled => Err(RefusalError::Cancelled),
            RecordDecision::Mismatch => Err(RefusalError::TicketMismatch),
            RecordDecision::Full => Err(RefusalError::RecordFull),
            RecordDecision::Run | RecordDecision::Wait => Ok(RecordedResult::Unknown),
        },
        RunEntry::Run(..) => Ok(RecordedResult::Unknown),
    };
    match end {
        Ok(RecordedResult::Kept(response)) => replay(&response),
        Ok(RecordedResult::NotKept) => RefusalError::ResponseNotKept.to_response(),
        Ok(RecordedResult::Unknown) => RefusalError::Broken.to_response(),
        Err(error) => error.to_response(),
    }
}

/// Runs the chain in a task of its own, so that it can outlive the connection of the request.
async fn run<K, Chain>(
    guard: RunGuard<K>,
    waiter: &RunWaiter<K>,
    policy: RunPolicy,
    state: State,
    chain: Chain,
) -> HandlerResult
where
    K: RunKey,
    Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
{
    let task = tokio::spawn(async move {
        let (state, response) = chain(state).await?;
        Ok((state, record(guard, policy, response).await))
    });
    waiter.set_abort(task.abort_handle());
    match task.await {
        Ok(result) => result,
        Err(error) => match error.try_into_panic() {
            Ok(panic) => std::panic::resume_unwind(panic),
            // The task is cancelled only after the last waiter, hence this future, is dropped.
            Err(error) => std::panic::resume_unwind(Box::new(error.to_string())),
        },
    }
}

async fn record<K: RunKey>(
    guard: RunGuard<K>,
    policy: RunPolicy,
    response: Response<Body>,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let collected = if is_short(&body) || policy.collects_unknown_length {
        collect(body).await
    } else {
        CollectedBody::Long(body)
    };
    let body = match collected {
        CollectedBody::Whole(body) => body,
        CollectedBody::Long(body) => {
            guard.finish(RecordedResult::NotKept);
            return Response::from_parts(parts, body);
        }
        CollectedBody::Cut => return RefusalError::Broken.to_response(),
    };
    // The head may have announced chunks; the collected body has a length.
    parts.headers.remove(http::header::TRANSFER_ENCODING);
    let kept = Arc::new(RecordedResponse {
        status: parts.status,
        headers: parts.headers.clone(),
        body: body.clone(),
    });
    let outcome = request_headers::outcome(&parts.headers);
    if outcome == RunOutcome::NotRun && policy.is_released_when_not_run {
        guard.release(RecordedResult::Kept(kept));
    } else {
        guard.finish(RecordedResult::Kept(kept));
    }
    Response::from_parts(parts, full(body))
}

/// Returns whether a body is known to be short enough to be collected.
pub fn is_short(body: &Body) -> bool {
    let length = body.size_hint().exact();
    length.is_some_and(|length| length <= MAX_COLLECTED_BODY as u64)
}

/// Collects a body up to [`MAX_COLLECTED_BODY`].
pub async fn collect(mut body: Body) -> CollectedBody {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CollectedBody::Cut;
        };
        // Trailers are dropped: no part of the protocol uses them.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        bytes.extend_from_slice(&data);
        if bytes.len() > MAX_COLLECTED_BODY {
            let prefix = stream::iter([Ok(Frame::data(bytes.freeze()))]);
            let stream = prefix.chain(BodyStream::new(body));
            return CollectedBody::Long(Body::new(StreamBody::new(stream)));
        }
    }
    CollectedBody::Whole(bytes.freeze())
}

/// Builds a body from bytes.
pub fn full(bytes: Bytes) -> Body {
    Body::new(Full::new(bytes).map_err(|never| match never {}))
}

/// Builds a response from its record.
fn replay(recorded: &RecordedResponse) -> Response<Body> {
    let mut response = Response::new(full(recorded.body.clone()));
    *response.status_mut() = recorded.status;
    *response.headers_mut() = recorded.headers.clone();
    response
}
