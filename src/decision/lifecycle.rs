//! Life cycle of a daemon.
//!
//! Each state is a type of its own, so that a daemon cannot serve again once it drains.

pub mod lifecycle_phase;
pub mod lifecycle_state;
