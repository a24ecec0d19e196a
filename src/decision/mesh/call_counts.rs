//! Calls of the local backend server, attributed to the routes whose runs make them.
//!
//! Calls carry no reference to the run that makes them. A run waits for its calls, so when a call ends,
//! it is attributed to the runs that have been in flight since it began, in proportion to the call
//! rate estimated so far for their route at their age, which is one step of expectation maximisation
//! for Poisson rates. The ages distinguish routes whose runs are always in flight together, since the
//! runs of a route make their calls at similar ages.

use crate::{
    common::*,
    decision::{
        event_rate::EventRate,
        mesh::{
            decayed_count::DecayedCount,
            load_summary::{EnteredRequests, RouteCalls, RouteRuns},
        },
    },
};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a run in flight at the local backend server.
    pub struct RunKey;
}

/// Prior estimate of the calls of a route per second of run time. A high prior would attribute
/// calls of busy routes to rare routes that happen to run at the same time.
const PRIOR_CALL_RATE: f64 = 0.3;

/// Weight of the prior, as seconds of run time in one age bucket. A route with ten runs per second
/// spends as much in the shortest bucket within a second.
const PRIOR_EXPOSURE_S: f64 = 0.03;

/// Time constant of the average of the request rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 0.5;

/// Time constant of the average rate of unserved requests, in seconds. It is short, so that an
/// overload that has ended is not answered twice.
const UNSERVED_TIME_CONSTANT_S: f64 = 0.25;

/// Upper bounds of the age buckets, in seconds; the last bucket has none.
const AGE_BOUNDS_S: [f64; AGE_BUCKETS - 1] = [0.003, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4];

/// Number of age buckets.
const AGE_BUCKETS: usize = 8;

/// Smallest weight of a new sample in the mean duration of the runs of a route.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Time constant of the mean duration of the runs of a route with few runs, in seconds.
const MEAN_TIME_CONSTANT_S: f64 = 2.0;

/// Weight of a failed run and its calls. A run fails at its first failed call and would make more
/// calls with free slots, but after a restart during an overload no runs succeed at first.
const FAILED_RUN_WEIGHT: f64 = 0.1;

/// Runs without calls with which the count of a route's runs starts, so that its calls per run are
/// not overestimated. They decay like observed runs, so the estimate lasts while no run succeeds.
const PRIOR_RUNS: f64 = 1.0;

/// Maximum number of calls that are attributed to one run in flight.
const MAX_CALLS_PER_RUN: usize = 256;

/// Smallest count that is reported: a single event falls below it after 24 s. Without a minimum,
/// routes without traffic would fill the messages.
const MIN_REPORTED_COUNT: f32 = 0.05;

/// Maximum number of routes whose runs or entered requests are measured.
const MAX_ROUTES: usize = 1_024;

/// Decayed counts by the age bucket of the runs.
type AgeCounts = [DecayedCount; AGE_BUCKETS];

#[derive(Debug)]
struct ActiveRun {
    route: SmolStr,
    started: Instant,
    /// Parts of calls that are attributed to the run, with its age bucket at the call.
    calls: Vec<(SmolStr, usize, f64)>,
}

/// Statistics of the runs of one route at the local backend server.
#[derive(Debug)]
struct RunStats {
    /// Run time spent in each age bucket, in seconds.
    exposure: AgeCounts,
    count: DecayedCount,
    mean_time_s: f64,
    mean_updated_at: Instant,
}

/// Statistics of the requests of one route that entered at this daemon.
#[derive(Debug)]
struct EnteredStats {
    count: DecayedCount,
    rate: EventRate,
    unserved_rate: EventRate,
}

/// Requests that entered at one daemon, and the runs and calls of its backend server.
#[derive(Debug, Default)]
pub struct CallCounts {
    active: SlotMap<RunKey, ActiveRun>,
    runs: IndexMap<SmolStr, RunStats>,
    entered_requests: IndexMap<SmolStr, EnteredStats>,
    calls: IndexMap<(SmolStr, SmolStr), AgeCounts>,
}

impl CallCounts {
    /// Records that a run of a route started.
    pub fn record_start(&mut self, route: &SmolStr, now: Instant) -> RunKey {
        self.active.insert(ActiveRun {
            route: route.clone(),
            started: now,
            calls: Vec::new(),
        })
    }

    /// Records that a run ended. A failed one counts with `FAILED_RUN_WEIGHT`, and its duration only
    /// until a run of the route has succeeded.
    pub fn record_end(&mut self, key: RunKey, is_successful: bool, now: Instant) {
        let Some(run) = self.active.remove(key) else {
            return;
        };
        let has_room = self.runs.len() < MAX_ROUTES || self.runs.contains_key(&run.route);
        if !has_room {
            return;
        }
        let run_weight = if is_successful {
            1.0
        } else {
            FAILED_RUN_WEIGHT
        };
        for (call, age, weight) in run.calls {
            let counts = self
                .calls
                .entry((run.route.clone(), call))
                .or_insert_with(|| [DecayedCount::new(now); AGE_BUCKETS]);
            counts[age].add(weight * run_weight, now);
        }
        let stats = self
            .runs
            .entry(run.route)
            .or_insert_with(|| RunStats::new(now));
        stats.count.add(run_weight, now);
        let time = now.saturating_duration_since(run.started).as_secs_f64();
        let mut lower_bound = 0.0;
        for (age, count) in stats.exposure.iter_mut().enumerate() {
            let upper_bound = AGE_BOUNDS_S.get(age).copied().unwrap_or(f64::INFINITY);
            if time > lower_bound {
                count.add((time.min(upper_bound) - lower_bound) * run_weight, now);
            }
            lower_bound = upper_bound;
        }
        if is_successful || stats.mean_time_s == 0.0 {
            stats.record_time(time, now);
        }
    }

    /// Records that a request entered at this daemon.
    pub fn record_entered_request(&mut self, route: &SmolStr, now: Instant) {
        if self.entered_requests.len() >= MAX_ROUTES && !self.entered_requests.contains_key(route) {
            return;
        }
        self.entered_requests
            .entry(route.clone())
            .or_insert_with(|| EnteredStats::new(now))
            .record_entered_request(now);
    }

    /// Records that a nested call to a route was not run for lack of a slot.
    pub fn record_unserved_call(&mut self, route: &str, now: Instant) {
        if let Some(stats) = self.entered_requests.get_mut(route) {
            stats.unserved_rate.record(now);
        }
    }

    /// Records the end of a call that the local backend server made at `started`, and attributes it to
    /// the routes of the runs that have been in flight since.
    pub fn record_call_end(&mut self, call: &SmolStr, started: Instant, now: Instant) {
        let mut rates = IndexMap::<SmolStr, [f64; AGE_BUCKETS]>::new();
        for run in self.active.values().filter(|run| run.started <= started) {
            if !rates.contains_key(&run.route) {
                let route_rates = self.call_rates(&run.route, call, now);
                rates.insert(run.route.clone(), route_rates);
            }
        }
        let weight = |run: &ActiveRun| {
            let age = run.age_bucket(started);
            (age, rates[&run.route][age])
        };
        let possible = self.active.values().filter(|run| run.started <= started);
        let total: f64 = possible.map(|run| weight(run).1).sum();
        if total <= 0.0 {
            return;
        }
        let possible = self.active.values_mut();
        for run in possible.filter(|run| run.started <= started) {
            let (age, weight) = weight(run);
            if run.calls.len() < MAX_CALLS_PER_RUN {
                run.calls.push((call.clone(), age, weight / total));
            }
        }
    }

    /// Returns the estimated calls per second that a run of a route makes to another route, by the
    /// age of the run.
    fn call_rates(&self, route: &SmolStr, call: &SmolStr, now: Instant) -> [f64; AGE_BUCKETS] {
        let calls = self.calls.get(&(route.clone(), call.clone()));
        let stats = self.runs.get(route);
        std::array::from_fn(|age| {
            let calls = calls.map_or(0.0, |calls| calls[age].get(now));
            let exposure = stats.map_or(0.0, |stats| stats.exposure[age].get(now));
            (calls + PRIOR_CALL_RATE * PRIOR_EXPOSURE_S) / (exposure + PRIOR_EXPOSURE_S)
        })
    }

    /// Returns the requests that entered at this daemon, by route.
    pub fn entered_requests(&self, now: Instant) -> Vec<EnteredRequests> {
        let entered_requests = self.entered_requests.iter();
        entered_requests
            .map(|(route, stats)| EnteredRequests {
                route: route.clone(),
                rate: stats.rate.get(now) as f32,
                count: stats.count.get(now) as f32,
                unserved_rate: stats.unserved_rate.get(now) as f32,
            })
            .filter(|requests| requests.count >= MIN_REPORTED_COUNT)
            .collect()
    }

    /// Returns the runs at the local backend server, by route.
    pub fn runs(&self, now: Instant) -> Vec<RouteRuns> {
        let runs = self.runs.iter();
        runs.map(|(route, stats)| RouteRuns {
            route: route.clone(),
            count: stats.count.get(now) as f32,
            mean_time_s: stats.mean_time_s as f32,
        })
        .filter(|run| run.count >= MIN_REPORTED_COUNT)
        .collect()
    }

    /// Returns the calls that are attributed to the runs of each route.
    pub fn calls(&self, now: Instant) -> Vec<RouteCalls> {
        let calls = self.calls.iter();
        calls
            .map(|((run, call), counts)| RouteCalls {
                run_route: run.clone(),
                call_route: call.clone(),
                count: counts.iter().map(|count| count.get(now)).sum::<f64>() as f32,
            })
            .filter(|calls| calls.count >= MIN_REPORTED_COUNT)
            .collect()
    }
}

impl ActiveRun {
    fn age_bucket(&self, now: Instant) -> usize {
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        AGE_BOUNDS_S.partition_point(|bound| *bound <= age)
    }
}

impl RunStats {
    fn new(now: Instant) -> Self {
        let mut count = DecayedCount::new(now);
        count.add(PRIOR_RUNS, now);
        Self {
            exposure: [DecayedCount::new(now); AGE_BUCKETS],
            count,
            mean_time_s: 0.0,
            mean_updated_at: now,
        }
    }

    /// Adds the duration of a run to the mean. Samples that come rarely weigh more, so that the mean
    /// follows the load also while few requests are admitted.
    fn record_time(&mut self, time_s: f64, now: Instant) {
        let since_last = now.saturating_duration_since(self.mean_updated_at);
        let elapsed = since_last.as_secs_f64() / MEAN_TIME_CONSTANT_S;
        let weight = (1.0 - (-elapsed).exp()).max(MIN_SAMPLE_WEIGHT);
        if self.mean_time_s == 0.0 {
            self.mean_time_s = time_s;
        }
        self.mean_time_s += (time_s - self.mean_time_s) * weight;
        self.mean_updated_at = now;
    }
}

impl EnteredStats {
    fn new(now: Instant) -> Self {
        Self {
            count: DecayedCount::new(now),
            rate: EventRate::new(RATE_TIME_CONSTANT_S, now),
            unserved_rate: EventRate::new(UNSERVED_TIME_CONSTANT_S, now),
        }
    }

    fn record_entered_request(&mut self, now: Instant) {
        self.count.add(1.0, now);
        self.rate.record(now);
    }
}
