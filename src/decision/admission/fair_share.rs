//! Fair sharing of slots between calling services.

use crate::common::*;

/// Time in which the recorded use of a calling service decays to half.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Maximum number of calling services that are tracked.
const MAX_CALLERS: usize = 300;

/// Recent use of slots by each calling service, as an exponentially decaying count of started
/// requests.
#[derive(Debug, Default)]
pub struct FairShare {
    callers: IndexMap<SmolStr, (f64, Instant)>,
}

impl FairShare {
    /// Records a started request of a calling service.
    pub fn record_start(&mut self, caller: &SmolStr, now: Instant) {
        let used = self.usage(caller, now) + 1.0;
        if self.callers.len() >= MAX_CALLERS && !self.callers.contains_key(caller) {
            self.evict(now);
        }
        self.callers.insert(caller.clone(), (used, now));
    }

    /// Returns the recent use of slots by a calling service, in requests.
    pub fn usage(&self, caller: &str, now: Instant) -> f64 {
        self.callers.get(caller).map_or(0.0, |(used, recorded_at)| {
            let age = now.saturating_duration_since(*recorded_at).as_secs_f64();
            used * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
        })
    }

    /// Returns whether the recent use of a calling service is below three quarters of an equal
    /// share.
    pub fn is_below_share(&self, caller: &str, now: Instant) -> bool {
        let others = self.callers.keys().filter(|other| *other != caller);
        let (callers, others_use) = others.fold((1.0, 0.0), |(count, used), other| {
            (count + 1.0, used + self.usage(other, now))
        });
        let own_use = self.usage(caller, now);
        4.0 * own_use * callers < 3.0 * (others_use + own_use)
    }

    fn evict(&mut self, now: Instant) {
        let least_active = self
            .callers
            .keys()
            .min_by(|a, b| self.usage(a, now).total_cmp(&self.usage(b, now)))
            .cloned();
        if let Some(caller) = least_active {
            self.callers.swap_remove(&caller);
        }
    }
}
