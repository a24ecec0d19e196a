//! Calls of the own backend server, attributed to the routes whose runs make them.
//!
//! Calls carry no link to the run that makes them. A call is attributed to the routes in flight in
//! proportion to the runs of each and to the call rate learned for it so far, which is one step of
//! expectation maximisation for Poisson rates. The numbers in flight vary, so that the rates of routes
//! that make no calls fall to zero.

use crate::{
    common::*,
    decision::mesh::{
        decayed_count::DecayedCount,
        load_summary::{CallShare, EnteredRoute, RunRoute},
    },
};

/// Calls per run second of a route without evidence, as a prior. A high prior would attribute calls of
/// busy routes to rare ones that happen to run beside them.
const PRIOR_RATE: f64 = 0.3;

/// Share of a call below which a route counts as an unlikely sender. Routes that always run side by
/// side look alike to the estimate; without this rule a rare route keeps its share of calls that it
/// never makes.
const MINOR_SHARE: f64 = 0.25;

/// Run seconds that the prior weighs as much as.
const PRIOR_EXPOSURE: f64 = 0.2;

/// Period over which the offered rate is averaged, in seconds.
const RATE_PERIOD: f64 = 1.0;

/// Runs of one route at the own backend server.
#[derive(Debug)]
struct RunState {
    in_flight: u32,
    since: Instant,
    exposure: DecayedCount,
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
    runs: IndexMap<SmolStr, RunState>,
    entries: IndexMap<SmolStr, EntryState>,
    calls: IndexMap<(SmolStr, SmolStr), DecayedCount>,
}

/// Weight of a new duration in the mean.
const TIME_WEIGHT: f64 = 0.05;

/// Most routes that are followed.
const MAX_ROUTES: usize = 1_024;

impl CallCounts {
    /// Records that a run of a route started.
    pub fn on_start(&mut self, route: &SmolStr, now: Instant) {
        if self.runs.len() >= MAX_ROUTES && !self.runs.contains_key(route) {
            return;
        }
        let state = self
            .runs
            .entry(route.clone())
            .or_insert_with(|| RunState::new(now));
        state.settle(now);
        state.in_flight += 1;
        state.starts.add(1.0, now);
    }

    /// Records that a run of a route ended; `time` is its duration if it was answered.
    pub fn on_end(&mut self, route: &str, time: Option<Duration>, now: Instant) {
        let Some(state) = self.runs.get_mut(route) else {
            return;
        };
        state.settle(now);
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(time) = time.map(|time| time.as_secs_f64()) {
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

    fn attribute(&mut self, route: &SmolStr, now: Instant) {
        let weights: Vec<(SmolStr, f64)> = self
            .runs
            .iter()
            .filter(|(_, state)| state.in_flight > 0)
            .map(|(run, state)| {
                let key = (run.clone(), route.clone());
                let calls = self.calls.get(&key).map_or(0.0, |count| count.get(now));
                let exposure = state.exposure.get(now);
                let rate = (calls + PRIOR_RATE * PRIOR_EXPOSURE) / (exposure + PRIOR_EXPOSURE);
                (run.clone(), rate * f64::from(state.in_flight))
            })
            .collect();
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return;
        }
        let discount = |weight: f64| weight * (weight / total / MINOR_SHARE).min(1.0);
        let total: f64 = weights.iter().map(|(_, weight)| discount(*weight)).sum();
        for (run, weight) in weights {
            let weight = discount(weight);
            self.calls
                .entry((run, route.clone()))
                .or_insert_with(|| DecayedCount::new(now))
                .add(weight / total, now);
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
        .collect()
    }

    /// Returns the calls that are attributed to each route.
    pub fn calls(&self, now: Instant) -> Vec<CallShare> {
        let calls = self.calls.iter();
        calls
            .map(|((run, call), count)| CallShare {
                run: run.clone(),
                call: call.clone(),
                count: count.get(now) as f32,
            })
            .collect()
    }
}

impl RunState {
    fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            since: now,
            exposure: DecayedCount::new(now),
            starts: DecayedCount::new(now),
            mean_time: 0.0,
        }
    }

    fn settle(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.since).as_secs_f64();
        self.exposure.add(seconds * f64::from(self.in_flight), now);
        self.since = now;
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
