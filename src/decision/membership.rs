//! Instances of all services and whether they are live, merged from sources that may be outdated
//! or contradict each other.

pub mod contact_log;
pub mod incarnation;
pub mod member_digest;
pub mod member_phase;
pub mod member_record;
pub mod member_table;
