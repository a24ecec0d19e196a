//! Decisions of a daemon in a fleet whose routes and members are published in a store.

pub mod attempt_budget;
pub mod fleet_view;
pub mod instance_choice;
pub mod latency_book;
pub mod route_table;
pub mod run_table;
pub mod weighted_spread;
