//! Last filter: waits for a slot of the own backend server.

use crate::{
    common::*,
    controller::gate_controller::GatePermit,
    decision::admission::admission_gate::GateRequest,
    filter::{identify_filter::CallState, refusal::RefusalError},
    shell::daemon::DaemonState,
};
use futures_util::FutureExt;
use gotham::{
    handler::HandlerFuture,
    middleware::{Middleware, NewMiddleware},
    state::{State, StateData},
};
use std::pin::Pin;

/// Slot of the request in the gotham state.
#[derive(StateData)]
pub struct PermitState(pub GatePermit);

/// Admits requests by priority.
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
            let context = &state.borrow::<CallState>().0;
            let request = GateRequest {
                priority: context.priority,
                deadline: context.deadline,
                entered: context.entered,
                is_entry: context.is_entry,
                caller_service: context.caller_service.clone(),
            };
            match self.daemon.gate.admit(request).await {
                Ok(permit) => {
                    state.put(PermitState(permit));
                    chain(state).await
                }
                Err(reason) => Ok((state, RefusalError::Shed(reason).to_response())),
            }
        }
        .boxed()
    }
}
