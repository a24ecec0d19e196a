//! Times at which a daemon sends its load to its peers.
//!
//! In a large fleet each daemon sends its load less often, since all daemons send it to all others.
//! The load of a service that is close to its limit decides the plan, so its daemons send theirs
//! more often.

use crate::{common::*, decision::mesh::load_summary::LoadSummary};

/// Interval of the plans, and shortest interval at which daemons send each other their load.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the interval between load messages that is added for each member of the fleet, so that a
/// daemon receives about 100 of them in a second at most.
const LOAD_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

/// Part of the interval between urgent load messages that is added for each daemon of the service, so
/// that a daemon receives about 25 of them in a second at most for each service that is short.
const URGENT_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(40);

/// Utilisation of the local slots from which the load is urgent.
const URGENT_UTILISATION: f64 = 0.8;

/// Nested calls without a slot per second from which the load is urgent.
const URGENT_UNSERVED_RATE: f32 = 0.5;

/// Part of the plan interval by which a message may be sent early, since plans are made at varying
/// intervals.
const EARLY_SHARE: f64 = 0.5;

/// Returns the interval at which the daemons of a fleet send each other their load.
pub fn regular_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    PLAN_INTERVAL.max(LOAD_INTERVAL_PER_DAEMON.saturating_mul(members))
}

/// Returns whether the load of a daemon is to be sent earlier than regularly: its slots are almost in
/// use, or calls of its backend server get no slots.
pub fn is_urgent(summary: &LoadSummary) -> bool {
    let load = summary.load;
    let requests = f64::from(load.in_flight + load.queued_calls);
    let unserved_rate: f32 = summary
        .entered_requests
        .iter()
        .map(|requests| requests.unserved_rate)
        .sum();
    requests >= f64::from(load.limit) * URGENT_UTILISATION || unserved_rate >= URGENT_UNSERVED_RATE
}

/// Decides at each plan whether the load is sent.
#[derive(Debug, Default)]
pub struct LoadSchedule {
    last_sent: Option<Instant>,
}

impl LoadSchedule {
    /// Makes the load due at the next plan, for example because this daemon became a reader of the
    /// store.
    pub fn advance(&mut self) {
        self.last_sent = None;
    }

    /// Returns whether the load is sent now. `members` is the number of all members of the fleet,
    /// and `service_daemons` that of the daemons beside the same service.
    pub fn is_due(
        &mut self,
        summary: &LoadSummary,
        members: usize,
        service_daemons: usize,
        now: Instant,
    ) -> bool {
        let regular = regular_interval(members);
        let interval = if is_urgent(summary) {
            let daemons = u32::try_from(service_daemons).unwrap_or(u32::MAX);
            let urgent = URGENT_INTERVAL_PER_DAEMON.saturating_mul(daemons);
            urgent.clamp(PLAN_INTERVAL, regular)
        } else {
            regular
        };
        let earliest = interval.saturating_sub(PLAN_INTERVAL.mul_f64(EARLY_SHARE));
        if self.last_sent.is_some_and(|at| at + earliest > now) {
            return false;
        }
        self.last_sent = Some(now);
        true
    }
}
