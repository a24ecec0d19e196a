//! Emulator of the allotments of a fleet in virtual time.
//!
//! Each daemon has the ledger of production, and daemons exchange their demand like their load. The
//! requests of callers are data; they run at once, so that only allotments refuse them.

use crate::{
    common::*,
    decision::{
        clock::{Clock, ManualClock},
        mesh::load_schedule::regular_interval,
        organisation::{
            allotment_bounds::AllotmentBounds,
            allotment_ledger::AllotmentLedger,
            organisation_demand::DemandReport,
            organisation_spec::{OrganisationSpec, RequestAllotment},
            organisation_table::OrganisationTable,
        },
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::VecDeque, net::IpAddr, ops::Range};

/// Length of one step.
const STEP: Duration = Duration::from_millis(5);

/// Time from the start of the daemons until the first requests.
pub const START_TIME: Duration = Duration::from_secs(10);

/// Callers of one organisation at one daemon.

#[derive(Clone, Copy, Debug)]
pub struct CallerGroup {
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the daemon at which the requests enter.
    pub entry: usize,
    /// Requests per second.
    pub rate: f64,
}

/// Fault or change during an emulation.
#[derive(Clone, Debug)]
pub enum AllotmentChange {
    /// The requests of an organisation are multiplied by a factor.
    Load(usize, f64),
    /// The allotment of an organisation changes. It binds one window later.
    Allotment(usize, RequestAllotment),
    /// All daemons lose their state.
    RestartAll,
    /// These daemons exchange nothing with the others.
    Cut(Range<usize>),
    /// All daemons exchange their demand again.
    Heal,
    /// The callers of an organisation use the daemons behind theirs.
    Move(usize),
}

/// Requests of one organisation.
#[derive(Clone, Debug, Default)]
pub struct AllotmentTally {
    /// Granted requests.
    pub granted: u64,
    /// Refused requests.
    pub refused: u64,
    /// Most requests that were granted in any window of the bounds.
    pub most_in_window: usize,
    recent: VecDeque<Instant>,
    /// Time from which windows are counted.
    binds_from: Option<Instant>,
}

impl AllotmentTally {
    /// Returns the share of the requests that were granted.
    pub fn granted_share(&self) -> f64 {
        self.granted as f64 / (self.granted + self.refused).max(1) as f64
    }

    fn record(&mut self, is_granted: bool, window: Duration, now: Instant) {
        if !is_granted {
            self.refused += 1;
            return;
        }
        self.granted += 1;
        if self.binds_from.is_some_and(|at| now < at) {
            return;
        }
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| *at + window < now) {
            self.recent.pop_front();
        }
        self.most_in_window = self.most_in_window.max(self.recent.len());
    }
}

/// Fleet of daemons that share allotments.
pub struct AllotmentFleet {
    bounds: AllotmentBounds,
    organisations: Vec<OrganisationSpec>,
    table: OrganisationTable,
    callers: Vec<CallerGroup>,
    factors: Vec<f64>,
    ledgers: Vec<AllotmentLedger>,
    next_update: Vec<Instant>,
    cut: Range<usize>,
    changes: Vec<(Duration, AllotmentChange)>,
    clock: ManualClock,
    started: Instant,
    rng: Pcg64Mcg,
    tallies: Vec<AllotmentTally>,
}

impl AllotmentFleet {
    /// Creates a fleet with changes at times since the first requests.
    pub fn new(
        daemons: usize,
        bounds: AllotmentBounds,
        organisations: Vec<OrganisationSpec>,
        callers: Vec<CallerGroup>,
        changes: Vec<(Duration, AllotmentChange)>,
        seed: u64,
    ) -> Self {
        let clock = ManualClock::new();
        let now = clock.now();
        Self {
            factors: vec![1.0; organisations.len()],
            tallies: vec![AllotmentTally::default(); organisations.len()],
            ledgers: (0..daemons)
                .map(|id| AllotmentLedger::new(bounds, id as u64, now))
                .collect(),
            next_update: vec![now; daemons],
            cut: 0..0,
            bounds,
            table: table(&organisations),
            organisations,
            callers,
            changes,
            started: now,
            clock,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs the fleet for a time from the first requests on and returns the requests of each organisation.
    pub fn run(mut self, length: Duration) -> Vec<AllotmentTally> {
        while self.clock.now() < self.started + START_TIME + length {
            self.apply_changes();
            self.exchange_demand();
            self.draw_requests();
            self.clock.advance(STEP);
        }
        self.tallies
    }

    fn apply_changes(&mut self) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(self.started + START_TIME);
        let due = self.changes.extract_if(.., |(at, _)| *at <= elapsed);
        for (_, change) in due.collect::<Vec<_>>() {
            match change {
                AllotmentChange::Load(index, factor) => self.factors[index] = factor,
                AllotmentChange::Allotment(index, allotment) => {
                    self.organisations[index].allotment = Some(allotment);
                    self.table = table(&self.organisations);
                    let window = Duration::from_secs_f64(self.bounds.window_s);
                    let tally = &mut self.tallies[index];
                    tally.recent.clear();
                    tally.most_in_window = 0;
                    tally.binds_from = Some(now + window);
                }
                AllotmentChange::RestartAll => {
                    for (id, ledger) in self.ledgers.iter_mut().enumerate() {
                        *ledger = AllotmentLedger::new(self.bounds, id as u64, now);
                    }
                    self.next_update.fill(now);
                }
                AllotmentChange::Cut(range) => self.cut = range,
                AllotmentChange::Heal => self.cut = 0..0,
                AllotmentChange::Move(index) => {
                    let daemons = self.ledgers.len();
                    let callers = self.callers.iter_mut();
                    for group in callers.filter(|group| group.organisation == index) {
                        group.entry = (group.entry + daemons / 2) % daemons;
                    }
                }
            }
        }
    }

    /// Updates the shares of the daemons at which this is due, and tells the others their demand.
    fn exchange_demand(&mut self) {
        let now = self.clock.now();
        let daemons = self.ledgers.len();
        let interval = regular_interval(daemons);
        for id in 0..daemons {
            if self.next_update[id] > now {
                continue;
            }
            self.next_update[id] = now + interval.mul_f64(0.9 + 0.2 * self.rng.random::<f64>());
            let report = self.ledgers[id].update(&self.table, daemons, now);
            self.send(id, &report, now);
        }
    }

    fn send(&mut self, id: usize, report: &DemandReport, now: Instant) {
        let ip = IpAddr::from((id as u128).to_be_bytes());
        let is_cut = self.cut.contains(&id);
        for (receiver, ledger) in self.ledgers.iter_mut().enumerate() {
            if receiver != id && self.cut.contains(&receiver) == is_cut {
                ledger.record_peer(ip, report, now);
            }
        }
    }

    fn draw_requests(&mut self) {
        let now = self.clock.now();
        if now < self.started + START_TIME {
            return;
        }
        let window = Duration::from_secs_f64(self.bounds.window_s);
        for group in &self.callers {
            let index = group.organisation;
            let expected = group.rate * self.factors[index] * STEP.as_secs_f64();
            if self.rng.random::<f64>() >= expected {
                continue;
            }
            let taken = self.ledgers[group.entry].take(&self.organisations[index], now);
            self.tallies[index].record(taken.is_ok(), window, now);
        }
    }
}

fn table(organisations: &[OrganisationSpec]) -> OrganisationTable {
    OrganisationTable::new(organisations.to_vec()).expect("valid organisations")
}
