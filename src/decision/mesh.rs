//! Decisions of a daemon in a fleet whose routes and instances are published in a store.

pub mod admission_plan;
pub mod call_counts;
pub mod capacity_control;
pub mod crash_id;
pub mod crash_suspects;
pub mod decayed_count;
pub mod entry_admission;
pub mod fleet_retry_budget;
pub mod fleet_sums;
pub mod fleet_view;
pub mod forgotten_runs;
pub mod instance_selector;
mod instance_state;
pub mod link_liveness;
pub mod load_schedule;
pub mod load_summary;
pub mod named_limit;
pub mod reader_election;
pub mod request_fingerprint;
pub mod response_limit;
pub mod route_table;
pub mod run_table;
pub mod server_notes;
pub mod service_times;
pub mod shutdown_wait;
pub mod traffic_split;
pub mod update_gap;
