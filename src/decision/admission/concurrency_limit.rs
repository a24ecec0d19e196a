//! Concurrency limit from measured latency and refusals.

use crate::{
    common::*,
    decision::{admission::admission_gate::WorkResult, profile::service_profile::AdmissionLimits},
};

/// Distance of the two compared limits from their middle.
const SPREAD: f64 = 0.15;

/// Fewest samples in each phase of a comparison.
const MIN_SAMPLES: u32 = 64;

/// Least ratio of the measured concurrencies; a smaller one means that the limit was not reached.
const MIN_RATIO: f64 = 1.08;

/// Least mean concurrency, as a share of the limit, of a phase that counts.
const MIN_REACHED: f64 = 0.85;

/// Elasticity between a backend server with free slots (0) and a saturated one (1).
const TARGET_ELASTICITY: f64 = 0.6;

/// Relative change of the limit for each unit of elasticity off the target. A single comparison of
/// two phases is noisy; the change grows with the number of comparisons in a row that agree.
const GAIN: f64 = 0.08;

/// Most comparisons in a row that count for the gain.
const MAX_RUN: u8 = 6;

/// Factor on the concurrency at which the backend server refused.
const REFUSAL_FACTOR: f64 = 0.95;

/// Phase in which a request started and the requests in flight then.
#[derive(Clone, Copy, Debug)]
pub struct StartMark {
    phase: u64,
    in_flight: u32,
    at: Instant,
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

/// Number of requests that the backend server works on at once without queueing inside.
///
/// The limit alternates between two values around a middle. While the backend server has free
/// slots, latency is the same at both; beyond its slots, latency grows in proportion to the
/// concurrency. The comparison of neighbouring phases needs no baseline latency, so that a change
/// of the service time itself does not move the limit.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    min: f64,
    max: f64,
    middle: f64,
    phase: u64,
    phase_start: Option<Instant>,
    samples: PhaseSamples,
    previous: Option<PhaseSamples>,
    latency: f64,
    last_error: f64,
    run: u8,
    last_refusal: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit with the bounds of a profile.
    pub fn new(limits: &AdmissionLimits) -> Self {
        let mut limit = Self {
            min: 1.0,
            max: 1.0,
            middle: f64::from(limits.initial_concurrency),
            phase: 0,
            phase_start: None,
            samples: PhaseSamples::default(),
            previous: None,
            latency: 0.0,
            last_error: 0.0,
            run: 0,
            last_refusal: None,
        };
        limit.set_bounds(limits);
        limit
    }

    /// Puts new bounds in force.
    pub fn set_bounds(&mut self, limits: &AdmissionLimits) {
        self.min = f64::from(limits.min_concurrency.max(1));
        self.max = f64::from(limits.max_concurrency).max(self.min);
        self.middle = self.middle.clamp(self.min, self.max);
    }

    /// Returns the limit in force.
    pub fn current(&self) -> u32 {
        let factor = if self.phase.is_multiple_of(2) {
            1.0 + SPREAD
        } else {
            1.0 - SPREAD
        };
        (self.middle * factor).clamp(self.min, self.max).round() as u32
    }

    /// Marks the start of a request; `in_flight` includes it.
    pub fn on_start(&mut self, in_flight: u32, now: Instant) -> StartMark {
        self.phase_start.get_or_insert(now);
        StartMark {
            phase: self.phase,
            in_flight,
            at: now,
        }
    }

    /// Records the end of a request.
    pub fn on_end(&mut self, mark: StartMark, result: WorkResult, now: Instant) {
        match result {
            WorkResult::Completed => self.on_completed(mark, now),
            WorkResult::Refused => self.on_refused(mark, now),
            WorkResult::Aborted => {}
        }
    }

    /// Forgets all samples, for example after a pause of the process.
    pub fn restart(&mut self) {
        self.previous = None;
        self.next_phase(None);
    }

    fn on_completed(&mut self, mark: StartMark, now: Instant) {
        let latency = (now - mark.at).as_secs_f64();
        self.latency += (latency - self.latency) / 16.0;
        let Some(start) = self.phase_start else {
            return;
        };
        // Requests that start within one service time of the change of the limit still see the
        // concurrency of the phase before.
        let settled = start + Duration::from_secs_f64(self.latency);
        if mark.phase != self.phase || mark.at < settled {
            return;
        }
        self.samples.count += 1;
        self.samples.in_flight += f64::from(mark.in_flight);
        self.samples.latency += latency;
        let long_enough = now >= start + Duration::from_secs_f64(3.0 * self.latency);
        if self.samples.count >= MIN_SAMPLES && long_enough {
            // A limit that was not reached tells nothing about the slots.
            let reached = self.samples.mean().0 / f64::from(self.current());
            if reached < MIN_REACHED {
                return self.restart();
            }
            self.compare();
            self.previous = Some(self.samples);
            self.next_phase(Some(now));
        }
    }

    fn on_refused(&mut self, mark: StartMark, now: Instant) {
        let pause = Duration::from_secs_f64(self.latency);
        if self.last_refusal.is_some_and(|last| now < last + pause) {
            return;
        }
        self.last_refusal = Some(now);
        let refused_at = f64::from(mark.in_flight) * REFUSAL_FACTOR / (1.0 + SPREAD);
        self.middle = self.middle.min(refused_at).max(self.min);
        self.restart();
    }

    fn next_phase(&mut self, now: Option<Instant>) {
        self.phase += 1;
        self.phase_start = now;
        self.samples = PhaseSamples::default();
    }

    fn compare(&mut self) {
        let Some(previous) = self.previous else {
            return;
        };
        let (in_flight, latency) = self.samples.mean();
        let (in_flight_before, latency_before) = previous.mean();
        let ratio = in_flight / in_flight_before;
        if ratio.max(1.0 / ratio) < MIN_RATIO {
            return;
        }
        let elasticity = ((latency / latency_before).ln() / ratio.ln()).clamp(-0.5, 1.5);
        let error = TARGET_ELASTICITY - elasticity;
        self.run = if error.is_sign_positive() == self.last_error.is_sign_positive() {
            (self.run + 1).min(MAX_RUN)
        } else {
            1
        };
        self.last_error = error;
        let change = GAIN * f64::from(self.run.saturating_sub(2).max(1)) * error;
        self.middle = (self.middle * change.exp()).clamp(self.min, self.max);
    }
}
