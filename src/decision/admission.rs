//! Admission of requests to the backend server beside the daemon.

pub mod admission_gate;
