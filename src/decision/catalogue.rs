//! Catalogue: the keys of the platform's configuration service with their versions and values.
//!
//! A few elected daemons, the readers, read the service. All daemons exchange versions by gossip
//! and fetch the values that they need from each other.

pub mod catalogue_index;
pub mod catalogue_message;
pub mod catalogue_node;
pub mod catalogue_report;
pub mod catalogue_roles;
pub mod catalogue_value;
pub mod fetch_schedule;
pub mod first_seen_times;
pub mod peer_activity;
pub mod peer_sampler;
pub mod peer_view;
pub mod piece_assembler;
pub mod platform_budget;
pub mod platform_schedule;
pub mod push_queue;
pub mod role_election;
pub mod value_cache;
pub mod value_table;
pub mod version_stamp;
