//! Calls of the local backend server, attributed to the routes whose runs make them.
//!
//! Calls carry no reference to the run that makes them. A call is attributed to the runs in flight
//! in proportion to the call rate estimated so far for their route at their age, which is one step
//! of expectation maximisation for Poisson rates. The ages distinguish routes whose runs are always
//! in flight together, since the runs of a route make their calls at similar ages.

use crate::{
    common::*,
    decision::mesh::{
        decayed_count::DecayedCount,
        load_summary::{EnteredRequests, RouteCalls, RouteRuns},
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
const RATE_TIME_CONSTANT_S: f64 = 1.0;

/// Upper bounds of the age buckets, in seconds; the last bucket has none.
const AGE_BOUNDS_S: [f64; AGE_BUCKETS - 1] = [0.003, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4];

/// Number of age buckets.
const AGE_BUCKETS: usize = 8;

/// Weight of a new sample in the mean duration of the runs of a route.
const SAMPLE_WEIGHT: f64 = 0.05;

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
}

/// Statistics of the runs of one route at the local backend server.
#[derive(Debug)]
struct RunStats {
    /// Run time spent in each age bucket, in seconds.
    exposure: AgeCounts,
    starts: DecayedCount,
    mean_time_s: f64,
}

/// Statistics of the requests of one route that entered at this daemon.
#[derive(Debug)]
struct EnteredStats {
    count: DecayedCount,
    rate: f64,
    rate_updated_at: Instant,
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
        if self.runs.len() < MAX_ROUTES || self.runs.contains_key(route) {
            self.runs
                .entry(route.clone())
                .or_insert_with(|| RunStats::new(now))
                .starts
                .add(1.0, now);
        }
        self.active.insert(ActiveRun {
            route: route.clone(),
            started: now,
        })
    }

    /// Records that a run ended. Its duration counts only if `is_successful` is true.
    pub fn record_end(&mut self, key: RunKey, is_successful: bool, now: Instant) {
        let Some(run) = self.active.remove(key) else {
            return;
        };
        let Some(stats) = self.runs.get_mut(&run.route) else {
            return;
        };
        let time = now.saturating_duration_since(run.started).as_secs_f64();
        let mut lower_bound = 0.0;
        for (age, count) in stats.exposure.iter_mut().enumerate() {
            let upper_bound = AGE_BOUNDS_S.get(age).copied().unwrap_or(f64::INFINITY);
            if time > lower_bound {
                count.add(time.min(upper_bound) - lower_bound, now);
            }
            lower_bound = upper_bound;
        }
        if is_successful {
            if stats.mean_time_s == 0.0 {
                stats.mean_time_s = time;
            }
            stats.mean_time_s += (time - stats.mean_time_s) * SAMPLE_WEIGHT;
        }
    }

    /// Records that a request entered at this daemon. `is_nested` is true if the local backend
    /// server sent it.
    pub fn record_entered_request(&mut self, route: &SmolStr, is_nested: bool, now: Instant) {
        if self.entered_requests.len() >= MAX_ROUTES && !self.entered_requests.contains_key(route) {
            return;
        }
        self.entered_requests
            .entry(route.clone())
            .or_insert_with(|| EnteredStats::new(now))
            .record_entered_request(now);
        if is_nested {
            self.attribute_call(route, now);
        }
    }

    /// Attributes a call to the routes of the runs in flight.
    fn attribute_call(&mut self, call: &SmolStr, now: Instant) {
        let mut in_flight = IndexMap::<&SmolStr, [u32; AGE_BUCKETS]>::new();
        for run in self.active.values() {
            let age = now.saturating_duration_since(run.started).as_secs_f64();
            let bucket = AGE_BOUNDS_S.partition_point(|bound| *bound <= age);
            in_flight.entry(&run.route).or_default()[bucket] += 1;
        }
        let mut weights: Vec<(SmolStr, [f64; AGE_BUCKETS])> = Vec::with_capacity(in_flight.len());
        for (route, counts) in in_flight {
            let key = (route.clone(), call.clone());
            let calls = self.calls.get(&key);
            let exposure = self.runs.get(route).map(|stats| &stats.exposure);
            let mut by_age = [0.0; AGE_BUCKETS];
            for (age, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
                let calls = calls.map_or(0.0, |calls| calls[age].get(now));
                let exposure = exposure.map_or(0.0, |exposure| exposure[age].get(now));
                let rate =
                    (calls + PRIOR_CALL_RATE * PRIOR_EXPOSURE_S) / (exposure + PRIOR_EXPOSURE_S);
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
                .or_insert_with(|| [DecayedCount::new(now); AGE_BUCKETS]);
            for (count, weight) in counts.iter_mut().zip(by_age) {
                count.add(weight / total, now);
            }
        }
    }

    /// Returns the requests that entered at this daemon, by route.
    pub fn entered_requests(&self, now: Instant) -> Vec<EnteredRequests> {
        let entered_requests = self.entered_requests.iter();
        entered_requests
            .map(|(route, stats)| EnteredRequests {
                route: route.clone(),
                rate: stats.rate(now) as f32,
                count: stats.count.get(now) as f32,
            })
            .filter(|requests| requests.count >= MIN_REPORTED_COUNT)
            .collect()
    }

    /// Returns the runs at the local backend server, by route.
    pub fn runs(&self, now: Instant) -> Vec<RouteRuns> {
        let runs = self.runs.iter();
        runs.map(|(route, stats)| RouteRuns {
            route: route.clone(),
            starts: stats.starts.get(now) as f32,
            mean_time_s: stats.mean_time_s as f32,
        })
        .filter(|run| run.starts >= MIN_REPORTED_COUNT)
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

impl RunStats {
    fn new(now: Instant) -> Self {
        Self {
            exposure: [DecayedCount::new(now); AGE_BUCKETS],
            starts: DecayedCount::new(now),
            mean_time_s: 0.0,
        }
    }
}

impl EnteredStats {
    fn new(now: Instant) -> Self {
        Self {
            count: DecayedCount::new(now),
            rate: 0.0,
            rate_updated_at: now,
        }
    }

    fn record_entered_request(&mut self, now: Instant) {
        self.count.add(1.0, now);
        self.rate = self.rate(now) + 1.0 / RATE_TIME_CONSTANT_S;
        self.rate_updated_at = now;
    }

    /// Returns the exponentially weighted average of the requests per second.
    fn rate(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.rate_updated_at)
            .as_secs_f64();
        self.rate * (-age / RATE_TIME_CONSTANT_S).exp()
    }
}
