//! Concurrency limit that adapts to measured latency and to refusals.

use crate::{
    common::*,
    decision::{admission::admission_gate::WorkResult, profile::service_profile::AdmissionLimits},
};

/// Relative distance of the two compared limits from their centre.
const SPREAD: f64 = 0.15;

/// Samples that a phase needs before it is compared.
const MIN_SAMPLES: u32 = 64;

/// Minimum ratio between the mean concurrencies of two phases for them to be compared. A smaller
/// ratio means that the limit was not reached.
const MIN_CONCURRENCY_RATIO: f64 = 1.08;

/// Minimum mean concurrency of a phase for it to be compared, as a share of the limit.
const MIN_LIMIT_UTILISATION: f64 = 0.85;

/// Target for the elasticity of latency over concurrency, which is 0 while the backend server has
/// free slots and 1 when it is saturated.
const TARGET_ELASTICITY: f64 = 0.6;

/// Relative change of the limit for each unit of deviation from the target elasticity. A single
/// comparison of two phases is noisy, so the change grows with the number of consecutive
/// comparisons whose deviations have the same sign.
const GAIN: f64 = 0.08;

/// Number of consecutive comparisons with the same sign beyond which the change does not grow
/// further.
const MAX_AGREEING_COMPARISONS: u8 = 6;

/// Factor that gives the new limit from the concurrency at which the backend server refused.
const REFUSAL_FACTOR: f64 = 0.95;

/// State of the limit when a request started.
#[derive(Clone, Copy, Debug)]
pub struct StartSnapshot {
    phase: u64,
    in_flight: u32,
    started_at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct PhaseSamples {
    count: u32,
    in_flight: f64,
    latency: f64,
}

impl PhaseSamples {
    fn mean(&self) -> (f64, f64) {
        let count = f64::from(self.count.max(1));
        (self.in_flight / count, self.latency / count)
    }
}

/// Estimate of the number of requests that the backend server can run at once without queueing them
/// internally.
///
/// The limit alternates between two values around a centre, one for each phase. While the backend
/// server has free slots, latency is the same at both values; once its slots are used up, latency
/// grows in proportion to the concurrency. Only consecutive phases are compared. This needs no
/// baseline latency, so that a change of the service time itself does not change the limit.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    min: f64,
    max: f64,
    centre: f64,
    phase: u64,
    phase_start: Option<Instant>,
    samples: PhaseSamples,
    previous_samples: Option<PhaseSamples>,
    mean_latency: f64,
    last_deviation: f64,
    agreeing_comparisons: u8,
    last_refusal: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit with the initial value and the bounds of a profile.
    pub fn new(limits: &AdmissionLimits) -> Self {
        let mut limit = Self {
            min: 1.0,
            max: 1.0,
            centre: f64::from(limits.initial_concurrency),
            phase: 0,
            phase_start: None,
            samples: PhaseSamples::default(),
            previous_samples: None,
            mean_latency: 0.0,
            last_deviation: 0.0,
            agreeing_comparisons: 0,
            last_refusal: None,
        };
        limit.set_bounds(limits);
        limit
    }

    /// Puts new bounds in force.
    pub fn set_bounds(&mut self, limits: &AdmissionLimits) {
        self.min = f64::from(limits.min_concurrency.max(1));
        self.max = f64::from(limits.max_concurrency).max(self.min);
        self.centre = self.centre.clamp(self.min, self.max);
    }

    /// Returns the limit in force.
    pub fn current(&self) -> u32 {
        let factor = if self.phase.is_multiple_of(2) {
            1.0 + SPREAD
        } else {
            1.0 - SPREAD
        };
        (self.centre * factor).clamp(self.min, self.max).round() as u32
    }

    /// Records the start of a request; `in_flight` includes it.
    pub fn record_start(&mut self, in_flight: u32, now: Instant) -> StartSnapshot {
        self.phase_start.get_or_insert(now);
        StartSnapshot {
            phase: self.phase,
            in_flight,
            started_at: now,
        }
    }

    /// Records the result of a request.
    pub fn record_result(&mut self, snapshot: StartSnapshot, result: WorkResult, now: Instant) {
        match result {
            WorkResult::Completed => self.record_completion(snapshot, now),
            WorkResult::Refused => self.record_refusal(snapshot, now),
            WorkResult::Aborted => {}
        }
    }

    /// Drops all samples, for example after a pause of the process.
    pub fn reset_samples(&mut self) {
        self.previous_samples = None;
        self.next_phase(None);
    }

    fn record_completion(&mut self, snapshot: StartSnapshot, now: Instant) {
        let latency = (now - snapshot.started_at).as_secs_f64();
        self.mean_latency += (latency - self.mean_latency) / 16.0;
        let Some(start) = self.phase_start else {
            return;
        };
        // Requests that start within one service time after a change of the limit still run at the
        // concurrency of the previous phase.
        let settled_at = start + Duration::from_secs_f64(self.mean_latency);
        if snapshot.phase != self.phase || snapshot.started_at < settled_at {
            return;
        }
        self.samples.count += 1;
        self.samples.in_flight += f64::from(snapshot.in_flight);
        self.samples.latency += latency;
        let is_long_enough = now >= start + Duration::from_secs_f64(3.0 * self.mean_latency);
        if self.samples.count >= MIN_SAMPLES && is_long_enough {
            // A limit that was not reached gives no information about free slots.
            let utilisation = self.samples.mean().0 / f64::from(self.current());
            if utilisation < MIN_LIMIT_UTILISATION {
                return self.reset_samples();
            }
            self.adjust_centre();
            self.previous_samples = Some(self.samples);
            self.next_phase(Some(now));
        }
    }

    fn record_refusal(&mut self, snapshot: StartSnapshot, now: Instant) {
        let min_interval = Duration::from_secs_f64(self.mean_latency);
        if self
            .last_refusal
            .is_some_and(|last| now < last + min_interval)
        {
            return;
        }
        self.last_refusal = Some(now);
        let refusal_bound = f64::from(snapshot.in_flight) * REFUSAL_FACTOR / (1.0 + SPREAD);
        self.centre = self.centre.min(refusal_bound).max(self.min);
        self.reset_samples();
    }

    fn next_phase(&mut self, now: Option<Instant>) {
        self.phase += 1;
        self.phase_start = now;
        self.samples = PhaseSamples::default();
    }

    fn adjust_centre(&mut self) {
        let Some(previous_samples) = self.previous_samples else {
            return;
        };
        let (in_flight, latency) = self.samples.mean();
        let (previous_in_flight, previous_latency) = previous_samples.mean();
        let ratio = in_flight / previous_in_flight;
        if ratio.max(1.0 / ratio) < MIN_CONCURRENCY_RATIO {
            return;
        }
        let elasticity = ((latency / previous_latency).ln() / ratio.ln()).clamp(-0.5, 1.5);
        let deviation = TARGET_ELASTICITY - elasticity;
        self.agreeing_comparisons =
            if deviation.is_sign_positive() == self.last_deviation.is_sign_positive() {
                (self.agreeing_comparisons + 1).min(MAX_AGREEING_COMPARISONS)
            } else {
                1
            };
        self.last_deviation = deviation;
        let change =
            GAIN * f64::from(self.agreeing_comparisons.saturating_sub(2).max(1)) * deviation;
        self.centre = (self.centre * change.exp()).clamp(self.min, self.max);
    }
}
