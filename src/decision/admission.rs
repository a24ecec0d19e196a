//! Admission control for the backend server beside the daemon.

pub mod admission_gate;
pub mod admission_queue;
pub mod admission_threshold;
pub mod concurrency_limit;
pub mod fair_share;
pub mod priority_level;
pub mod service_threshold;
pub mod service_time;
