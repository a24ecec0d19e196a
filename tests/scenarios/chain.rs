//! Discrete-event model of a service chain that calls the decision code of the daemons.

use crate::{
    model::{CLASSES, CallKey, Control, Fault, Instance, Scenario},
    report::{Report, RequestRecord, TryRecord},
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkstream::decision::{
    admission::admission_gate::{GateDecision, GateKey, GateRequest, ShedReason, WorkResult},
    clock::{Clock, ManualClock},
    request_priority::RequestPriority,
    retry::{
        attempt_ledger::{AllowanceSlice, AttemptLedger},
        retry_after::RetryAfter,
    },
    routing::upstream_set::{AttemptResult, UpstreamKey},
};
use slotmap::SlotMap;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(5);
/// Time that an outside caller waits for one try, and for all its tries together.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(3);
/// Tries of an outside caller, and its pause when it does not follow `Retry-After`.
const CLIENT_TRIES: u32 = 4;
const HARD_RETRY: Duration = Duration::from_millis(50);
/// Per-hop attempts and time-out of the baselines.
const HOP_ATTEMPTS: usize = 3;
const HOP_TIMEOUT: Duration = Duration::from_millis(500);
const FIXED_QUEUE: usize = 100;
const PROGRESS_TIME: Duration = Duration::from_millis(200);
const CONNECT_FAILURE: Duration = Duration::from_millis(20);
const ALLOWANCE: u16 = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Ran,
    NotRun(ShedReason),
    /// The attempt never reached the upstream.
    Failed,
    TimedOut,
}

enum Event {
    Demand,
    Tick,
    Replace,
    Try(usize),
    Arrive(CallKey),
    WorkDone(CallKey),
    Reply(CallKey, Verdict),
    Timeout(CallKey),
}

#[derive(Clone)]
struct Call {
    root: usize,
    parent: Option<CallKey>,
    child: Option<CallKey>,
    instance: usize,
    upstream: Option<UpstreamKey>,
    tried: Vec<UpstreamKey>,
    priority: RequestPriority,
    deadline: Instant,
    entered: Instant,
    sent: Instant,
    ledger: AttemptLedger,
    slice: Rc<RefCell<Option<AllowanceSlice>>>,
    gate: Option<GateKey>,
    work_start: Option<Instant>,
    has_slot: bool,
}

pub struct Chain {
    clock: ManualClock,
    start: Instant,
    scenario: Scenario,
    control: Control,
    instances: Vec<Instance>,
    report: Report,
    calls: SlotMap<CallKey, Call>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    rng: Pcg64Mcg,
}

impl Chain {
    pub fn run(scenario: &Scenario, control: Control) -> Report {
        let clock = ManualClock::new();
        let start = clock.now();
        let mut chain = Self {
            instances: Instance::all(scenario, start),
            report: Report {
                requests: Vec::new(),
                tries: Vec::new(),
                limits: IndexMap::new(),
                reasons: IndexMap::new(),
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
        chain.after(Duration::ZERO, Event::Demand);
        if control == Control::Full {
            chain.after(TICK, Event::Tick);
        }
        if let Some((_, span)) = scenario.fault(|fault| (fault == Fault::Cold).then_some(())) {
            chain.after(span.start, Event::Replace);
        }
        while let Some(((at, _), event)) = chain.events.pop_first() {
            if at > scenario.length {
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

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.elapsed() + delay, self.sequence), event);
    }

    fn is_active(&self, fault: Fault) -> bool {
        let found = self
            .scenario
            .active(self.elapsed(), |f| (f == fault).then_some(()));
        found.is_some()
    }

    /// Returns the rest of the pause when the daemon of an instance does not run.
    fn pause(&self, instance: usize) -> Option<Duration> {
        let now = self.elapsed();
        let is_paused = |fault| (fault == Fault::Pause(instance)).then_some(());
        let (_, span) = self.scenario.fault(is_paused)?;
        span.contains(&now).then(|| span.end - now)
    }

    fn handle(&mut self, event: Event) {
        let owner = match &event {
            Event::Arrive(key) | Event::WorkDone(key) => self.calls.get(*key),
            Event::Reply(key, ..) | Event::Timeout(key) => self
                .calls
                .get(*key)
                .and_then(|call| self.calls.get(call.parent?)),
            _ => None,
        };
        if let Some(rest) = owner.and_then(|call| self.pause(call.instance)) {
            return self.after(rest, event);
        }
        match event {
            Event::Demand => self.next_demand(),
            Event::Try(request) => self.send_try(request),
            Event::Arrive(key) => self.arrive(key),
            Event::WorkDone(key) => self.work_done(key),
            Event::Reply(key, verdict) => self.reply(key, verdict),
            Event::Timeout(key) => self.timeout(key),
            Event::Replace => {
                let now = self.now();
                Instance::update_sets(&mut self.instances, 1_000, now);
            }
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let second = self.elapsed().as_secs();
        for index in 0..self.instances.len() {
            if self.pause(index).is_none() {
                self.pump(index);
            }
            let sum = self.report.limits.entry((index, second)).or_default();
            *sum = (sum.0 + self.instances[index].gate.limit(), sum.1 + 1);
        }
        self.after(TICK, Event::Tick);
    }

    fn next_demand(&mut self) {
        let id = self.rng.random::<u128>();
        let mut point: f64 = self.rng.random();
        let class = CLASSES.iter().find(|(_, share)| {
            point -= share;
            point < 0.0
        });
        self.report.requests.push(RequestRecord {
            class: class.map_or(CLASSES[2].0, |(class, _)| *class),
            id,
            sent: self.elapsed(),
            tries: 0,
            answered: None,
            shed: [0; 2],
            attempts: [0; 2],
        });
        self.send_try(self.report.requests.len() - 1);
        let surge = self.scenario.active(self.elapsed(), |fault| match fault {
            Fault::Surge(factor) => Some(factor),
            _ => None,
        });
        let rate = self.scenario.demand * self.scenario.capacity() * surge.unwrap_or(1.0);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Event::Demand);
    }

    fn send_try(&mut self, request: usize) {
        let now = self.now();
        let entry = self.rng.random_range(0..self.scenario.services[0].1);
        let record = &mut self.report.requests[request];
        let priority = RequestPriority::for_request(record.class, record.tries > 0, record.id);
        record.tries += 1;
        self.report.tries.push(TryRecord {
            request,
            ..TryRecord::default()
        });
        let is_full = self.control == Control::Full;
        let allowance = if is_full { ALLOWANCE } else { 0 };
        let call = Call {
            root: self.report.tries.len() - 1,
            parent: None,
            instance: entry,
            upstream: None,
            priority,
            deadline: now + CLIENT_TIMEOUT,
            entered: now,
            sent: now,
            ledger: AttemptLedger::new(allowance),
            slice: Rc::default(),
            gate: None,
            work_start: None,
            has_slot: false,
            child: None,
            tried: Vec::new(),
        };
        let key = self.calls.insert(call);
        self.after(3 * MS, Event::Arrive(key));
        self.after(CLIENT_TIMEOUT, Event::Timeout(key));
    }

    fn arrive(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let now = self.now();
        let index = call.instance;
        let instance = &mut self.instances[index];
        match self.control {
            Control::None => self.enqueue(key),
            Control::Fixed if instance.fifo.len() >= FIXED_QUEUE => {
                self.answer(key, Verdict::NotRun(ShedReason::QueueFull));
            }
            Control::Fixed => self.enqueue(key),
            Control::Full => {
                if !instance
                    .thresholds
                    .iter()
                    .all(|t| t.admits(call.priority, now))
                {
                    return self.answer(key, Verdict::NotRun(ShedReason::Threshold));
                }
                let caller = call.parent.map(|parent| self.calls[parent].instance);
                let request = GateRequest {
                    priority: call.priority,
                    deadline: call.deadline,
                    entered: call.entered,
                    is_entry: call.parent.is_none(),
                    caller_service: caller.map_or("", |c| self.instances[c].name).into(),
                };
                let instance = &mut self.instances[index];
                let gate_key = instance.gate.offer(request, now);
                instance.waiting.insert(gate_key, key);
                self.calls[key].gate = Some(gate_key);
                self.pump(index);
            }
        }
    }

    fn pump(&mut self, index: usize) {
        let now = self.now();
        for decision in self.instances[index].gate.poll(now) {
            let (gate_key, shed) = match decision {
                GateDecision::Start(key) => (key, None),
                GateDecision::Shed(key, reason) => (key, Some(reason)),
            };
            let Some(key) = self.instances[index].waiting.swap_remove(&gate_key) else {
                continue;
            };
            match shed {
                None => self.enqueue(key),
                Some(reason) => {
                    self.calls[key].gate = None;
                    self.answer(key, Verdict::NotRun(reason));
                }
            }
        }
    }

    fn enqueue(&mut self, key: CallKey) {
        let index = self.calls[key].instance;
        self.instances[index].fifo.push_back(key);
        self.start_work(index);
    }

    fn start_work(&mut self, index: usize) {
        while self.instances[index].busy < self.instances[index].slots {
            let Some(key) = self.instances[index].fifo.pop_front() else {
                return;
            };
            if !self.calls.contains_key(key) {
                continue;
            }
            self.instances[index].busy += 1;
            let noise = 0.25 + 0.75 * (-(1.0 - self.rng.random::<f64>()).ln()).min(3.0);
            let factor = self
                .scenario
                .slowness(&self.instances[index], self.elapsed());
            let time = self.instances[index].service_time.mul_f64(noise * factor);
            let now = self.now();
            self.calls[key].work_start = Some(now);
            self.calls[key].has_slot = true;
            self.after(time, Event::WorkDone(key));
        }
    }

    fn work_done(&mut self, key: CallKey) {
        let now = self.now();
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let Some(start) = call.work_start.take() else {
            return;
        };
        self.report.tries[call.root].work += now - start;
        if self.instances[call.instance].next_service.is_some() {
            if self.control == Control::Full {
                self.instances[call.instance].budget.record_first(now);
            }
            self.send_attempt(key, false);
        } else {
            self.answer(key, Verdict::Ran);
        }
    }

    fn send_attempt(&mut self, key: CallKey, is_extra: bool) {
        let now = self.now();
        let call = &mut self.calls[key];
        let from = call.instance;
        let Some((upstream, to)) = self.instances[from].choose(&call.tried, now) else {
            return self.answer(key, Verdict::NotRun(ShedReason::Threshold));
        };
        call.tried.push(upstream);
        self.report.request_of(call.root).attempts[usize::from(is_extra)] += 1;
        let slice = call.ledger.reserve_slice();
        let child = Call {
            parent: Some(key),
            instance: to,
            upstream: Some(upstream),
            tried: Vec::new(),
            sent: now,
            ledger: AttemptLedger::new(slice.size()),
            slice: Rc::new(RefCell::new(Some(slice))),
            gate: None,
            has_slot: false,
            ..call.clone()
        };
        let deadline = child.deadline;
        let child = self.calls.insert(child);
        self.calls[key].child = Some(child);
        let is_far = self.instances[from].data_centre != self.instances[to].data_centre;
        if is_far && self.is_active(Fault::CutOff) {
            return self.after(CONNECT_FAILURE, Event::Reply(child, Verdict::Failed));
        }
        let is_full = self.control == Control::Full;
        let is_silent = self.is_active(Fault::Silent(to)) && self.rng.random::<bool>();
        if is_silent && is_full {
            // The upstream never saw the attempt and says so on a new connection.
            return self.after(PROGRESS_TIME, Event::Reply(child, Verdict::Failed));
        }
        if !is_silent {
            self.after(MS * if is_far { 2 } else { 1 }, Event::Arrive(child));
        }
        let limit = if is_full { deadline - now } else { HOP_TIMEOUT };
        self.after(limit, Event::Timeout(child));
    }

    /// Ends a call at its own instance and sends the response.
    fn answer(&mut self, key: CallKey, verdict: Verdict) {
        self.release(key, verdict);
        if let Verdict::NotRun(reason) = verdict {
            let call = &self.calls[key];
            let depth = usize::from(call.parent.is_some());
            self.report.request_of(call.root).shed[depth] += 1;
            let place = ["entry", "deeper"][depth];
            let count = self.report.reasons.entry((place, reason.as_str()));
            *count.or_default() += 1;
        }
        self.after(MS, Event::Reply(key, verdict));
    }

    fn release(&mut self, key: CallKey, verdict: Verdict) {
        let now = self.now();
        let call = &mut self.calls[key];
        let index = call.instance;
        let gate = call.gate.take();
        let had_slot = std::mem::take(&mut call.has_slot);
        if let Some(start) = call.work_start.take() {
            self.report.tries[call.root].work += now - start;
        }
        if had_slot {
            self.instances[index].busy -= 1;
            self.start_work(index);
        }
        if let Some(gate_key) = gate {
            let result = match verdict {
                Verdict::Ran => WorkResult::Completed,
                _ => WorkResult::Aborted,
            };
            self.instances[index].gate.finish(gate_key, result, now);
            self.instances[index].waiting.swap_remove(&gate_key);
            self.pump(index);
        }
    }

    fn reply(&mut self, key: CallKey, verdict: Verdict) {
        if let Some(call) = self.calls.remove(key) {
            self.settle(&call, key, verdict);
        }
    }

    /// Gives the result of a call to its sender.
    fn settle(&mut self, call: &Call, key: CallKey, verdict: Verdict) {
        let Some(parent_key) = call.parent else {
            return self.client_reply(call, verdict);
        };
        let parent = self.calls.get_mut(parent_key);
        let Some(parent) = parent.filter(|parent| parent.child == Some(key)) else {
            return;
        };
        parent.child = None;
        let from = parent.instance;
        if verdict != Verdict::Failed {
            if let Some(slice) = call.slice.take() {
                parent.ledger.return_unused(slice, call.ledger.remaining());
            }
            self.learn_thresholds(from, call.instance);
        }
        self.finish_attempt(from, call, verdict);
        if verdict != Verdict::Ran && self.may_repeat(parent_key, verdict) {
            self.send_attempt(parent_key, true);
        } else {
            self.answer(parent_key, verdict);
        }
    }

    fn finish_attempt(&mut self, from: usize, call: &Call, verdict: Verdict) {
        let now = self.now();
        let result = match verdict {
            Verdict::Ran => AttemptResult::Answered,
            Verdict::NotRun(_) => AttemptResult::Refused,
            Verdict::Failed => AttemptResult::Failed,
            Verdict::TimedOut => AttemptResult::Abandoned,
        };
        if let Some(upstream) = call.upstream {
            let latency = now - call.sent;
            self.instances[from]
                .set
                .finish(upstream, result, latency, now);
        }
    }

    fn may_repeat(&mut self, key: CallKey, verdict: Verdict) -> bool {
        let now = self.now();
        let call = &mut self.calls[key];
        if self.control != Control::Full {
            return call.tried.len() < HOP_ATTEMPTS;
        }
        let instance = &mut self.instances[call.instance];
        let mut thresholds = instance.thresholds.iter();
        verdict != Verdict::TimedOut
            && call.deadline > now
            && thresholds.all(|threshold| threshold.admits(call.priority, now))
            && call.ledger.remaining() > 0
            && instance.budget.take_extra(now)
            && call.ledger.take_extra()
    }

    fn learn_thresholds(&mut self, from: usize, to: usize) {
        let now = self.now();
        let service = self.instances[to].service;
        let caller = self.instances[from].name;
        let own = self.instances[to].gate.threshold_for(caller, now);
        self.instances[from].thresholds[service].record(own, now);
        for deeper in service + 1..self.scenario.services.len() {
            let learned = self.instances[to].thresholds[deeper].priority(now);
            let threshold = learned.unwrap_or(RequestPriority::LOWEST);
            self.instances[from].thresholds[deeper].record(threshold, now);
        }
    }

    fn timeout(&mut self, key: CallKey) {
        if self.control == Control::Full {
            self.cancel(key);
            self.reply(key, Verdict::TimedOut);
        } else if let Some(call) = self.calls.get(key).cloned() {
            // Without cancellation, the call goes on after its sender has given up.
            self.settle(&call, key, Verdict::TimedOut);
        }
    }

    /// Withdraws a call and the calls below it.
    fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let from = call.instance;
        if let Some(child) = call.child.take() {
            self.cancel(child);
            if let Some(call) = self.calls.remove(child) {
                self.finish_attempt(from, &call, Verdict::TimedOut);
            }
        }
        self.release(key, Verdict::TimedOut);
    }

    fn client_reply(&mut self, call: &Call, verdict: Verdict) {
        let elapsed = self.elapsed();
        let record = &mut self.report.tries[call.root];
        if std::mem::replace(&mut record.is_closed, true) {
            return;
        }
        record.is_answered = verdict == Verdict::Ran;
        let request = record.request;
        if verdict == Verdict::Ran {
            let answered = &mut self.report.requests[request].answered;
            answered.get_or_insert(elapsed);
            return;
        }
        let record = &self.report.requests[request];
        let follows = self.control == Control::Full && record.id.is_multiple_of(2);
        let wait = match verdict {
            Verdict::NotRun(_) if follows => RetryAfter::default().for_request(call.priority),
            _ => HARD_RETRY,
        };
        if record.tries < CLIENT_TRIES && elapsed + wait < record.sent + PATIENCE {
            self.after(wait, Event::Try(request));
        }
    }
}
