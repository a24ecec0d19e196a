//! Runs a request that is recorded and stores its response.

use crate::{
    common::*,
    controller::run_records::{RunAction, RunGuard, RunKey, RunWaiter},
    decision::{
        once::{
            recorded_response::RecordedResponse,
            run_record_table::{RecordDecision, RecordedResult},
        },
        run_outcome::RunOutcome,
    },
    filter::{request_error::RequestError, request_headers},
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

/// Maximum length of bodies that are collected in memory, in bytes.
pub const MAX_COLLECTED_BODY: usize = 64 * 1024;

/// How the responses of recorded runs are handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunPolicy {
    /// Whether the key of a request that was not run can be used again.
    pub is_released_when_not_run: bool,
    /// Whether bodies of unknown length are collected as well.
    pub collects_unknown_length: bool,
}

/// Result of collecting a body.
pub enum CollectedBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is too long to collect, as a stream from its start.
    Long(Body),
    /// A body that ended early.
    Truncated,
}

/// Runs a request or waits for its earlier run, as `action` requires.
pub async fn execute<K, Chain>(
    action: RunAction<K>,
    max_wait: Duration,
    policy: RunPolicy,
    state: State,
    chain: Chain,
) -> HandlerResult
where
    K: RunKey,
    Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
{
    match action {
        RunAction::Run(guard, waiter) => run(guard, &waiter, policy, state, chain).await,
        action => Ok((state, await_result(action, max_wait).await)),
    }
}

/// Waits for the result of a run that another request started and returns its response.
pub async fn await_result<K: RunKey>(action: RunAction<K>, max_wait: Duration) -> Response<Body> {
    let result = match action {
        RunAction::Wait(mut run) => match tokio::time::timeout(max_wait, run.result()).await {
            Ok(result) => Ok(result),
            Err(_) => Err(RequestError::DeadlineAfter),
        },
        RunAction::Decided(decision) => match decision {
            RecordDecision::Finished(result) => Ok(result),
            RecordDecision::Cancelled => Err(RequestError::Cancelled),
            RecordDecision::Mismatch => Err(RequestError::TicketMismatch),
            RecordDecision::Full => Err(RequestError::RecordFull),
            RecordDecision::Run | RecordDecision::Wait => Ok(RecordedResult::Unknown),
        },
        RunAction::Run(..) => Ok(RecordedResult::Unknown),
    };
    match result {
        Ok(RecordedResult::Kept(response)) => replay(&response),
        Ok(RecordedResult::NotKept) => RequestError::ResponseNotKept.to_response(),
        Ok(RecordedResult::Unknown) => RequestError::Broken.to_response(),
        Err(error) => error.to_response(),
    }
}

/// Runs the rest of the chain in a separate task, which can outlive the connection of the request.
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
            // The task is cancelled only after the last waiter was dropped. This future has one, so
            // that it was dropped, too.
            Err(error) => std::panic::resume_unwind(Box::new(error.to_string())),
        },
    }
}

/// Records the response of a run and returns it.
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
        CollectedBody::Truncated => return RequestError::Broken.to_response(),
    };
    // The response may have been chunked; the collected body is sent with its length.
    parts.headers.remove(http::header::TRANSFER_ENCODING);
    let recorded = Arc::new(RecordedResponse {
        status: parts.status,
        headers: parts.headers.clone(),
        body: body.clone(),
    });
    let outcome = request_headers::outcome(&parts.headers);
    if outcome == RunOutcome::NotRun && policy.is_released_when_not_run {
        guard.release(RecordedResult::Kept(recorded));
    } else {
        guard.finish(RecordedResult::Kept(recorded));
    }
    Response::from_parts(parts, full_body(body))
}

/// Returns whether the length of a body is known and at most [`MAX_COLLECTED_BODY`].
pub fn is_short(body: &Body) -> bool {
    let length = body.size_hint().exact();
    length.is_some_and(|length| length <= MAX_COLLECTED_BODY as u64)
}

/// Collects a body up to [`MAX_COLLECTED_BODY`].
pub async fn collect(mut body: Body) -> CollectedBody {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CollectedBody::Truncated;
        };
        // Trailers are dropped because the protocol does not use them.
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
pub fn full_body(bytes: Bytes) -> Body {
    Body::new(Full::new(bytes).map_err(|never| match never {}))
}

/// Builds a response from a recorded one.
fn replay(recorded: &RecordedResponse) -> Response<Body> {
    let mut response = Response::new(full_body(recorded.body.clone()));
    *response.status_mut() = recorded.status;
    *response.headers_mut() = recorded.headers.clone();
    response
}
