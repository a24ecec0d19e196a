//! Decision logic without I/O or threads: functions take events and the current time and return
//! results.

pub mod admission;
pub mod catalogue;
pub mod clock;
pub mod event_rate;
pub mod lifecycle;
pub mod membership;
pub mod mesh;
pub mod once;
pub mod organisation;
pub mod pause_detector;
pub mod profile;
pub mod request_context;
pub mod request_priority;
pub mod restart_schedule;
pub mod retry;
pub mod routing;
pub mod run_outcome;
