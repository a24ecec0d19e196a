//! Bounds on calls to the platform.

use super::peer_view::MAX_PEERS;
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Calls per second of a reader; 48 readers make at most 480 calls/s.
pub const READER_CALLS_PER_SECOND: f64 = 10.0;

/// Calls that a reader can make at once after a quiet time.
pub const READER_BURST: f64 = 10.0;

/// Calls per second of all daemons that are not readers. The share of a daemon assumes the
/// largest fleet, since the size in view may be wrong.
pub const OTHERS_CALLS_PER_SECOND: f64 = 1_000.0;

/// Reads per second of all daemons when they hear from no peer.
pub const FALLBACK_READS_PER_SECOND: f64 = 20.0;

/// Reads per second of all daemons that check for changes although readers should. Without them,
/// lists that name no live reader would never be corrected.
pub const CHECK_READS_PER_SECOND: f64 = 2.0;

/// First pause after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest pause after failed calls.
const LONGEST_BACKOFF: Duration = Duration::from_secs(10);

/// Budget of one daemon for calls to the platform.
#[derive(Debug)]
pub struct PlatformBudget {
    tokens: f64,
    filled_at: Instant,
    backoff: Duration,
    blocked_until: Instant,
}

impl PlatformBudget {
    /// Creates a budget. Only a daemon without seed peers may call at once: a fleet that starts
    /// as a whole must not send a burst.
    pub fn new(is_alone: bool, now: Instant) -> Self {
        Self {
            tokens: if is_alone { READER_BURST } else { 0.0 },
            filled_at: now,
            backoff: FIRST_BACKOFF,
            blocked_until: now,
        }
    }

    /// Takes a call of a reader.
    pub fn take_reader_call(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed * READER_CALLS_PER_SECOND).min(READER_BURST);
        if now < self.blocked_until || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Draws whether a daemon that is not a reader may call within a step of time.
    pub fn draw_call(&self, step: Duration, now: Instant, rng: &mut Pcg64Mcg) -> bool {
        let rate = OTHERS_CALLS_PER_SECOND / MAX_PEERS as f64;
        now >= self.blocked_until && rng.random::<f64>() < rate * step.as_secs_f64()
    }

    /// Draws whether a daemon that is not a reader checks for changes within a step of time. The
    /// rate stays below that of [`Self::draw_call`] also when the fleet in view is too small.
    pub fn draw_check(
        &self,
        fleet: usize,
        is_silent: bool,
        step: Duration,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let total = if is_silent {
            FALLBACK_READS_PER_SECOND
        } else {
            CHECK_READS_PER_SECOND
        };
        let others = OTHERS_CALLS_PER_SECOND / MAX_PEERS as f64;
        let rate = (total / fleet.max(1) as f64).min(others);
        now >= self.blocked_until && rng.random::<f64>() < rate * step.as_secs_f64()
    }

    /// Records an answered call.
    pub fn succeed(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Records a failed call; the pause is drawn between half and all of the backoff.
    pub fn fail(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        self.blocked_until = now + self.backoff.mul_f64(0.5 + 0.5 * rng.random::<f64>());
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }
}
