//! Last filter of the inbound chain: waits for a slot of the backend server.

use crate::{
    common::*,
    controller::gate_controller::GatePermit,
    decision::admission::admission_gate::{GateRequest, ShedReason},
    filter::{context_filter::ContextState, request_error::RequestError, request_headers},
    shell::{daemon::DaemonState, header_names},
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::{State, StateData},
};
use std::pin::Pin;

/// Slot of the backend server that the request uses, stored in the gotham state.
#[derive(StateData)]
pub struct PermitState(pub GatePermit);

/// Admits requests by priority and adds the admission thresholds to responses.
#[derive(Clone, NewMiddleware)]
pub struct AdmissionFilter {
    /// State of the daemon.
    pub daemon: Arc<DaemonState>,
}

impl Middleware for AdmissionFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        async move {
            let context = &state.borrow::<ContextState>().0;
            let request = GateRequest {
                priority: context.priority,
                deadline: context.deadline,
                entered: context.entered,
                is_entry: context.is_entry,
                caller_service: context.caller_service.clone(),
                is_planned_call: false,
                is_impatient: false,
                expected_time: None,
            };
            let priority = request.priority;
            let caller = request.caller_service.clone();
            let is_admitted_downstream = self
                .daemon
                .thresholds
                .admits(request.priority, self.daemon.clock.now());
            let admission = if is_admitted_downstream {
                self.daemon.gate.admit(request).await
            } else {
                Err(ShedReason::Threshold)
            };
            let (state, mut response) = match admission {
                Ok(permit) => {
                    state.put(PermitState(permit));
                    chain(state).await?
                }
                Err(reason) => {
                    let retry_after = self.daemon.retry_after();
                    let error = RequestError::Shed(reason);
                    (state, error.to_response_for(priority, &retry_after))
                }
            };
            let threshold = self.daemon.gate.threshold_for(&caller);
            let header = self.daemon.thresholds.header(
                &self.daemon.settings.service,
                threshold,
                self.daemon.clock.now(),
            );
            request_headers::insert(response.headers_mut(), header_names::THRESHOLD, header);
            Ok((state, response))
        }
        .boxed()
    }
}
