//! Account of one organisation's allotment, as each daemon keeps it for the whole fleet.

use crate::{
    common::*,
    decision::organisation::{
        allotment_bounds::AllotmentBounds, organisation_spec::RequestAllotment,
    },
};

/// Time in which a surplus or a debt of tokens is used up, in seconds.
const SETTLE_S: f64 = 1.0;

/// Share of the overshoot by which more than the allotment is granted, so that variations of the measured
/// demand refuse no request below it.
const OVERSHOOT_SHARE: f64 = 0.25;

/// Share of the slack that is granted in each window for the same reason.
const SLACK_SHARE: f64 = 0.25;

/// Shortest window of the bounds, in seconds.
const MIN_WINDOW_S: f64 = 1.0;

/// Tokens of one organisation and the share of its requests that all daemons grant.
#[derive(Clone, Copy, Debug)]
pub struct AllotmentAccount {
    /// Tokens left for the fleet; negative for requests that were granted too early.
    tokens: f64,
    granted_share: f64,
    updated_at: Instant,
}

impl AllotmentAccount {
    /// Creates an account. `has_burst` is false if an earlier process may have granted the burst.
    pub fn new(allotment: RequestAllotment, has_burst: bool, now: Instant) -> Self {
        Self {
            tokens: if has_burst { allotment.burst } else { 0.0 },
            granted_share: 1.0,
            updated_at: now,
        }
    }

    /// Returns the share of the requests that is granted, from 0 to 1.
    pub fn granted_share(&self) -> f64 {
        self.granted_share
    }

    /// Updates the account by the requests per second of the fleet, and those of them that were granted.
    /// With `is_exact`, no more than the allotment is granted.
    pub fn update(
        &mut self,
        allotment: RequestAllotment,
        bounds: AllotmentBounds,
        demand: f64,
        granted: f64,
        is_exact: bool,
        now: Instant,
    ) {
        let window_s = bounds.window_s.max(MIN_WINDOW_S);
        let RequestAllotment { rate, burst } = allotment;
        let margin =
            OVERSHOOT_SHARE * bounds.overshoot * rate + SLACK_SHARE * bounds.slack / window_s;
        let rate = if is_exact { rate } else { rate + margin };
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let most_debt = -window_s * rate;
        self.tokens = (self.tokens + (rate - granted) * age).clamp(most_debt, burst);
        self.updated_at = now;
        let allowed = (rate + self.tokens / SETTLE_S).max(0.0);
        self.granted_share = if demand > allowed {
            allowed / demand
        } else {
            1.0
        };
    }

    /// Returns when a refused caller may return: after the time in which the fleet can grant the
    /// requests of one second.
    pub fn wait(&self) -> Duration {
        let wait = Duration::try_from_secs_f64(1.0 / self.granted_share);
        wait.unwrap_or(Duration::MAX)
    }
}
