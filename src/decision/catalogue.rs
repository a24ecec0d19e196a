//! Spread of catalogue versions and values.

pub mod catalogue_index;
pub mod catalogue_message;
pub mod catalogue_node;
pub mod catalogue_report;
pub mod catalogue_roles;
pub mod catalogue_value;
pub mod change_push;
pub mod fetch_plan;
pub mod gossip_round;
pub mod peer_activity;
pub mod peer_view;
pub mod piece_assembler;
pub mod platform_budget;
pub mod platform_schedule;
pub mod reader_choice;
pub mod value_book;
pub mod value_store;
pub mod version_sightings;
pub mod version_stamp;
