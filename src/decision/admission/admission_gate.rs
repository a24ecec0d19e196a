//! Gate in front of the own backend server.

use crate::{
    common::*,
    decision::{profile::service_profile::AdmissionLimits, request_priority::RequestPriority},
};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a request that waits at the gate or runs behind it.
    pub struct GateKey;
}

/// Request that asks for a slot of the backend server.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Priority of the root request.
    pub priority: RequestPriority,
    /// Instant after which the answer is worthless.
    pub deadline: Instant,
    /// Entry instant of the root request.
    pub entered: Instant,
    /// Whether the root request starts here, so that no work has been spent on it yet.
    pub is_entry: bool,
    /// Service that sent the call; empty for outside callers.
    pub caller_service: SmolStr,
}

/// Why the gate refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShedReason {
    /// The deadline is past or cannot be met.
    Deadline,
    /// The queue is full of requests of higher priority.
    QueueFull,
    /// The request waited too long for a slot.
    QueueWait,
    /// The priority is below the admission threshold.
    Threshold,
}

impl ShedReason {
    /// Returns the value of the `skylark-reason` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::QueueWait => "queue-wait",
            Self::Threshold => "threshold",
        }
    }
}

/// Decision of the gate on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request may start.
    Start(GateKey),
    /// The request is refused and was not run.
    Shed(GateKey, ShedReason),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkResult {
    /// The backend server answered.
    Completed,
    /// The backend server refused the request before running it.
    Refused,
    /// The connection broke or the request was cancelled.
    Aborted,
}

#[derive(Debug)]
struct GateEntry {
    request: GateRequest,
    offered: Instant,
    started: Option<Instant>,
}

/// Admits requests to the backend server in the order of their priority.
///
/// Callers offer requests, report their end and poll; every decision comes out of
/// [`AdmissionGate::poll`], so that one place tells who runs and who is refused.
#[derive(Debug)]
pub struct AdmissionGate {
    limits: AdmissionLimits,
    entries: SlotMap<GateKey, GateEntry>,
    waiting: Vec<GateKey>,
    in_flight: u32,
    decisions: Vec<GateDecision>,
}

impl AdmissionGate {
    /// Creates a gate with the bounds of a profile.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            waiting: Vec::new(),
            in_flight: 0,
            decisions: Vec::new(),
        }
    }

    /// Puts new bounds in force; requests that run or wait are kept.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Offers a request; its decision comes out of a later [`AdmissionGate::poll`].
    pub fn offer(&mut self, request: GateRequest, now: Instant) -> GateKey {
        let key = self.entries.insert(GateEntry {
            request,
            offered: now,
            started: None,
        });
        self.waiting.push(key);
        key
    }

    /// Reports the end of a started request, or withdraws a waiting one.
    pub fn finish(&mut self, key: GateKey, _result: WorkResult, _now: Instant) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if entry.started.is_some() {
            self.in_flight -= 1;
        } else {
            self.waiting.retain(|waiting| *waiting != key);
        }
    }

    /// Returns the decisions due now.
    pub fn poll(&mut self, now: Instant) -> Vec<GateDecision> {
        self.shed_expired(now);
        self.waiting
            .sort_by_key(|key| Self::order(&self.entries[*key].request));
        while self.in_flight < self.limits.initial_concurrency && !self.waiting.is_empty() {
            let key = self.waiting.remove(0);
            self.entries[key].started = Some(now);
            self.in_flight += 1;
            self.decisions.push(GateDecision::Start(key));
        }
        while self.waiting.len() > self.limits.queue_length as usize {
            if let Some(key) = self.waiting.pop() {
                self.shed(key, ShedReason::QueueFull);
            }
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns the lowest priority that is admitted now.
    pub fn threshold(&self) -> RequestPriority {
        RequestPriority::LOWEST
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the concurrency limit in force.
    pub fn limit(&self) -> u32 {
        self.limits.initial_concurrency
    }

    fn order(request: &GateRequest) -> (RequestPriority, Instant) {
        (request.priority, request.entered)
    }

    fn shed_expired(&mut self, now: Instant) {
        let wait = Duration::from_millis(self.limits.queue_wait_ms.into());
        let expired: Vec<_> = self
            .waiting
            .iter()
            .filter_map(|key| {
                let entry = &self.entries[*key];
                if entry.request.deadline <= now {
                    Some((*key, ShedReason::Deadline))
                } else if entry.offered + wait < now {
                    Some((*key, ShedReason::QueueWait))
                } else {
                    None
                }
            })
            .collect();
        for (key, reason) in expired {
            self.waiting.retain(|waiting| *waiting != key);
            self.shed(key, reason);
        }
    }

    fn shed(&mut self, key: GateKey, reason: ShedReason) {
        self.entries.remove(key);
        self.decisions.push(GateDecision::Shed(key, reason));
    }
}
