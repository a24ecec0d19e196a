//! Outages of the store in which entries of backend servers that still run can have expired.

use crate::common::*;

/// Time after the return of the store within which backend servers renew entries that expired during
/// an outage.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_300);

/// Default interval at which backend servers renew their entries.
pub const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Heartbeat intervals for which the store must be out of reach before an entry can expire. Entries
/// expire three intervals after their last renewal, which may precede the outage by one interval; a
/// quarter allows for renewals at uneven intervals.
const MIN_OUTAGE_INTERVALS: f64 = 1.75;

/// Tells apart outages of the store from failures of the connections of one daemon.
///
/// The store counts as having been in an outage if this daemon knows of no response to any daemon for so
/// long that entries can have expired. A failed call shows only that the connection of one daemon failed:
/// the store may turn some daemons away while it serves the others. Calls that all succeed show that there
/// was none, however late the responses are.
#[derive(Debug)]
pub struct OutageTracker {
    min_outage: Duration,
    /// Time of the last response of the store to any daemon, as far as known.
    last_contact: Option<Instant>,
    /// Time of the first failed call of this daemon since the last response to it.
    failing_since: Option<Instant>,
    /// Whether the store has responded to this daemon since it began to call it.
    has_response: bool,
    /// End of the last outage.
    recovered_at: Option<Instant>,
}

impl OutageTracker {
    /// Creates a tracker that knows of no response. `heartbeat` is the interval at which backend servers
    /// renew their entries.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            min_outage: heartbeat.mul_f64(MIN_OUTAGE_INTERVALS),
            last_contact: None,
            failing_since: None,
            has_response: false,
            recovered_at: None,
        }
    }

    /// Records a failed call of this daemon.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that this daemon no longer calls the store.
    pub fn stop_calls(&mut self) {
        self.failing_since = None;
        self.has_response = false;
    }

    /// Records a response to this daemon. Without any earlier one an outage may have preceded it.
    pub fn record_response(&mut self, now: Instant) {
        // Entries that are still missing may not have been renewed before the store failed again.
        if self.is_out_of_reach() && self.is_in_grace(self.last_contact) {
            self.recovered_at = Some(now);
        }
        self.record_contact(now, now);
        self.failing_since = None;
        self.has_response = true;
    }

    /// Records that at a time the store responded to a daemon that knows of no outage. A daemon that was
    /// cut off from all others does not know what happened before.
    pub fn record_contact(&mut self, at: Instant, now: Instant) {
        let is_served = self.has_response && !self.is_unreachable();
        if self.is_overdue(now) && !is_served {
            self.recovered_at = Some(now);
        }
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Records that the store came back from an older copy, which lacks entries that were written after
    /// it.
    pub fn record_restore(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Returns when the last outage ended, as long as entries that expired in it may still be missing.
    /// Returns `now` during an outage, the earliest time at which it can end.
    pub fn recovered_at(&self, now: Instant) -> Option<Instant> {
        if self.is_out_of_reach() && self.is_overdue(now) {
            return Some(now);
        }
        self.recovered_at.filter(|_| self.is_in_grace(Some(now)))
    }

    /// Returns whether the last call of this daemon failed.
    pub fn is_unreachable(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether the last call of this daemon failed, and no other daemon is known to have got a
    /// response since.
    pub fn is_out_of_reach(&self) -> bool {
        self.failing_since
            .is_some_and(|failing| self.last_contact.is_none_or(|contact| contact <= failing))
    }

    /// Returns whether entries that expired in the last outage may still have been missing at a time.
    fn is_in_grace(&self, at: Option<Instant>) -> bool {
        let grace_end = self.recovered_at.map(|recovered| recovered + EXPIRY_GRACE);
        at.zip(grace_end).is_some_and(|(at, end)| at < end)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.last_contact
            .is_none_or(|contact| contact + self.min_outage <= now)
    }
}
