//! Controllers of the state that requests share.

pub mod call_ledgers;
pub mod gate_controller;
pub mod overload_controller;
pub mod profile_controller;
pub mod upstream_controller;
