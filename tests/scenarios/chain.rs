//! Discrete-event simulation of a service chain that uses the decision code of the daemons.

mod outside_callers;

use crate::{
    model::{CallKey, Control, Fault, Instance, Scenario},
    report::Report,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkstream::decision::{
    admission::admission_gate::{GateDecision, GateKey, GateRequest, ShedReason, WorkResult},
    clock::{Clock, ManualClock},
    request_priority::RequestPriority,
    retry::attempt_ledger::{AllowanceSlice, AttemptLedger},
    routing::upstream_set::{AttemptResult, UpstreamKey},
};
use slotmap::SlotMap;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

const MILLISECOND: Duration = Duration::from_millis(1);
/// Time between two polls of the admission gates.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum attempts per hop without the decision code.
const HOP_ATTEMPTS: usize = 3;
/// Timeout of an attempt without the decision code.
const HOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Queue length of an instance under fixed control.
const FIXED_QUEUE_LENGTH: usize = 100;
/// Time after which a daemon checks a silent connection.
const PROGRESS_TIME: Duration = Duration::from_millis(200);
/// Time after which a connection attempt between separated data centres fails.
const CONNECT_FAILURE_TIME: Duration = Duration::from_millis(20);

/// Result of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallResult {
    Ran,
    NotRun(ShedReason),
    /// The attempt did not reach the upstream.
    Failed,
    TimedOut,
}

enum Event {
    /// An outside caller sends a new request.
    NewRequest,
    /// The daemons poll their admission gates.
    PollGates,
    /// Cold instances replace others.
    ReplaceInstances,
    /// An outside caller sends a try at the request with this index.
    Try(usize),
    /// A call arrives at its instance.
    Arrival(CallKey),
    /// The backend server has spent the service time of a call.
    WorkDone(CallKey),
    /// The sender of a call receives the response.
    Response(CallKey, CallResult),
    /// The sender of a call stops waiting.
    Timeout(CallKey),
}

/// One attempt of an outside caller or of a daemon, at one instance.
#[derive(Clone)]
struct Call {
    /// Index of the caller's try that the call belongs to.
    try_index: usize,
    parent: Option<CallKey>,
    child: Option<CallKey>,
    instance: usize,
    upstream: Option<UpstreamKey>,
    tried: Vec<UpstreamKey>,
    priority: RequestPriority,
    deadline: Instant,
    /// Time at which the root request entered the chain.
    entered: Instant,
    /// Time at which this call was sent.
    sent: Instant,
    ledger: AttemptLedger,
    /// Part of the parent call's allowance that is reserved for this call.
    slice: Rc<RefCell<Option<AllowanceSlice>>>,
    gate_key: Option<GateKey>,
    work_start: Option<Instant>,
    has_slot: bool,
}

/// Simulation of one scenario under one kind of control.
pub struct Chain {
    clock: ManualClock,
    start: Instant,
    scenario: Scenario,
    control: Control,
    instances: Vec<Instance>,
    report: Report,
    calls: SlotMap<CallKey, Call>,
    /// Events by their time and sequence number.
    events: BTreeMap<(Duration, u64), Event>,
    /// Sequence number of the last event, which orders events at the same time.
    sequence: u64,
    rng: Pcg64Mcg,
}

impl Chain {
    /// Runs the scenario and returns its results.
    pub fn run(scenario: &Scenario, control: Control) -> Report {
        let clock = ManualClock::new();
        let start = clock.now();
        let mut chain = Self {
            instances: Instance::all(scenario, start),
            report: Report {
                requests: Vec::new(),
                tries: Vec::new(),
                limits: IndexMap::new(),
                refusals: IndexMap::new(),
                scenario: scenario.clone(),
                control,
            },
            scenario: scenario.clone(),
            clock,
            start,
            control,
            calls: SlotMap::with_key(),
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
        };
        chain.schedule(Duration::ZERO, Event::NewRequest);
        if control == Control::Full {
            chain.schedule(GATE_POLL_INTERVAL, Event::PollGates);
        }
        if let Some((_, span)) = scenario.fault(|fault| (fault == Fault::Cold).then_some(())) {
            chain.schedule(span.start, Event::ReplaceInstances);
        }
        while let Some(((at, _), event)) = chain.events.pop_first() {
            if at > scenario.duration {
                break;
            }
            chain.clock.advance(at - chain.elapsed());
            chain.handle(event);
        }
        chain.report
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn elapsed(&self) -> Duration {
        self.now() - self.start
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.elapsed() + delay, self.sequence), event);
    }

    fn is_active(&self, fault: Fault) -> bool {
        let found = self
            .scenario
            .active_fault(self.elapsed(), |f| (f == fault).then_some(()));
        found.is_some()
    }

    /// Returns the remaining pause of the daemon of an instance, if it is paused.
    fn remaining_pause(&self, instance: usize) -> Option<Duration> {
        let now = self.elapsed();
        let is_paused = |fault| (fault == Fault::Pause(instance)).then_some(());
        let (_, span) = self.scenario.fault(is_paused)?;
        span.contains(&now).then(|| span.end - now)
    }

    fn handle(&mut self, event: Event) {
        let recipient = match &event {
            Event::Arrival(key) | Event::WorkDone(key) => self.calls.get(*key),
            Event::Response(key, ..) | Event::Timeout(key) => self
                .calls
                .get(*key)
                .and_then(|call| self.calls.get(call.parent?)),
            _ => None,
        };
        if let Some(remaining) = recipient.and_then(|call| self.remaining_pause(call.instance)) {
            return self.schedule(remaining, event);
        }
        match event {
            Event::NewRequest => self.send_new_request(),
            Event::Try(request) => self.send_try(request),
            Event::Arrival(key) => self.handle_arrival(key),
            Event::WorkDone(key) => self.handle_work_done(key),
            Event::Response(key, result) => self.handle_response(key, result),
            Event::Timeout(key) => self.handle_timeout(key),
            Event::ReplaceInstances => {
                let now = self.now();
                Instance::update_upstream_sets(&mut self.instances, 1_000, now);
            }
            Event::PollGates => self.poll_all_gates(),
        }
    }

    /// Polls the gates of all running daemons and samples their limits.
    fn poll_all_gates(&mut self) {
        let second = self.elapsed().as_secs();
        for index in 0..self.instances.len() {
            if self.remaining_pause(index).is_none() {
                self.poll_gate(index);
            }
            let sum = self.report.limits.entry((index, second)).or_default();
            *sum = (sum.0 + self.instances[index].gate.limit(), sum.1 + 1);
        }
        self.schedule(GATE_POLL_INTERVAL, Event::PollGates);
    }

    fn handle_arrival(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let now = self.now();
        let index = call.instance;
        let instance = &mut self.instances[index];
        match self.control {
            Control::None => self.enqueue(key),
            Control::Fixed if instance.backend_queue.len() >= FIXED_QUEUE_LENGTH => {
                self.respond(key, CallResult::NotRun(ShedReason::QueueFull));
            }
            Control::Fixed => self.enqueue(key),
            Control::Full => {
                if !instance
                    .thresholds
                    .iter()
                    .all(|t| t.admits(call.priority, now))
                {
                    return self.respond(key, CallResult::NotRun(ShedReason::Threshold));
                }
                let caller = call.parent.map(|parent| self.calls[parent].instance);
                let request = GateRequest {
                    priority: call.priority,
                    deadline: call.deadline,
                    entered: call.entered,
                    is_entry: call.parent.is_none(),
                    caller_service: caller.map_or("", |c| self.instances[c].name).into(),
                    is_planned_call: false,
                    is_impatient: false,
                    expected_time: None,
                };
                let instance = &mut self.instances[index];
                let gate_key = instance.gate.offer(request, now);
                instance.waiting_calls.insert(gate_key, key);
                self.calls[key].gate_key = Some(gate_key);
                self.poll_gate(index);
            }
        }
    }

    fn poll_gate(&mut self, index: usize) {
        let now = self.now();
        for decision in self.instances[index].gate.poll(now) {
            let (gate_key, shed) = match decision {
                GateDecision::Start(key) => (key, None),
                GateDecision::Shed(key, reason) => (key, Some(reason)),
            };
            let Some(key) = self.instances[index].waiting_calls.swap_remove(&gate_key) else {
                continue;
            };
            match shed {
                None => self.enqueue(key),
                Some(reason) => {
                    self.calls[key].gate_key = None;
                    self.respond(key, CallResult::NotRun(reason));
                }
            }
        }
    }

    fn enqueue(&mut self, key: CallKey) {
        let index = self.calls[key].instance;
        self.instances[index].backend_queue.push_back(key);
        self.start_work(index);
    }

    fn start_work(&mut self, index: usize) {
        while self.instances[index].busy_slots < self.instances[index].slots {
            let Some(key) = self.instances[index].backend_queue.pop_front() else {
                return;
            };
            if !self.calls.contains_key(key) {
                continue;
            }
            self.instances[index].busy_slots += 1;
            // A quarter of the service time is fixed; the rest has an exponential distribution that
            // is cut off at three times its mean.
            let noise = 0.25 + 0.75 * (-(1.0 - self.rng.random::<f64>()).ln()).min(3.0);
            let factor = self
                .scenario
                .slowdown(&self.instances[index], self.elapsed());
            let time = self.instances[index].service_time.mul_f64(noise * factor);
            let now = self.now();
            self.calls[key].work_start = Some(now);
            self.calls[key].has_slot = true;
            self.schedule(time, Event::WorkDone(key));
        }
    }

    fn handle_work_done(&mut self, key: CallKey) {
        let now = self.now();
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let Some(start) = call.work_start.take() else {
            return;
        };
        self.report.tries[call.try_index].work += now - start;
        if self.instances[call.instance].next_service.is_some() {
            if self.control == Control::Full {
                self.instances[call.instance].retry_budget.record_first(now);
            }
            self.send_attempt(key, false);
        } else {
            self.respond(key, CallResult::Ran);
        }
    }

    fn send_attempt(&mut self, key: CallKey, is_extra: bool) {
        let now = self.now();
        let call = &mut self.calls[key];
        let from = call.instance;
        let Some((upstream, to)) = self.instances[from].choose_upstream(&call.tried, now) else {
            return self.respond(key, CallResult::NotRun(ShedReason::Threshold));
        };
        call.tried.push(upstream);
        self.report.request_of_try(call.try_index).attempts[usize::from(is_extra)] += 1;
        let slice = call.ledger.reserve_slice();
        let child = Call {
            parent: Some(key),
            instance: to,
            upstream: Some(upstream),
            tried: Vec::new(),
            sent: now,
            ledger: AttemptLedger::new(slice.size()),
            slice: Rc::new(RefCell::new(Some(slice))),
            gate_key: None,
            has_slot: false,
            ..call.clone()
        };
        let deadline = child.deadline;
        let child = self.calls.insert(child);
        self.calls[key].child = Some(child);
        let crosses_data_centres =
            self.instances[from].data_centre != self.instances[to].data_centre;
        if crosses_data_centres && self.is_active(Fault::CutOff) {
            return self.schedule(
                CONNECT_FAILURE_TIME,
                Event::Response(child, CallResult::Failed),
            );
        }
        let is_full = self.control == Control::Full;
        let is_silent = self.is_active(Fault::Silent(to)) && self.rng.random::<bool>();
        if is_silent && is_full {
            // On a new connection, the upstream reports that it did not receive the attempt.
            return self.schedule(PROGRESS_TIME, Event::Response(child, CallResult::Failed));
        }
        if !is_silent {
            self.schedule(
                MILLISECOND * if crosses_data_centres { 2 } else { 1 },
                Event::Arrival(child),
            );
        }
        let limit = if is_full { deadline - now } else { HOP_TIMEOUT };
        self.schedule(limit, Event::Timeout(child));
    }

    /// Finishes a call at its instance and sends the response.
    fn respond(&mut self, key: CallKey, result: CallResult) {
        self.release(key, result);
        if let CallResult::NotRun(reason) = result {
            let call = &self.calls[key];
            let depth = usize::from(call.parent.is_some());
            self.report.request_of_try(call.try_index).shed[depth] += 1;
            let depth_name = ["entry", "deeper"][depth];
            let count = self.report.refusals.entry((depth_name, reason.as_str()));
            *count.or_default() += 1;
        }
        self.schedule(MILLISECOND, Event::Response(key, result));
    }

    /// Frees the slot and the gate entry of a call.
    fn release(&mut self, key: CallKey, result: CallResult) {
        let now = self.now();
        let call = &mut self.calls[key];
        let index = call.instance;
        let gate_key = call.gate_key.take();
        let had_slot = std::mem::take(&mut call.has_slot);
        if let Some(start) = call.work_start.take() {
            self.report.tries[call.try_index].work += now - start;
        }
        if had_slot {
            self.instances[index].busy_slots -= 1;
            self.start_work(index);
        }
        if let Some(gate_key) = gate_key {
            let work_result = match result {
                CallResult::Ran => WorkResult::Completed,
                _ => WorkResult::Aborted,
            };
            self.instances[index]
                .gate
                .finish(gate_key, work_result, now);
            self.instances[index].waiting_calls.swap_remove(&gate_key);
            self.poll_gate(index);
        }
    }

    fn handle_response(&mut self, key: CallKey, result: CallResult) {
        if let Some(call) = self.calls.remove(key) {
            self.deliver_result(&call, key, result);
        }
    }

    /// Delivers the result of a call to its sender.
    fn deliver_result(&mut self, call: &Call, key: CallKey, result: CallResult) {
        let Some(parent_key) = call.parent else {
            return self.finish_try(call, result);
        };
        let parent = self.calls.get_mut(parent_key);
        let Some(parent) = parent.filter(|parent| parent.child == Some(key)) else {
            return;
        };
        parent.child = None;
        let from = parent.instance;
        if result != CallResult::Failed {
            if let Some(slice) = call.slice.take() {
                parent.ledger.return_unused(slice, call.ledger.remaining());
            }
            self.apply_thresholds(from, call.instance);
        }
        self.finish_attempt(from, call, result);
        if result != CallResult::Ran && self.may_send_extra(parent_key, result) {
            self.send_attempt(parent_key, true);
        } else {
            self.respond(parent_key, result);
        }
    }

    fn finish_attempt(&mut self, from: usize, call: &Call, result: CallResult) {
        let now = self.now();
        let attempt_result = match result {
            CallResult::Ran => AttemptResult::Completed,
            CallResult::NotRun(_) => AttemptResult::Refused,
            CallResult::Failed => AttemptResult::Failed,
            CallResult::TimedOut => AttemptResult::Abandoned,
        };
        if let Some(upstream) = call.upstream {
            let latency = now - call.sent;
            self.instances[from]
                .upstream_set
                .finish(upstream, attempt_result, latency, now);
        }
    }

    /// Returns whether a further attempt may be sent, and takes it from allowance and budget.
    fn may_send_extra(&mut self, key: CallKey, result: CallResult) -> bool {
        let now = self.now();
        let call = &mut self.calls[key];
        if self.control != Control::Full {
            return call.tried.len() < HOP_ATTEMPTS;
        }
        let instance = &mut self.instances[call.instance];
        let mut thresholds = instance.thresholds.iter();
        result != CallResult::TimedOut
            && call.deadline > now
            && thresholds.all(|threshold| threshold.admits(call.priority, now))
            && call.ledger.remaining() > 0
            && instance.retry_budget.take_extra(now)
            && call.ledger.take_extra()
    }

    /// Applies the thresholds that a response carries to the instance that receives it.
    fn apply_thresholds(&mut self, from: usize, to: usize) {
        let now = self.now();
        let service = self.instances[to].service;
        let caller = self.instances[from].name;
        let own = self.instances[to].gate.threshold_for(caller, now);
        self.instances[from].thresholds[service].record(own, now);
        for deeper in service + 1..self.scenario.services.len() {
            let received = self.instances[to].thresholds[deeper].priority(now);
            let threshold = received.unwrap_or(RequestPriority::LOWEST);
            self.instances[from].thresholds[deeper].record(threshold, now);
        }
    }

    fn handle_timeout(&mut self, key: CallKey) {
        if self.control == Control::Full {
            self.cancel(key);
            self.handle_response(key, CallResult::TimedOut);
        } else if let Some(call) = self.calls.get(key).cloned() {
            // Without cancellation, the call continues after its sender has stopped waiting.
            self.deliver_result(&call, key, CallResult::TimedOut);
        }
    }

    /// Cancels a call and its nested calls.
    fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let from = call.instance;
        if let Some(child) = call.child.take() {
            self.cancel(child);
            if let Some(call) = self.calls.remove(child) {
                self.finish_attempt(from, &call, CallResult::TimedOut);
            }
        }
        self.release(key, CallResult::TimedOut);
    }
}
