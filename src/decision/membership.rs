//! Instances of the services and whether they are live, from sources that lag and disagree.

pub mod contact_log;
pub mod incarnation;
pub mod member_digest;
pub mod member_phase;
pub mod member_record;
pub mod member_table;
