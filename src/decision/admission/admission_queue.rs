//! Queue of requests that wait for a slot.

use crate::{
    common::*,
    decision::{
        admission::{
            admission_gate::{GateKey, GateRequest},
            fair_share::FairShare,
            priority_level::PriorityLevel,
        },
        profile::profile_limits::ShedOrder,
        request_priority::RequestPriority,
    },
};
use std::cmp::Reverse;

/// Resolution at which the ages of root requests are compared, so that the rank decides between
/// requests of about the same age.
const AGE_STEP: Duration = Duration::from_millis(20);

/// Divisor that gives the share of the waiting requests that one tightening of the threshold
/// excludes: 1/8.
const CUTOFF_DIVISOR: usize = 8;

#[derive(Debug)]
struct WaitingRequest {
    key: GateKey,
    request: GateRequest,
    offered_at: Instant,
}

/// Waiting requests, ordered by class; then by whether they are new root requests and by the retry
/// mark, in the sequence that the profile sets; then by the recent use of slots by their calling
/// service (least first), by age (oldest first) and by rank.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: Vec<WaitingRequest>,
    shed_order: ShedOrder,
}

impl AdmissionQueue {
    /// Adds a request that was offered at `offered_at`.
    pub fn push(&mut self, key: GateKey, request: GateRequest, offered_at: Instant) {
        self.waiting.push(WaitingRequest {
            key,
            request,
            offered_at,
        });
    }

    /// Sets the order in which requests of one class are shed.
    pub fn set_shed_order(&mut self, shed_order: ShedOrder) {
        self.shed_order = shed_order;
    }

    /// Removes a request that its caller withdrew.
    pub fn remove(&mut self, key: GateKey) {
        self.waiting.retain(|waiting| waiting.key != key);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of waiting requests that are calls of roots which another daemon admitted.
    pub fn call_count(&self) -> usize {
        let waiting = self.waiting.iter();
        waiting.filter(|waiting| !waiting.request.is_entry).count()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests that may be shed before their deadline.
    pub fn sheddable_count(&self) -> usize {
        self.sheddable().count()
    }

    fn sheddable(&self) -> impl Iterator<Item = &WaitingRequest> {
        let waiting = self.waiting.iter();
        waiting.filter(|waiting| !waiting.request.is_planned_call)
    }

    /// Removes the requests that would finish after their deadline even if they started now.
    /// `mean_time` is the service time of requests whose own is not known.
    pub fn take_unmeetable(&mut self, mean_time: Duration, now: Instant) -> Vec<GateKey> {
        self.take(|waiting| {
            let service_time = waiting.request.expected_time.unwrap_or(mean_time);
            waiting.request.deadline <= now + service_time
        })
    }

    /// Removes the sheddable requests that have waited for longer than `max_wait`.
    pub fn take_timed_out(&mut self, max_wait: Duration, now: Instant) -> Vec<GateKey> {
        self.take(|waiting| !waiting.request.is_planned_call && waiting.offered_at + max_wait < now)
    }

    /// Removes the requests for which `is_admitted` returns false.
    pub fn take_not_admitted(
        &mut self,
        is_admitted: impl Fn(&GateRequest) -> bool,
    ) -> Vec<GateKey> {
        self.take(|waiting| !is_admitted(&waiting.request))
    }

    /// Removes and returns the request that starts next: an impatient one if they go first.
    pub fn take_next(
        &mut self,
        share: &FairShare,
        impatient_first: bool,
        now: Instant,
    ) -> Option<(GateKey, GateRequest)> {
        let is_behind = |request: &GateRequest| impatient_first && !request.is_impatient;
        let (index, _) = self.waiting.iter().enumerate().min_by(|(_, a), (_, b)| {
            let usage = |entry: &WaitingRequest| share.usage(&entry.request.caller_service, now);
            is_behind(&a.request)
                .cmp(&is_behind(&b.request))
                .then_with(|| {
                    self.order_group(&a.request)
                        .cmp(&self.order_group(&b.request))
                })
                .then_with(|| usage(a).total_cmp(&usage(b)))
                .then_with(|| Self::age_key(&a.request, now).cmp(&Self::age_key(&b.request, now)))
                .then_with(|| a.request.priority.rank.cmp(&b.request.priority.rank))
        })?;
        let next = self.waiting.swap_remove(index);
        Some((next.key, next.request))
    }

    /// Removes and returns the request to shed when the queue is too long. It belongs to the least
    /// important class in the queue, there to the caller with the most waiting requests, and has
    /// the lowest priority of these.
    pub fn take_least_important(&mut self) -> Option<GateKey> {
        let class = self
            .sheddable()
            .map(|waiting| waiting.request.priority.class)
            .max()?;
        let mut waiting_by_caller = IndexMap::<&SmolStr, u32>::new();
        for waiting in self
            .sheddable()
            .filter(|waiting| waiting.request.priority.class == class)
        {
            *waiting_by_caller
                .entry(&waiting.request.caller_service)
                .or_default() += 1;
        }
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| {
                waiting.request.priority.class == class && !waiting.request.is_planned_call
            })
            .max_by_key(|(_, waiting)| {
                let request = &waiting.request;
                (
                    waiting_by_caller[&request.caller_service],
                    self.order_group(request),
                    request.priority,
                )
            })?;
        Some(self.waiting.swap_remove(index).key)
    }

    /// Returns the level of the most important request among the least important eighth of the
    /// waiting requests.
    pub fn cutoff(&self) -> Option<PriorityLevel> {
        let mut levels: Vec<PriorityLevel> = self
            .sheddable()
            .map(|waiting| waiting.request.priority.into())
            .collect();
        levels.sort_unstable();
        levels
            .get(levels.len() - levels.len().div_ceil(CUTOFF_DIVISOR))
            .copied()
    }

    fn take(&mut self, is_taken: impl Fn(&WaitingRequest) -> bool) -> Vec<GateKey> {
        self.waiting
            .extract_if(.., |waiting| is_taken(waiting))
            .map(|waiting| waiting.key)
            .collect()
    }

    fn order_group(&self, request: &GateRequest) -> (u8, bool, bool) {
        let RequestPriority { class, retry, .. } = request.priority;
        match self.shed_order {
            ShedOrder::NewRootsFirst => (class, request.is_entry, retry),
            ShedOrder::RetriesFirst => (class, retry, request.is_entry),
        }
    }

    fn age_key(request: &GateRequest, now: Instant) -> Reverse<u128> {
        let age = now.saturating_duration_since(request.entered);
        Reverse(age.as_millis() / AGE_STEP.as_millis())
    }
}
