//! Admission of requests to the backend server.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::{
            AdmissionGate, GateDecision, GateKey, GateRequest, ShedReason, WorkResult,
        },
        clock::Clock,
        profile::service_profile::{AdmissionLimits, ServiceProfile},
        request_priority::RequestPriority,
    },
};
use tokio::sync::oneshot;

type AdmissionResult = Result<(), ShedReason>;

#[derive(Debug)]
struct GateState {
    gate: AdmissionGate,
    waiters: IndexMap<GateKey, oneshot::Sender<AdmissionResult>>,
}

/// Admission gate of the daemon; lets requests wait for its decisions.
pub struct GateController {
    state: Mutex<GateState>,
    clock: Arc<dyn Clock>,
}

/// Slot of the backend server. Dropping it releases the slot and records the request as aborted.
pub struct GatePermit {
    controller: Arc<GateController>,
    key: Option<GateKey>,
}

impl GateController {
    /// Creates a controller with an empty gate.
    pub fn new(limits: AdmissionLimits, clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::new(GateState {
                gate: AdmissionGate::new(limits),
                waiters: IndexMap::new(),
            }),
            clock,
        }
    }

    /// Waits for a slot or a refusal. Dropping the future removes the request from the gate.
    pub async fn admit(self: &Arc<Self>, request: GateRequest) -> Result<GatePermit, ShedReason> {
        let (sender, receiver) = oneshot::channel();
        let key = {
            let mut state = self.state.lock();
            let now = self.clock.now();
            let key = state.gate.offer(request, now);
            state.waiters.insert(key, sender);
            state.dispatch(now);
            key
        };
        let mut permit = GatePermit {
            controller: Arc::clone(self),
            key: Some(key),
        };
        match receiver.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(reason)) => {
                permit.key = None;
                Err(reason)
            }
            Err(_) => Err(ShedReason::QueueFull),
        }
    }

    /// Applies the decisions that are due to the passing of time, such as queue timeouts.
    pub fn tick(&self) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.dispatch(now);
    }

    /// Applies the admission limits and the shed order of a profile.
    pub fn set_profile(&self, profile: &ServiceProfile) {
        let mut state = self.state.lock();
        state.gate.set_limits(profile.admission.clone());
        state.gate.set_shed_order(profile.shedding.within_class);
    }

    /// Applies new admission limits.
    pub fn set_limits(&self, limits: AdmissionLimits) {
        self.state.lock().gate.set_limits(limits);
        self.tick();
    }

    /// Returns the mean service time of requests; zero without a measurement.
    pub fn service_time(&self) -> Duration {
        let now = self.clock.now();
        self.state.lock().gate.service_time(now)
    }

    /// Returns the lowest priority that is currently admitted.
    pub fn threshold(&self) -> RequestPriority {
        self.state.lock().gate.threshold()
    }

    /// Returns the lowest priority that is currently admitted from one calling service.
    pub fn threshold_for(&self, caller: &str) -> RequestPriority {
        let now = self.clock.now();
        self.state.lock().gate.threshold_for(caller, now)
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> GateLoad {
        let state = self.state.lock();
        GateLoad {
            in_flight: state.gate.in_flight(),
            queued: state.gate.queued(),
            queued_calls: state.gate.queued_calls(),
            limit: state.gate.limit(),
        }
    }

    fn finish(&self, key: GateKey, result: WorkResult) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.waiters.swap_remove(&key);
        state.gate.finish(key, result, now);
        state.dispatch(now);
    }
}

/// Load of the backend server.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct GateLoad {
    /// Requests that the backend server works on.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Nested calls among them.
    pub queued_calls: usize,
    /// Concurrency limit in force.
    pub limit: u32,
}

impl GateState {
    fn dispatch(&mut self, now: Instant) {
        for decision in self.gate.poll(now) {
            let (key, result) = match decision {
                GateDecision::Start(key) => (key, Ok(())),
                GateDecision::Shed(key, reason) => (key, Err(reason)),
            };
            if let Some(waiter) = self.waiters.swap_remove(&key) {
                let _ = waiter.send(result);
            }
        }
    }
}

impl GatePermit {
    /// Releases the slot and records the result of the request.
    pub fn finish(mut self, result: WorkResult) {
        if let Some(key) = self.key.take() {
            self.controller.finish(key, result);
        }
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.controller.finish(key, WorkResult::Aborted);
        }
    }
}
