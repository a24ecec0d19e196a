//! Emulator that moves requests through a fleet in virtual time.

use crate::{
    common::*,
    decision::{
        admission::admission_gate::{GateDecision, WorkResult},
        clock::{Clock, ManualClock},
        mesh::{
            entry_admission::EntryRequest,
            fleet_view::FleetView,
            instance_selector::{InstanceResult, SelectionRequest},
            load_schedule::{PLAN_INTERVAL, regular_interval},
            named_limit::NamedLimit,
            route_table::RouteTable,
            server_notes::ServerNotes,
        },
    },
    emulator::{
        emulated_daemon::EmulatedDaemon,
        emulated_request::{EmulatedAttempt, EmulatedRequest, RequestKey},
        fleet_spec::{FleetChange, FleetSpec},
        load_tally::{LoadTally, RequestEnd},
    },
    mesh::{attempt_history::MAX_REFUSALS, executor::NESTED_LIMIT_WAIT_DIVISOR},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use std::{cmp::Reverse, collections::BinaryHeap};

/// Variation of the interval at which a daemon sends its load, as in production.
const LOAD_INTERVAL_VARIATION: f64 = 0.1;

/// Interval at which the gates apply decisions that are due to the passing of time.
const GATE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval in which the arrivals of callers are drawn.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);

/// Part of the latency target after which a refused caller returns, and the part that is added at
/// random.
const RETRY_AFTER_TARGET_SHARE: f64 = 0.25;

/// Variation of the work of single runs: the work is between 1 minus this and 1 plus this times the
/// mean.
const WORK_VARIATION: f64 = 0.5;

#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
enum Event {
    WorkDone(RequestKey),
    /// The named limit of the backend server allows a run.
    Start(RequestKey),
    Return {
        route: usize,
        entry: usize,
        fingerprint: u64,
    },
}

/// Fleet in virtual time.
pub struct FleetEmulator {
    spec: FleetSpec,
    table: RouteTable,
    view: FleetView,
    daemons: Vec<EmulatedDaemon>,
    requests: SlotMap<RequestKey, EmulatedRequest>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    changes: Vec<(Duration, FleetChange)>,
    clock: ManualClock,
    started: Instant,
    load_factor: f64,
    next_number: u64,
    rng: Pcg64Mcg,
    tally: LoadTally,
}

impl FleetEmulator {
    /// Creates a fleet with changes at times since the start.
    pub fn new(spec: FleetSpec, changes: Vec<(Duration, FleetChange)>, seed: u64) -> Self {
        let clock = ManualClock::new();
        let now = clock.now();
        let view = spec.published_instances(now);
        let daemons = view.members().map(|(_, entry)| entry.address.ip());
        Self {
            table: spec.route_table(),
            daemons: daemons
                .map(|ip| EmulatedDaemon::new(ip, &view, now))
                .collect(),
            view,
            requests: SlotMap::with_key(),
            events: BinaryHeap::new(),
            changes,
            started: now,
            clock,
            load_factor: 1.0,
            next_number: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            tally: LoadTally::default(),
            spec,
        }
    }

    /// Runs the fleet for a time and returns the results of the requests that ended.
    pub fn run(mut self, length: Duration) -> LoadTally {
        let mut next_gate = self.started;
        while self.clock.now() < self.started + length {
            let now = self.clock.now();
            self.apply_changes();
            self.draw_arrivals();
            self.exchange_load();
            if now >= next_gate {
                next_gate = now + GATE_INTERVAL;
                (0..self.daemons.len()).for_each(|daemon| self.poll_gate(daemon));
            }
            let step_end = now + ARRIVAL_INTERVAL;
            while let Some(Reverse((at, _, event))) = self.events.peek().copied()
                && at < step_end
            {
                self.events.pop();
                self.clock
                    .advance(at.saturating_duration_since(self.clock.now()));
                self.handle_event(event);
            }
            self.clock.advance(step_end - self.clock.now());
        }
        self.tally
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::WorkDone(key) if self.requests.contains_key(key) => self.make_next_call(key),
            Event::WorkDone(_) => {}
            Event::Start(key) => self.start_run(key),
            Event::Return {
                route,
                entry,
                fingerprint,
            } => {
                self.enter_root(route, entry, fingerprint, true);
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_number += 1;
        let at = self.clock.now() + delay;
        self.events.push(Reverse((at, self.next_number, event)));
    }

    fn apply_changes(&mut self) {
        let now = self.clock.now();
        let elapsed = now - self.started;
        let due: Vec<FleetChange> = self
            .changes
            .extract_if(.., |(at, _)| *at <= elapsed)
            .map(|(_, change)| change)
            .collect();
        for change in due {
            match change {
                FleetChange::Load(factor) => self.load_factor = factor,
                FleetChange::Slow(index, factor) => self.daemons[index].slowness = factor,
                FleetChange::Refuse(index, share) => self.daemons[index].refused_share = share,
                FleetChange::NameLimit(index, rate) => {
                    let limit = rate.map(|rate| NamedLimit { rate });
                    self.daemons[index].limit_pacer.observe(limit, now, now);
                }
                FleetChange::Cut(index) => self.cut(index),
                FleetChange::RestartAll => self.restart_all(),
            }
        }
    }

    fn restart_all(&mut self) {
        let now = self.clock.now();
        self.requests.clear();
        for daemon in &mut self.daemons {
            let restarted = EmulatedDaemon::new(daemon.ip, &self.view, now);
            let previous = std::mem::replace(daemon, restarted);
            daemon.slowness = previous.slowness;
            daemon.refused_share = previous.refused_share;
            daemon.is_cut = previous.is_cut;
        }
        let daemons = self.daemons.iter().enumerate();
        let cut: Vec<usize> = daemons
            .filter(|(_, daemon)| daemon.is_cut)
            .map(|(index, _)| index)
            .collect();
        cut.into_iter().for_each(|index| self.cut(index));
    }

    fn cut(&mut self, index: usize) {
        let ip = self.daemons[index].ip;
        self.daemons[index].is_cut = true;
        for daemon in &mut self.daemons {
            daemon.selector.set_reachable(ip, false);
        }
    }

    fn draw_arrivals(&mut self) {
        let live: Vec<usize> = (0..self.daemons.len())
            .filter(|index| !self.daemons[*index].is_cut)
            .collect();
        for route in 0..self.spec.routes.len() {
            let expected =
                self.spec.routes[route].rate * self.load_factor * ARRIVAL_INTERVAL.as_secs_f64();
            let mut count = expected.floor();
            if self.rng.random::<f64>() < expected - count {
                count += 1.0;
            }
            for _ in 0..count as u32 {
                let entry = live[self.rng.random_range(0..live.len())];
                let fingerprint = self.rng.random();
                self.enter_root(route, entry, fingerprint, false);
            }
        }
    }

    /// Updates the plans of the daemons at which this is due, and sends their load to the others.
    fn exchange_load(&mut self) {
        let now = self.clock.now();
        for id in 0..self.daemons.len() {
            if self.daemons[id].is_cut || self.daemons[id].next_plan > now {
                continue;
            }
            let variation = LOAD_INTERVAL_VARIATION * (2.0 * self.rng.random::<f64>() - 1.0);
            self.daemons[id].next_plan = now + PLAN_INTERVAL.mul_f64(1.0 + variation);
            let summary = self.daemons[id].load_summary(id as u64, now);
            let service = &self.daemons[id].service;
            let same_service = self
                .daemons
                .iter()
                .filter(|other| other.service == *service);
            let service_daemons = same_service.count();
            let members = self.daemons.len();
            self.daemons[id].set_load_interval(regular_interval(members));
            let is_due =
                self.daemons[id]
                    .load_schedule
                    .is_due(&summary, members, service_daemons, now);
            for receiver in 0..self.daemons.len() {
                let is_lost = receiver != id
                    && (!is_due
                        || self.daemons[receiver].is_cut
                        || self.rng.random::<f64>() < self.spec.lost_load_share);
                if !is_lost {
                    self.daemons[receiver].record_summary(summary.clone(), now);
                }
            }
            self.daemons[id].update_plan(&self.table, now);
        }
    }

    fn enter_root(&mut self, route: usize, entry: usize, fingerprint: u64, is_return: bool) {
        let now = self.clock.now();
        let load = &self.spec.routes[route];
        let key = self.requests.insert(EmulatedRequest {
            route,
            entry,
            entered: now,
            deadline: now + load.timeout,
            parent: None,
            fingerprint,
            is_return,
            tried: Vec::new(),
            attempt: None,
            calls_left: Vec::new(),
        });
        let name = SmolStr::new_static(load.name);
        let daemon = &mut self.daemons[entry];
        daemon.counts.record_entered_request(&name, now);
        let share = daemon.plan.share(&name);
        let entering = EntryRequest {
            route: &name,
            share,
            fingerprint,
            is_important: false,
        };
        if daemon.entry_admission.admit(entering, now) {
            self.make_attempt(key);
        } else {
            self.finish(key, RequestEnd::Shed);
        }
    }

    /// Makes the next call of a run, or completes the run if there is none.
    fn make_next_call(&mut self, parent: RequestKey) {
        let now = self.clock.now();
        let request = &mut self.requests[parent];
        let Some(route) = request.calls_left.pop() else {
            return self.complete_run(parent, true);
        };
        let Some(attempt) = request.attempt else {
            return;
        };
        let load = &self.spec.routes[route];
        let deadline = request.deadline.min(now + load.timeout);
        let key = self.requests.insert(EmulatedRequest {
            route,
            entry: attempt.daemon,
            entered: now,
            deadline,
            parent: Some(parent),
            fingerprint: 0,
            is_return: false,
            tried: Vec::new(),
            attempt: None,
            calls_left: Vec::new(),
        });
        let name = SmolStr::new_static(load.name);
        let counts = &mut self.daemons[attempt.daemon].counts;
        counts.record_entered_request(&name, now);
        self.make_attempt(key);
    }

    /// Offers a request to the gate of the selected instance.
    fn make_attempt(&mut self, key: RequestKey) {
        let now = self.clock.now();
        let request = &self.requests[key];
        let load = &self.spec.routes[request.route];
        let is_nested = request.parent.is_some();
        let selection = SelectionRequest {
            service: load.service,
            route: load.name,
            latency_target: load.latency_target,
            needs_slot: !is_nested,
        };
        let selector = &mut self.daemons[request.entry].selector;
        let Some(selected) = selector.select(selection, &request.tried, now) else {
            return self.finish(key, RequestEnd::Busy);
        };
        let ip = selected.address.ip();
        let index = self.daemons.iter().position(|daemon| daemon.ip == ip);
        let index = index.expect("a daemon beside each instance");
        let daemon = &mut self.daemons[index];
        let expected_time = daemon.service_times.mean(load.name);
        let gate_request = request.gate_request(load, expected_time, now);
        let gate_key = daemon.gate.offer(gate_request, now);
        daemon.at_gate.insert(gate_key, key);
        let request = &mut self.requests[key];
        request.tried.push(selected.key);
        request.attempt = Some(EmulatedAttempt {
            daemon: index,
            instance: selected.key,
            gate_key,
            run: None,
        });
        self.poll_gate(index);
    }

    fn poll_gate(&mut self, index: usize) {
        let now = self.clock.now();
        for decision in self.daemons[index].gate.poll(now) {
            let daemon = &mut self.daemons[index];
            match decision {
                GateDecision::Start(gate_key) => {
                    if let Some(key) = daemon.at_gate.get(&gate_key).copied() {
                        self.reserve_start(key, index);
                    }
                }
                GateDecision::Shed(gate_key, _) => {
                    if let Some(key) = daemon.at_gate.swap_remove(&gate_key) {
                        self.refuse_attempt(key);
                    }
                }
            }
        }
    }

    /// Starts a run as soon as the named limit of the backend server allows it, or refuses it.
    fn reserve_start(&mut self, key: RequestKey, index: usize) {
        let now = self.clock.now();
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let max_wait = if request.parent.is_some() {
            request.deadline.saturating_duration_since(now) / NESTED_LIMIT_WAIT_DIVISOR
        } else {
            Duration::ZERO
        };
        let start = self.daemons[index].limit_pacer.reserve(max_wait, now);
        match start {
            Some(start) if start > now => self.schedule(start - now, Event::Start(key)),
            Some(_) => self.start_run(key),
            None => {
                let attempt = request.attempt.as_ref();
                let gate_key = attempt.map(|attempt| attempt.gate_key);
                let daemon = &mut self.daemons[index];
                if let Some(gate_key) = gate_key {
                    daemon.at_gate.swap_remove(&gate_key);
                    daemon.gate.finish(gate_key, WorkResult::Refused, now);
                }
                self.refuse_attempt(key);
            }
        }
    }

    fn start_run(&mut self, key: RequestKey) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(index) = request.attempt.as_ref().map(|attempt| attempt.daemon) else {
            return;
        };
        let load = &self.spec.routes[request.route];
        let daemon = &mut self.daemons[index];
        if self.rng.random::<f64>() < daemon.refused_share {
            return self.complete_run(key, false);
        }
        let run = daemon.counts.record_start(&load.name.into(), now);
        if let Some(attempt) = &mut request.attempt {
            attempt.run = Some((run, now));
        }
        let routes = &self.spec.routes;
        request.calls_left = load
            .calls
            .iter()
            .flat_map(|(called, count)| {
                let route = routes.iter().position(|route| route.name == *called);
                std::iter::repeat_n(route.expect("a called route"), *count as usize)
            })
            .collect();
        let variation = 1.0 - WORK_VARIATION + 2.0 * WORK_VARIATION * self.rng.random::<f64>();
        let work = load.work.mul_f64(daemon.slowness * variation);
        self.schedule(work, Event::WorkDone(key));
    }

    /// Ends an attempt that got no slot, and tries another instance.
    fn refuse_attempt(&mut self, key: RequestKey) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if let Some(attempt) = request.attempt.take() {
            let refusing = &self.daemons[attempt.daemon];
            let load = refusing.load(now);
            let notes = ServerNotes {
                named_rate: refusing.limit_pacer.limit().map(|limit| limit.rate),
                ..ServerNotes::default()
            };
            let selector = &mut self.daemons[request.entry].selector;
            selector.record_report(attempt.instance, load, None, now);
            selector.record_notes(attempt.instance, &notes);
            selector.record_result(attempt.instance, InstanceResult::Busy, now);
        }
        if now >= request.deadline || request.tried.len() >= MAX_REFUSALS {
            self.finish(key, RequestEnd::Busy);
        } else {
            self.make_attempt(key);
        }
    }

    fn complete_run(&mut self, key: RequestKey, is_successful: bool) {
        let now = self.clock.now();
        let request = &mut self.requests[key];
        let Some(attempt) = request.attempt.take() else {
            return;
        };
        let name = SmolStr::new_static(self.spec.routes[request.route].name);
        let daemon = &mut self.daemons[attempt.daemon];
        daemon.at_gate.swap_remove(&attempt.gate_key);
        daemon
            .gate
            .finish(attempt.gate_key, WorkResult::Completed, now);
        let mut time = None;
        if let Some((run, started)) = attempt.run {
            daemon.counts.record_end(run, is_successful, now);
            if is_successful {
                time = Some(daemon.service_times.record(&name, now - started));
            }
        }
        let load = daemon.load(now);
        let notes = ServerNotes {
            named_rate: daemon.limit_pacer.limit().map(|limit| limit.rate),
            ..ServerNotes::default()
        };
        let result = if is_successful {
            InstanceResult::Responded
        } else {
            InstanceResult::Failed
        };
        let selector = &mut self.daemons[request.entry].selector;
        let reported = time.map(|time| (&name, time));
        selector.record_report(attempt.instance, load, reported, now);
        selector.record_notes(attempt.instance, &notes);
        selector.record_result(attempt.instance, result, now);
        let target = self.spec.routes[request.route].latency_target;
        let end = if !is_successful {
            RequestEnd::Failed
        } else if now <= request.entered + target {
            RequestEnd::Served
        } else {
            RequestEnd::Late
        };
        self.finish(key, end);
        self.poll_gate(attempt.daemon);
    }

    /// Ends a request and continues or fails the run that waits for it.
    fn finish(&mut self, key: RequestKey, end: RequestEnd) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        let now = self.clock.now();
        let load = &self.spec.routes[request.route];
        self.tally.record(load.name, end, now - self.started);
        let is_refused = matches!(end, RequestEnd::Shed | RequestEnd::Busy);
        match request.parent {
            Some(parent) if self.requests.contains_key(parent) => {
                let counts = &mut self.daemons[request.entry].counts;
                counts.record_call_end(&load.name.into(), request.entered, now);
                if end == RequestEnd::Busy {
                    let counts = &mut self.daemons[request.entry].counts;
                    counts.record_unserved_call(load.name, now);
                }
                match end {
                    RequestEnd::Served | RequestEnd::Late => self.make_next_call(parent),
                    _ => self.complete_run(parent, false),
                }
            }
            None if is_refused && !request.is_return => {
                let part = RETRY_AFTER_TARGET_SHARE * (1.0 + self.rng.random::<f64>());
                let delay = load.latency_target.mul_f64(part);
                let event = Event::Return {
                    route: request.route,
                    entry: request.entry,
                    fingerprint: request.fingerprint,
                };
                self.schedule(delay, event);
            }
            _ => {}
        }
    }
}
