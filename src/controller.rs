//! State that is shared by all requests of a daemon, with its locks.

pub mod call_ledgers;
pub mod gate_controller;
pub mod gossip_controller;
pub mod lifecycle_controller;
pub mod membership_controller;
pub mod platform_controller;
pub mod profile_controller;
pub mod retry_budgets;
pub mod run_records;
pub mod task_supervisor;
pub mod threshold_controller;
pub mod upstream_controller;
