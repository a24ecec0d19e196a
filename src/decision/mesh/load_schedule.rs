//! Times at which a daemon sends its load to its peers.

use crate::common::*;

/// Shortest interval at which daemons send each other their load.
pub const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the interval between load messages that is added for each member of the fleet, so that a
/// daemon receives about 100 of them in a second at most.
const LOAD_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

/// Returns the interval at which the daemons of a fleet send each other their load.
pub fn regular_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_LOAD_INTERVAL.max(LOAD_INTERVAL_PER_DAEMON.saturating_mul(members))
}
