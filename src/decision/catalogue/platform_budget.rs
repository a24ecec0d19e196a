//! Rate limits on calls to the platform.

use super::peer_view::MAX_PEERS;
use crate::common::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Calls per second of a reader. 48 readers make at most 480 calls/s.
pub const READER_CALLS_PER_SECOND: f64 = 10.0;

/// Calls that a reader can make at once after a time without calls.
pub const READER_BURST: f64 = 10.0;

/// Calls per second of all daemons that are not readers. The share of each daemon is computed for
/// the largest fleet, since the fleet size in its view may be wrong.
pub const NON_READER_CALLS_PER_SECOND: f64 = 1_000.0;

/// Reads per second of all daemons that receive messages from no peer.
pub const ISOLATED_READS_PER_SECOND: f64 = 20.0;

/// Reads per second of all daemons that are not readers but check for changes. Without these, lists
/// that name no running reader would never be corrected.
pub const CHECK_READS_PER_SECOND: f64 = 2.0;

/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Budget of one daemon for calls to the platform.
#[derive(Debug)]
pub struct PlatformBudget {
    tokens: f64,
    refilled_at: Instant,
    backoff: Duration,
    blocked_until: Instant,
}

impl PlatformBudget {
    /// Creates a budget. Only a daemon without seed peers may call at once, since a fleet whose
    /// daemons all start together must not send a burst.
    pub fn new(has_no_seeds: bool, now: Instant) -> Self {
        Self {
            tokens: if has_no_seeds { READER_BURST } else { 0.0 },
            refilled_at: now,
            backoff: INITIAL_BACKOFF,
            blocked_until: now,
        }
    }

    /// Takes a token for a call of a reader; returns false if there is none.
    pub fn take_reader_token(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * READER_CALLS_PER_SECOND).min(READER_BURST);
        if now < self.blocked_until || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Decides at random whether a daemon that is not a reader may call within an interval.
    pub fn sample_call(&self, interval: Duration, now: Instant, rng: &mut Pcg64Mcg) -> bool {
        let rate = NON_READER_CALLS_PER_SECOND / MAX_PEERS as f64;
        now >= self.blocked_until && rng.random::<f64>() < rate * interval.as_secs_f64()
    }

    /// Decides at random whether a daemon that is not a reader checks for changes within an
    /// interval. The rate never exceeds that of [`Self::sample_call`], even if the fleet in view is
    /// too small.
    pub fn sample_check(
        &self,
        fleet_size: usize,
        is_isolated: bool,
        interval: Duration,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let total = if is_isolated {
            ISOLATED_READS_PER_SECOND
        } else {
            CHECK_READS_PER_SECOND
        };
        let max_rate = NON_READER_CALLS_PER_SECOND / MAX_PEERS as f64;
        let rate = (total / fleet_size.max(1) as f64).min(max_rate);
        now >= self.blocked_until && rng.random::<f64>() < rate * interval.as_secs_f64()
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    /// Records a failed call. The pause is random, between half of the backoff and all of it.
    pub fn record_failure(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        self.blocked_until = now + self.backoff.mul_f64(0.5 + 0.5 * rng.random::<f64>());
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
