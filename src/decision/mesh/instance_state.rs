//! Measurements of one daemon at one instance.

use crate::{
    common::*,
    decision::mesh::{
        fleet_view::{BackendEntry, ServingState},
        instance_selector::LoadReport,
        service_times::ServiceTimes,
    },
};

/// Age at which a load report is no longer used.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which an instance is tried last after it refused a request, for example because it was
/// full.
const BUSY_TIME: Duration = Duration::from_millis(60);

/// Part of the mean time between the requests of one daemon, if all share a named limit evenly, for
/// which an instance is tried last after it refused a request.
const LIMITED_GAP_SHARE: f64 = 0.5;

/// Longest time for which an instance with a named limit is tried last.
const MAX_LIMITED_TIME: Duration = Duration::from_secs(1);

/// Weight of a new result in the failure rate of an instance.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time in which the failure rate of an instance decays to 1/e, so that it is tried again.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(3);

/// Utilisation from which an instance in the own data centre has no advantage, so that the load
/// spreads before requests wait.
const MAX_LOCAL_UTILISATION: f64 = 0.75;

/// Factor on the service time of an instance that is in its warm-up and has no measurement.
const WARM_UP_FACTOR: f64 = 2.0;

/// Exponentially weighted share of the attempts that failed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    share: f64,
    updated_at: Option<Instant>,
}

impl FailureRate {
    pub(super) fn record(&mut self, is_failure: bool, now: Instant) {
        let share = self.get(now);
        self.share = share + (f64::from(u8::from(is_failure)) - share) * FAILURE_WEIGHT;
        self.updated_at = Some(now);
    }

    pub(super) fn get(&self, now: Instant) -> f64 {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let decays = age.map_or(0.0, |age| {
            age.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()
        });
        self.share * (-decays).exp()
    }
}

/// Instance with the measurements of one daemon.
#[derive(Debug)]
pub(super) struct InstanceState {
    pub(super) id: SmolStr,
    pub(super) entry: BackendEntry,
    pub(super) local_attempts: u32,
    pub(super) report: Option<(LoadReport, Instant)>,
    pub(super) sent_since_report: u32,
    pub(super) service_times: ServiceTimes,
    pub(super) failures: u32,
    pub(super) failure_rate: FailureRate,
    pub(super) ejected_until: Option<Instant>,
    pub(super) busy_until: Option<Instant>,
    pub(super) leaving_until: Option<Instant>,
    /// Limit that the backend server names, in requests per second.
    pub(super) named_rate: Option<f64>,
    /// Whether the backend server has announced that it leaves.
    pub(super) is_server_leaving: bool,
    pub(super) is_unreachable: bool,
    pub(super) last_seen: Option<Instant>,
    pub(super) warm_up_until: Instant,
}

impl InstanceState {
    pub(super) fn is_serving(&self, now: Instant) -> bool {
        self.entry.state == ServingState::Ready
            && !self.is_unreachable
            && !self.is_server_leaving
            && self.leaving_until.is_none_or(|until| until <= now)
    }

    /// Returns whether the daemon of the instance timed out, or the instance is ejected or recently
    /// refused a request.
    pub(super) fn is_suspect(&self, peer_timeout: Duration, now: Instant) -> bool {
        let unseen_for = self.last_seen.map(|at| now.saturating_duration_since(at));
        unseen_for.is_some_and(|time| time > peer_timeout)
            || self.ejected_until.is_some_and(|until| now < until)
            || self.busy_until.is_some_and(|until| now < until)
    }

    /// Returns the estimated number of requests at the instance.
    pub(super) fn load(&self, now: Instant) -> u32 {
        match self.fresh_report(now) {
            Some(report) => report.in_flight + report.queued + self.sent_since_report,
            None => self.local_attempts,
        }
    }

    pub(super) fn is_full(&self, now: Instant) -> bool {
        let limit = self
            .fresh_report(now)
            .map_or(self.usable_slots(), |report| report.limit);
        self.load(now) >= limit
    }

    /// Returns the slots that can be used: those that the instance publishes or, while its backend
    /// server names a limit, those of its last report.
    pub(super) fn usable_slots(&self) -> u32 {
        let report = self.report.filter(|_| self.named_rate.is_some());
        report.map_or(self.entry.slots, |(report, _)| report.limit)
    }

    /// Returns how long the instance is tried last after it refused a request. Under a limit it is
    /// about the time until the next request that falls to this daemon.
    pub(super) fn busy_time(&self, daemons: usize) -> Duration {
        let Some(rate) = self.named_rate else {
            return BUSY_TIME;
        };
        let gap_s = daemons as f64 / rate * LIMITED_GAP_SHARE;
        let gap = Duration::try_from_secs_f64(gap_s).unwrap_or(MAX_LIMITED_TIME);
        gap.clamp(BUSY_TIME, MAX_LIMITED_TIME)
    }

    pub(super) fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_duration_since(at) < REPORT_LIFETIME).then_some(report)
    }

    /// Returns whether the instance is in the data centre of this daemon and has free slots.
    pub(super) fn has_local_advantage(&self, data_centre: &str, now: Instant) -> bool {
        self.entry.data_centre == data_centre && self.utilisation(now) < MAX_LOCAL_UTILISATION
    }

    /// Returns the estimated requests at the instance as a share of its slots.
    pub(super) fn utilisation(&self, now: Instant) -> f64 {
        f64::from(self.load(now)) / f64::from(self.usable_slots().max(1))
    }

    /// Returns the expected time until the response in seconds.
    pub(super) fn expected_time(&self, route: &str, fallback: f64, now: Instant) -> f64 {
        let mean = self.service_times.mean(route);
        let mut time = mean.map_or(fallback, |time| time.as_secs_f64());
        if mean.is_none() && now < self.warm_up_until {
            time *= WARM_UP_FACTOR;
        }
        let slots = f64::from(self.usable_slots().max(1));
        let load = f64::from(self.load(now));
        // A request gets a free slot at once. A small penalty on the utilisation distributes the
        // load among equal instances; when all slots are in use, requests wait.
        let utilisation = self.utilisation(now);
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        time * (1.0 + 0.3 * utilisation + waiting)
    }
}
