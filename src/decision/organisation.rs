//! Organisations that callers belong to: their keys, their priority and their allotments.
//!
//! A caller proves its organisation with a key, which the daemon at the entry checks. The allotment of
//! an organisation bounds its requests over all daemons of the fleet. A configuration without
//! organisations uses nothing of this.

pub mod allotment_account;
pub mod allotment_bounds;
pub mod allotment_ledger;
pub mod api_key;
pub mod caller_identity;
pub mod config_currency;
pub mod demand_rate;
pub mod organisation_demand;
pub mod organisation_spec;
pub mod organisation_table;
pub mod priority_ranks;
