//! Calls of the own backend server, attributed to the routes whose runs make them.
//!
//! Calls carry no link to the run that makes them. A call is attributed to the runs in flight in
//! proportion to the call rate that was learned so far for their route at their age, which is one step
//! of expectation maximisation for Poisson rates. The ages tell routes apart whose runs are always in
//! flight side by side, since the runs of a route make their calls at similar ages.

use crate::{
    common::*,
    decision::mesh::{
        decayed_count::DecayedCount,
        load_summary::{CallShare, EnteredRoute, RunRoute},
    },
};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a run in flight at the own backend server.
    pub struct RunKey;
}

/// Calls per run second of a route without evidence, as a prior. A high prior would attribute calls of
/// busy routes to rare ones that happen to run beside them.
const PRIOR_RATE: f64 = 0.3;

/// Run seconds in one age class that the prior weighs as much as. A route with ten runs a second spends
/// as much in the shortest class within a second.
const PRIOR_EXPOSURE: f64 = 0.03;

/// Period over which the offered rate is averaged, in seconds.
const RATE_PERIOD: f64 = 1.0;

/// Upper bounds of the ages that are told apart, in seconds; the last class has none.
const AGE_BOUNDS: [f64; AGES - 1] = [0.003, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4];

/// Number of age classes.
const AGES: usize = 8;

/// Weight of a new duration in the mean.
const TIME_WEIGHT: f64 = 0.05;

/// Least count that is told: one event is below it after 24 s. Routes without traffic would fill the
/// messages otherwise.
const LEAST_COUNT: f32 = 0.05;

/// Most routes that are followed.
const MAX_ROUTES: usize = 1_024;

/// Counts by the age of runs.
type AgeCounts = [DecayedCount; AGES];

#[derive(Debug)]
struct ActiveRun {
    route: SmolStr,
    started: Instant,
}

/// Runs of one route at the own backend server.
#[derive(Debug)]
struct RunState {
    exposure: AgeCounts,
    starts: DecayedCount,
    mean_time: f64,
}

/// Requests of one route that entered here.
#[derive(Debug)]
struct EntryState {
    count: DecayedCount,
    rate: f64,
    rate_at: Instant,
}

/// Runs and calls that one daemon sees.
#[derive(Debug, Default)]
pub struct CallCounts {
    active: SlotMap<RunKey, ActiveRun>,
    runs: IndexMap<SmolStr, RunState>,
    entries: IndexMap<SmolStr, EntryState>,
    calls: IndexMap<(SmolStr, SmolStr), AgeCounts>,
}

impl CallCounts {
    /// Records that a run of a route started.
    pub fn on_start(&mut self, route: &SmolStr, now: Instant) -> RunKey {
        if self.runs.len() < MAX_ROUTES || self.runs.contains_key(route) {
            self.runs
                .entry(route.clone())
                .or_insert_with(|| RunState::new(now))
                .starts
                .add(1.0, now);
        }
        self.active.insert(ActiveRun {
            route: route.clone(),
            started: now,
        })
    }

    /// Records that a run ended; `is_answered` tells whether its duration counts.
    pub fn on_end(&mut self, key: RunKey, is_answered: bool, now: Instant) {
        let Some(run) = self.active.remove(key) else {
            return;
        };
        let Some(state) = self.runs.get_mut(&run.route) else {
            return;
        };
        let time = now.saturating_duration_since(run.started).as_secs_f64();
        let mut begin = 0.0;
        for (age, count) in state.exposure.iter_mut().enumerate() {
            let end = AGE_BOUNDS.get(age).copied().unwrap_or(f64::INFINITY);
            if time > begin {
                count.add(time.min(end) - begin, now);
            }
            begin = end;
        }
        if is_answered {
            if state.mean_time == 0.0 {
                state.mean_time = time;
            }
            state.mean_time += (time - state.mean_time) * TIME_WEIGHT;
        }
    }

    /// Records that a request entered here. `is_call` tells that the own backend server sent it.
    pub fn on_entry(&mut self, route: &SmolStr, is_call: bool, now: Instant) {
        if self.entries.len() >= MAX_ROUTES && !self.entries.contains_key(route) {
            return;
        }
        self.entries
            .entry(route.clone())
            .or_insert_with(|| EntryState::new(now))
            .on_entry(now);
        if is_call {
            self.attribute(route, now);
        }
    }

    fn attribute(&mut self, call: &SmolStr, now: Instant) {
        let mut in_flight = IndexMap::<&SmolStr, [u32; AGES]>::new();
        for run in self.active.values() {
            let age = now.saturating_duration_since(run.started).as_secs_f64();
            let class = AGE_BOUNDS.partition_point(|bound| *bound <= age);
            in_flight.entry(&run.route).or_default()[class] += 1;
        }
        let mut weights: Vec<(SmolStr, [f64; AGES])> = Vec::with_capacity(in_flight.len());
        for (route, counts) in in_flight {
            let key = (route.clone(), call.clone());
            let calls = self.calls.get(&key);
            let exposure = self.runs.get(route).map(|state| &state.exposure);
            let mut by_age = [0.0; AGES];
            for (age, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
                let calls = calls.map_or(0.0, |calls| calls[age].get(now));
                let exposure = exposure.map_or(0.0, |exposure| exposure[age].get(now));
                let rate = (calls + PRIOR_RATE * PRIOR_EXPOSURE) / (exposure + PRIOR_EXPOSURE);
                by_age[age] = rate * f64::from(*count);
            }
            weights.push((key.0, by_age));
        }
        let total: f64 = weights.iter().flat_map(|(_, by_age)| by_age).sum();
        if total <= 0.0 {
            return;
        }
        for (route, by_age) in weights {
            let counts = self
                .calls
                .entry((route, call.clone()))
                .or_insert_with(|| [DecayedCount::new(now); AGES]);
            for (count, weight) in counts.iter_mut().zip(by_age) {
                count.add(weight / total, now);
            }
        }
    }

    /// Returns what entered here.
    pub fn entered(&self, now: Instant) -> Vec<EnteredRoute> {
        let entries = self.entries.iter();
        entries
            .map(|(route, state)| EnteredRoute {
                route: route.clone(),
                rate: state.rate(now) as f32,
                count: state.count.get(now) as f32,
            })
            .filter(|entered| entered.count >= LEAST_COUNT)
            .collect()
    }

    /// Returns what ran here.
    pub fn runs(&self, now: Instant) -> Vec<RunRoute> {
        let runs = self.runs.iter();
        runs.map(|(route, state)| RunRoute {
            route: route.clone(),
            starts: state.starts.get(now) as f32,
            time_s: state.mean_time as f32,
        })
        .filter(|run| run.starts >= LEAST_COUNT)
        .collect()
    }

    /// Returns the calls that are attributed to each route.
    pub fn calls(&self, now: Instant) -> Vec<CallShare> {
        let calls = self.calls.iter();
        calls
            .map(|((run, call), count)| CallShare {
                run: run.clone(),
                call: call.clone(),
                count: count.iter().map(|count| count.get(now)).sum::<f64>() as f32,
            })
            .filter(|share| share.count >= LEAST_COUNT)
            .collect()
    }
}

impl RunState {
    fn new(now: Instant) -> Self {
        Self {
            exposure: [DecayedCount::new(now); AGES],
            starts: DecayedCount::new(now),
            mean_time: 0.0,
        }
    }
}

impl EntryState {
    fn new(now: Instant) -> Self {
        Self {
            count: DecayedCount::new(now),
            rate: 0.0,
            rate_at: now,
        }
    }

    fn on_entry(&mut self, now: Instant) {
        self.count.add(1.0, now);
        self.rate = self.rate(now) + 1.0 / RATE_PERIOD;
        self.rate_at = now;
    }

    /// Returns the requests per second, averaged with exponential weights.
    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.rate_at).as_secs_f64();
        self.rate * (-age / RATE_PERIOD).exp()
    }
}
