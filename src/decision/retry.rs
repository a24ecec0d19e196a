//! Limits on extra attempts.

pub mod attempt_ledger;
pub mod retry_after;
pub mod retry_budget;
