//! At-most-once execution of requests.

pub mod recorded_response;
pub mod run_record_table;
pub mod ticket_id;
pub mod ticket_issuer;
