//! Steps of emulated requests: entry, attempts, runs, calls and ends.

use super::{Event, FleetEmulator};
use crate::{
    common::*,
    decision::{
        admission::admission_gate::{GateDecision, WorkResult},
        clock::Clock,
        mesh::{
            entry_admission::EntryRequest,
            instance_selector::{InstanceResult, SelectionRequest},
            server_notes::ServerNotes,
        },
    },
    emulator::{
        emulated_request::{EmulatedAttempt, EmulatedRequest, RequestKey},
        load_tally::RequestEnd,
    },
    mesh::{attempt_history::MAX_REFUSALS, executor::NESTED_LIMIT_WAIT_DIVISOR},
};
use rand::RngExt;

/// Part of the latency target after which a refused caller returns, and the part that is added at
/// random.
const RETRY_AFTER_TARGET_SHARE: f64 = 0.25;

/// Variation of the work of single runs: the work is between 1 minus this and 1 plus this times the
/// mean.
const WORK_VARIATION: f64 = 0.5;

impl FleetEmulator {
    pub(super) fn enter_root(
        &mut self,
        route: usize,
        entry: usize,
        fingerprint: u64,
        is_return: bool,
    ) {
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
    pub(super) fn make_next_call(&mut self, parent: RequestKey) {
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
        request.tried.push(selected.address);
        request.attempt = Some(EmulatedAttempt {
            daemon: index,
            instance: selected.key,
            gate_key,
            run: None,
        });
        self.poll_gate(index);
    }

    pub(super) fn poll_gate(&mut self, index: usize) {
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

    pub(super) fn start_run(&mut self, key: RequestKey) {
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
