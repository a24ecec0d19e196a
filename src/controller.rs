//! Controllers of the state that requests share.

pub mod call_ledgers;
pub mod catalogue_report;
pub mod gate_controller;
pub mod profile_controller;
pub mod retry_budgets;
pub mod run_records;
pub mod upstream_controller;
