//! Decisions as plain code: events and the time in, results out, without I/O or threads.

pub mod admission;
pub mod catalogue;
pub mod clock;
pub mod lifecycle;
pub mod membership;
pub mod mesh;
pub mod once;
pub mod pause_detector;
pub mod profile;
pub mod request_context;
pub mod request_priority;
pub mod retry;
pub mod routing;
pub mod run_outcome;
