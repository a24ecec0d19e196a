//! Requests of an emulated fleet.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::{GateKey, GateRequest},
        mesh::{call_counts::RunKey, instance_selector::InstanceKey},
        request_priority::RequestPriority,
    },
    emulator::fleet_spec::RouteLoad,
    mesh::peer_frame::NESTED_CLASS,
};
use slotmap::new_key_type;

new_key_type! {
    /// Key of a request of an emulated fleet.
    pub struct RequestKey;
}

/// Part of the latency target that a root request waits for a slot at most.
const MAX_WAIT_TARGET_SHARE: f64 = 0.25;

/// Request of a caller or call of a run.
#[derive(Debug)]
pub struct EmulatedRequest {
    /// Index of the route.
    pub route: usize,
    /// Daemon at which the request entered.
    pub entry: usize,
    /// Time at which the request entered.
    pub entered: Instant,
    /// Time after which the response is of no use.
    pub deadline: Instant,
    /// Request whose run makes this call.
    pub parent: Option<RequestKey>,
    /// Hash by which the entry recognises a returning request.
    pub fingerprint: u64,
    /// Whether the caller sends a refused request again.
    pub is_return: bool,
    /// Addresses of the backend servers that were tried.
    pub tried: Vec<SocketAddr>,
    /// Attempt in progress.
    pub attempt: Option<EmulatedAttempt>,
    /// Routes that the run still has to call, the next one last.
    pub calls_left: Vec<usize>,
}

/// Attempt of a request at an instance.
#[derive(Clone, Copy, Debug)]
pub struct EmulatedAttempt {
    /// Index of the daemon beside the instance.
    pub daemon: usize,
    /// Key of the instance at the entry.
    pub instance: InstanceKey,
    /// Key at the gate of the instance.
    pub gate_key: GateKey,
    /// Run at the backend server with its start, once it has a slot.
    pub run: Option<(RunKey, Instant)>,
}

impl EmulatedRequest {
    /// Returns the request for a slot at a gate.
    pub fn gate_request(
        &self,
        load: &RouteLoad,
        expected_time: Option<Duration>,
        now: Instant,
    ) -> GateRequest {
        let is_nested = self.parent.is_some();
        let max_wait = load.latency_target.mul_f64(MAX_WAIT_TARGET_SHARE);
        let root_deadline = now + max_wait + expected_time.unwrap_or(load.work);
        GateRequest {
            priority: RequestPriority {
                class: if is_nested {
                    NESTED_CLASS
                } else {
                    NESTED_CLASS + 1 + load.priority
                },
                retry: false,
                rank: (self.fingerprint >> 48) as u16,
            },
            deadline: if is_nested {
                self.deadline
            } else {
                self.deadline.min(root_deadline)
            },
            entered: self.entered,
            is_entry: !is_nested,
            caller_service: SmolStr::default(),
            is_planned_call: is_nested,
            is_impatient: !is_nested,
            expected_time,
        }
    }
}
