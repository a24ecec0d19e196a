//! Bounds on extra attempts.

pub mod attempt_ledger;
