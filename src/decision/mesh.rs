//! Decisions of a daemon in a fleet whose routes and members are published in a store.

pub mod admission_plan;
pub mod attempt_budget;
pub mod call_counts;
pub mod decayed_count;
pub mod entry_admission;
pub mod fleet_view;
pub mod instance_choice;
pub mod latency_book;
pub mod leave_wait;
pub mod load_summary;
pub mod news_gap;
pub mod reader_rota;
pub mod route_table;
pub mod run_table;
pub mod weighted_spread;
