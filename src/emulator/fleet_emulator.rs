//! Emulator that moves requests through a fleet in virtual time.

mod request_flow;

use crate::{
    common::*,
    decision::{
        clock::{Clock, ManualClock},
        mesh::{
            fleet_view::FleetView,
            load_schedule::{PLAN_INTERVAL, regular_interval},
            named_limit::NamedLimit,
            route_table::RouteTable,
        },
    },
    emulator::{
        emulated_daemon::EmulatedDaemon,
        emulated_request::{EmulatedRequest, RequestKey},
        fleet_spec::{FleetChange, FleetSpec},
        load_tally::LoadTally,
    },
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
}
