//! Admission control in front of the backend server of this daemon.

use crate::{
    common::*,
    decision::{
        admission::{
            admission_queue::AdmissionQueue,
            admission_threshold::AdmissionThreshold,
            concurrency_limit::{ConcurrencyLimit, StartSnapshot},
            fair_share::FairShare,
            service_time::ServiceTime,
        },
        profile::{profile_limits::ShedOrder, service_profile::AdmissionLimits},
        request_priority::RequestPriority,
    },
};
use slotmap::{SlotMap, new_key_type};

/// Longest gap between two polls that does not count as a pause of the process.
const MAX_POLL_GAP: Duration = Duration::from_secs(1);

/// Divisor of the mean service time that gives a lower bound on the max wait. With 2, wasted work
/// exceeded 5% in the slow_deep_service scenario.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Divisor of the concurrency limit that gives the slots in which impatient requests go before planned
/// calls. The calls of admitted requests keep the other ones.
const IMPATIENT_DIVISOR: u32 = 6;

new_key_type! {
    /// Key of a request that waits for a slot or runs.
    pub struct GateKey;
}

/// Request for a slot of the backend server.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Priority of the root request.
    pub priority: RequestPriority,
    /// Instant after which the caller no longer needs the response.
    pub deadline: Instant,
    /// Arrival of the root request at its entry.
    pub entered: Instant,
    /// Whether this daemon is the entry, so that no work has been spent on the root request yet.
    pub is_entry: bool,
    /// Service that sent the call; empty if this daemon is the entry.
    pub caller_service: SmolStr,
    /// Whether the request is a call of a root request that an admission plan has admitted. Only
    /// its deadline ends its wait: refusing it would waste the work on the root request.
    pub is_planned_call: bool,
    /// Whether the request is refused after a short wait. Such requests go before planned calls, which can
    /// wait for longer, as long as they use few slots.
    pub is_impatient: bool,
    /// Expected service time, if known; otherwise the mean of all requests is used.
    pub expected_time: Option<Duration>,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShedReason {
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The queue is full, and the request is the next one to be shed.
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

/// Admission decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request may start.
    Start(GateKey),
    /// The request is refused and was not run.
    Shed(GateKey, ShedReason),
}

/// Result of a started request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkResult {
    /// The backend server responded.
    Completed,
    /// The backend server refused the request before running it.
    Refused,
    /// The connection broke or the request was cancelled.
    Aborted,
}

#[derive(Debug, Default)]
struct GateEntry {
    is_impatient: bool,
    started: Option<(StartSnapshot, Instant)>,
}

/// Admits requests to the backend server in the order of their priority.
///
/// The user of the gate offers requests, reports their results and polls. All decisions are
/// returned by [`AdmissionGate::poll`], so that each request gets exactly one decision, in a
/// defined order.
#[derive(Debug)]
pub struct AdmissionGate {
    limits: AdmissionLimits,
    entries: SlotMap<GateKey, GateEntry>,
    queue: AdmissionQueue,
    limit: ConcurrencyLimit,
    fair_share: FairShare,
    threshold: AdmissionThreshold,
    service_time: ServiceTime,
    in_flight: u32,
    /// Impatient requests among those in flight.
    impatient: u32,
    last_poll: Option<Instant>,
    decisions: Vec<GateDecision>,
}

impl AdmissionGate {
    /// Creates a gate with the limits of a profile.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limit: ConcurrencyLimit::new(&limits),
            limits,
            entries: SlotMap::with_key(),
            queue: AdmissionQueue::default(),
            fair_share: FairShare::default(),
            threshold: AdmissionThreshold::default(),
            service_time: ServiceTime::default(),
            in_flight: 0,
            impatient: 0,
            last_poll: None,
            decisions: Vec::new(),
        }
    }

    /// Puts new limits in force; running and waiting requests are kept.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limit.set_bounds(&limits);
        self.limits = limits;
    }

    /// Sets the order in which requests of one class are shed.
    pub fn set_shed_order(&mut self, order: ShedOrder) {
        self.queue.set_shed_order(order);
    }

    /// Offers a request; a later [`AdmissionGate::poll`] returns the decision on it.
    pub fn offer(&mut self, request: GateRequest, now: Instant) -> GateKey {
        let key = self.entries.insert(GateEntry {
            is_impatient: request.is_impatient,
            started: None,
        });
        let threshold = self.threshold_for(&request.caller_service, now);
        if request.is_planned_call || request.priority <= threshold {
            self.queue.push(key, request, now);
        } else {
            self.shed(key, ShedReason::Threshold);
        }
        key
    }

    /// Reports the result of a started request, or withdraws a waiting one.
    pub fn finish(&mut self, key: GateKey, result: WorkResult, now: Instant) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let Some((snapshot, started)) = entry.started else {
            self.queue.remove(key);
            return;
        };
        self.in_flight -= 1;
        self.impatient -= u32::from(entry.is_impatient);
        self.limit.record_result(snapshot, result, now);
        if result == WorkResult::Completed {
            self.service_time.record(now - started, now);
        }
    }

    /// Returns the decisions that are due.
    pub fn poll(&mut self, now: Instant) -> Vec<GateDecision> {
        self.reset_after_pause(now);
        self.shed_unmeetable(now);
        while self.in_flight < self.limit.current() {
            let has_room = self.impatient < self.limit.current() / IMPATIENT_DIVISOR;
            let Some((key, request)) = self.queue.take_next(&self.fair_share, has_room, now) else {
                break;
            };
            self.start(key, &request, now);
        }
        self.shed_overload(now);
        if self.queue.is_empty() {
            self.threshold.relax(now);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns the lowest priority that is admitted now.
    pub fn threshold(&self) -> RequestPriority {
        self.threshold.priority()
    }

    /// Returns the lowest priority that is admitted now from one calling service.
    ///
    /// A caller that uses clearly less than its fair share is not shed by rank within a class,
    /// since the demand of other callers has caused the threshold.
    pub fn threshold_for(&self, caller: &str, now: Instant) -> RequestPriority {
        let threshold = self.threshold.priority();
        if threshold.rank < u16::MAX && self.fair_share.is_below_share(caller, now) {
            return RequestPriority {
                retry: true,
                rank: u16::MAX,
                ..threshold
            };
        }
        threshold
    }

    /// Returns the mean service time, or zero if there is no recent measurement.
    pub fn service_time(&self, now: Instant) -> Duration {
        self.service_time.mean(now).unwrap_or_default()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of nested calls that wait for a slot.
    pub fn queued_calls(&self) -> usize {
        self.queue.call_count()
    }

    /// Returns the concurrency limit in force.
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    fn start(&mut self, key: GateKey, request: &GateRequest, now: Instant) {
        self.in_flight += 1;
        self.impatient += u32::from(request.is_impatient);
        self.fair_share.record_start(&request.caller_service, now);
        let snapshot = self.limit.record_start(self.in_flight, now);
        self.entries[key].started = Some((snapshot, now));
        self.decisions.push(GateDecision::Start(key));
    }

    /// Drops all measurements if the process was paused, since the pause has distorted them.
    fn reset_after_pause(&mut self, now: Instant) {
        if self.last_poll.is_some_and(|last| now > last + MAX_POLL_GAP) {
            self.limit.reset_samples();
            self.service_time.reset();
            self.threshold.reset();
        }
        self.last_poll = Some(now);
    }

    fn shed_unmeetable(&mut self, now: Instant) {
        let service_time = self.service_time.mean(now).unwrap_or_default();
        for key in self.queue.take_unmeetable(service_time, now) {
            self.shed(key, ShedReason::Deadline);
        }
    }

    fn shed_overload(&mut self, now: Instant) {
        let cutoff = self.queue.cutoff();
        // With long service times, slots become free so rarely that even requests of the most
        // important class would exceed a short fixed wait.
        let service_time = self.service_time.mean(now).unwrap_or_default();
        let configured_wait = Duration::from_millis(self.limits.queue_wait_ms.into());
        let max_wait = configured_wait.max(service_time / MAX_WAIT_DIVISOR);
        let decisions_before = self.decisions.len();
        for key in self.queue.take_timed_out(max_wait, now) {
            self.shed(key, ShedReason::QueueWait);
        }
        while self.queue.sheddable_count() > self.limits.queue_length as usize {
            let Some(key) = self.queue.take_least_important() else {
                break;
            };
            self.shed(key, ShedReason::QueueFull);
        }
        if let Some(cutoff) = cutoff.filter(|_| self.decisions.len() > decisions_before) {
            self.threshold.tighten(cutoff, now);
            self.shed_below_threshold(now);
        }
    }

    /// Refuses the waiting requests that would no longer be admitted. If they stayed in the queue,
    /// they would exceed the max wait one by one, and each of them would tighten the threshold
    /// further than the demand requires.
    fn shed_below_threshold(&mut self, now: Instant) {
        let mut queue = std::mem::take(&mut self.queue);
        let not_admitted = queue.take_not_admitted(|request| {
            request.is_planned_call
                || request.priority <= self.threshold_for(&request.caller_service, now)
        });
        self.queue = queue;
        for key in not_admitted {
            self.shed(key, ShedReason::Threshold);
        }
    }

    fn shed(&mut self, key: GateKey, reason: ShedReason) {
        self.entries.remove(key);
        self.decisions.push(GateDecision::Shed(key, reason));
    }
}
