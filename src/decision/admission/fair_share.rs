//! Shares of the calling services.

use crate::common::*;

/// Time in which the recorded use of a caller halves.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Most calling services that are tracked.
const MAX_CALLERS: usize = 300;

/// Recent use of slots by each calling service.
#[derive(Debug, Default)]
pub struct FairShare {
    callers: IndexMap<SmolStr, (f64, Instant)>,
}

impl FairShare {
    /// Counts a started request of a caller.
    pub fn charge(&mut self, caller: &SmolStr, now: Instant) {
        let used = self.used(caller, now) + 1.0;
        if self.callers.len() >= MAX_CALLERS && !self.callers.contains_key(caller) {
            self.evict(now);
        }
        self.callers.insert(caller.clone(), (used, now));
    }

    /// Returns the recent use of a caller, in requests.
    pub fn used(&self, caller: &str, now: Instant) -> f64 {
        self.callers.get(caller).map_or(0.0, |(used, seen)| {
            let age = now.saturating_duration_since(*seen).as_secs_f64();
            used * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
        })
    }

    /// Returns whether a caller uses less than three quarters of an equal share of all recent use.
    pub fn is_below_share(&self, caller: &str, now: Instant) -> bool {
        let others = self.callers.keys().filter(|other| *other != caller);
        let (count, used) = others.fold((1.0, 0.0), |(count, used), other| {
            (count + 1.0, used + self.used(other, now))
        });
        let own = self.used(caller, now);
        4.0 * own * count < 3.0 * (used + own)
    }

    fn evict(&mut self, now: Instant) {
        let least = self
            .callers
            .keys()
            .min_by(|a, b| self.used(a, now).total_cmp(&self.used(b, now)))
            .cloned();
        if let Some(caller) = least {
            self.callers.swap_remove(&caller);
        }
    }
}
