//! Queue of the requests that wait for a slot.

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

/// Ages of root requests are compared in steps of this length, so that the rank decides between
/// requests of about the same age.
const AGE_STEP: Duration = Duration::from_millis(20);

/// Share of the waiting requests that a fall of the threshold excludes: 1/8.
const CUT_SHARE: usize = 8;

#[derive(Debug)]
struct WaitingRequest {
    key: GateKey,
    request: GateRequest,
    offered: Instant,
}

/// Waiting requests, ordered by class, then work already started before new roots and marked retries
/// last in the order of the profile, then the use of their calling service, then age and rank.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: Vec<WaitingRequest>,
    order: ShedOrder,
}

impl AdmissionQueue {
    /// Adds a request.
    pub fn push(&mut self, key: GateKey, request: GateRequest, offered: Instant) {
        self.waiting.push(WaitingRequest {
            key,
            request,
            offered,
        });
    }

    /// Puts the order within a class in force.
    pub fn set_order(&mut self, order: ShedOrder) {
        self.order = order;
    }

    /// Removes a request that is no longer wanted.
    pub fn remove(&mut self, key: GateKey) {
        self.waiting.retain(|waiting| waiting.key != key);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes the requests that would end after their deadline if they started now.
    pub fn take_late(&mut self, service_time: Duration, now: Instant) -> Vec<GateKey> {
        self.take(|waiting| waiting.request.deadline <= now + service_time)
    }

    /// Removes the requests that have waited for longer than `wait`.
    pub fn take_overdue(&mut self, wait: Duration, now: Instant) -> Vec<GateKey> {
        self.take(|waiting| waiting.offered + wait < now)
    }

    /// Removes the requests that are not admitted any more.
    pub fn take_refused(&mut self, is_admitted: impl Fn(&GateRequest) -> bool) -> Vec<GateKey> {
        self.take(|waiting| !is_admitted(&waiting.request))
    }

    /// Removes the request that starts next.
    pub fn take_next(&mut self, share: &FairShare, now: Instant) -> Option<(GateKey, GateRequest)> {
        let (index, _) = self.waiting.iter().enumerate().min_by(|(_, a), (_, b)| {
            let used = |waiting: &WaitingRequest| share.used(&waiting.request.caller_service, now);
            self.group(&a.request)
                .cmp(&self.group(&b.request))
                .then_with(|| used(a).total_cmp(&used(b)))
                .then_with(|| Self::age(&a.request, now).cmp(&Self::age(&b.request, now)))
                .then_with(|| a.request.priority.rank.cmp(&b.request.priority.rank))
        })?;
        let next = self.waiting.swap_remove(index);
        Some((next.key, next.request))
    }

    /// Removes the request that is shed when the queue is too long: the least important class, of
    /// it the caller with the most waiting requests, of those the lowest priority.
    pub fn take_least(&mut self) -> Option<GateKey> {
        let class = self
            .waiting
            .iter()
            .map(|w| w.request.priority.class)
            .max()?;
        let mut callers = IndexMap::<&SmolStr, u32>::new();
        for waiting in self
            .waiting
            .iter()
            .filter(|w| w.request.priority.class == class)
        {
            *callers.entry(&waiting.request.caller_service).or_default() += 1;
        }
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| waiting.request.priority.class == class)
            .max_by_key(|(_, waiting)| {
                let request = &waiting.request;
                (
                    callers[&request.caller_service],
                    self.group(request),
                    request.priority,
                )
            })?;
        Some(self.waiting.swap_remove(index).key)
    }

    /// Returns the priority that cuts off the least important share of the waiting requests.
    pub fn cut(&self) -> Option<PriorityLevel> {
        let mut levels: Vec<PriorityLevel> = self
            .waiting
            .iter()
            .map(|waiting| waiting.request.priority.into())
            .collect();
        levels.sort_unstable();
        levels
            .get(levels.len() - levels.len().div_ceil(CUT_SHARE))
            .copied()
    }

    fn take(&mut self, is_due: impl Fn(&WaitingRequest) -> bool) -> Vec<GateKey> {
        self.waiting
            .extract_if(.., |waiting| is_due(waiting))
            .map(|waiting| waiting.key)
            .collect()
    }

    fn group(&self, request: &GateRequest) -> (u8, bool, bool) {
        let RequestPriority { class, retry, .. } = request.priority;
        match self.order {
            ShedOrder::NewRootsFirst => (class, request.is_entry, retry),
            ShedOrder::RetriesFirst => (class, retry, request.is_entry),
        }
    }

    fn age(request: &GateRequest, now: Instant) -> Reverse<u128> {
        let age = now.saturating_duration_since(request.entered);
        Reverse(age.as_millis() / AGE_STEP.as_millis())
    }
}
