//! Life cycle of a daemon.
//!
//! Each state is a separate type, so that code in which a draining daemon serves again does not
//! compile.

pub mod lifecycle_phase;
pub mod lifecycle_state;
