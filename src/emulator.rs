//! Emulator of a fleet in virtual time, without sockets.
//!
//! Each emulated daemon uses the decision code of production: call counts, admission plan, entry
//! admission, instance selection and admission gate. Call graph, load and faults are data.

pub mod allotment_fleet;
pub mod emulated_daemon;
pub mod emulated_request;
pub mod fleet_emulator;
pub mod fleet_spec;
pub mod load_tally;
