//! Gate in front of the own backend server.

use crate::{
    common::*,
    decision::{
        admission::{
            admission_queue::AdmissionQueue,
            admission_threshold::AdmissionThreshold,
            concurrency_limit::{ConcurrencyLimit, StartMark},
            fair_share::FairShare,
            service_time::ServiceTime,
        },
        profile::{profile_limits::ShedOrder, service_profile::AdmissionLimits},
        request_priority::RequestPriority,
    },
};
use slotmap::{SlotMap, new_key_type};

/// Gap between two polls that counts as a pause of the process.
const PAUSE: Duration = Duration::from_secs(1);

/// Part of the measured service time that a request may wait, as a divisor. With 2, wasted work
/// exceeded 5% in the scenario of the slow deep service.
const WAIT_DIVISOR: u32 = 4;

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

#[derive(Debug, Default)]
struct GateEntry {
    started: Option<(StartMark, Instant)>,
}

/// Admits requests to the backend server in the order of their priority.
///
/// Callers offer requests, report their end and poll; every decision comes out of
/// [`AdmissionGate::poll`], so that one place tells who runs and who is refused.
#[derive(Debug)]
pub struct AdmissionGate {
    limits: AdmissionLimits,
    entries: SlotMap<GateKey, GateEntry>,
    queue: AdmissionQueue,
    limit: ConcurrencyLimit,
    share: FairShare,
    threshold: AdmissionThreshold,
    service_time: ServiceTime,
    in_flight: u32,
    last_poll: Option<Instant>,
    decisions: Vec<GateDecision>,
}

impl AdmissionGate {
    /// Creates a gate with the bounds of a profile.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limit: ConcurrencyLimit::new(&limits),
            limits,
            entries: SlotMap::with_key(),
            queue: AdmissionQueue::default(),
            share: FairShare::default(),
            threshold: AdmissionThreshold::default(),
            service_time: ServiceTime::default(),
            in_flight: 0,
            last_poll: None,
            decisions: Vec::new(),
        }
    }

    /// Puts new bounds in force; requests that run or wait are kept.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limit.set_bounds(&limits);
        self.limits = limits;
    }

    /// Puts the order of shedding within a class in force.
    pub fn set_order(&mut self, order: ShedOrder) {
        self.queue.set_order(order);
    }

    /// Offers a request; its decision comes out of a later [`AdmissionGate::poll`].
    pub fn offer(&mut self, request: GateRequest, now: Instant) -> GateKey {
        let key = self.entries.insert(GateEntry::default());
        let threshold = self.threshold_for(&request.caller_service, now);
        if request.priority <= threshold {
            self.queue.push(key, request, now);
        } else {
            self.shed(key, ShedReason::Threshold);
        }
        key
    }

    /// Reports the end of a started request, or withdraws a waiting one.
    pub fn finish(&mut self, key: GateKey, result: WorkResult, now: Instant) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let Some((mark, started)) = entry.started else {
            self.queue.remove(key);
            return;
        };
        self.in_flight -= 1;
        self.limit.on_end(mark, result, now);
        if result == WorkResult::Completed {
            self.service_time.observe(now - started, now);
        }
    }

    /// Returns the decisions due now.
    pub fn poll(&mut self, now: Instant) -> Vec<GateDecision> {
        self.detect_pause(now);
        self.shed_late(now);
        while self.in_flight < self.limit.current() {
            let Some((key, request)) = self.queue.take_next(&self.share, now) else {
                break;
            };
            self.start(key, &request, now);
        }
        self.shed_overload(now);
        if self.queue.is_empty() {
            self.threshold.rise(now);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns the lowest priority that is admitted now.
    pub fn threshold(&self) -> RequestPriority {
        self.threshold.priority()
    }

    /// Returns the lowest priority that is admitted now from one calling service.
    ///
    /// A caller that uses much less than its share is not shed by rank within a class, since the
    /// threshold then stands for the demand of the other callers.
    pub fn threshold_for(&self, caller: &str, now: Instant) -> RequestPriority {
        let threshold = self.threshold.priority();
        if threshold.rank < u16::MAX && self.share.is_below_share(caller, now) {
            return RequestPriority {
                retry: true,
                rank: u16::MAX,
                ..threshold
            };
        }
        threshold
    }

    /// Returns the mean service time; zero without a measurement.
    pub fn service_time(&self, now: Instant) -> Duration {
        self.service_time.mean(now).unwrap_or_default()
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the concurrency limit in force.
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    fn start(&mut self, key: GateKey, request: &GateRequest, now: Instant) {
        self.in_flight += 1;
        self.share.charge(&request.caller_service, now);
        let mark = self.limit.on_start(self.in_flight, now);
        self.entries[key].started = Some((mark, now));
        self.decisions.push(GateDecision::Start(key));
    }

    /// Drops all measurements when the process did not run for a while.
    fn detect_pause(&mut self, now: Instant) {
        if self.last_poll.is_some_and(|last| now > last + PAUSE) {
            self.limit.restart();
            self.service_time.reset();
            self.threshold.reset();
        }
        self.last_poll = Some(now);
    }

    fn shed_late(&mut self, now: Instant) {
        let service_time = self.service_time.mean(now).unwrap_or_default();
        for key in self.queue.take_late(service_time, now) {
            self.shed(key, ShedReason::Deadline);
        }
    }

    fn shed_overload(&mut self, now: Instant) {
        let cut = self.queue.cut();
        // With long service times, slots come free so rarely that even requests of the most
        // important class would exceed a short fixed wait.
        let service_time = self.service_time.mean(now).unwrap_or_default();
        let fixed_wait = Duration::from_millis(self.limits.queue_wait_ms.into());
        let wait = fixed_wait.max(service_time / WAIT_DIVISOR);
        let shed_before = self.decisions.len();
        for key in self.queue.take_overdue(wait, now) {
            self.shed(key, ShedReason::QueueWait);
        }
        while self.queue.len() > self.limits.queue_length as usize {
            if let Some(key) = self.queue.take_least() {
                self.shed(key, ShedReason::QueueFull);
            }
        }
        if let Some(cut) = cut.filter(|_| self.decisions.len() > shed_before) {
            self.threshold.fall_below(cut, now);
            self.shed_below_threshold(now);
        }
    }

    /// Refuses the waiting requests that would no longer be admitted. Left in the queue, they would
    /// become overdue one by one and pull the threshold further down than the demand needs.
    fn shed_below_threshold(&mut self, now: Instant) {
        let mut queue = std::mem::take(&mut self.queue);
        let refused = queue.take_refused(|request| {
            request.priority <= self.threshold_for(&request.caller_service, now)
        });
        self.queue = queue;
        for key in refused {
            self.shed(key, ShedReason::Threshold);
        }
    }

    fn shed(&mut self, key: GateKey, reason: ShedReason) {
        self.entries.remove(key);
        self.decisions.push(GateDecision::Shed(key, reason));
    }
}
