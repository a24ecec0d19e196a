//! Requests that run at most once.

pub mod attempt_record;
pub mod recorded_response;
pub mod ticket_id;
pub mod ticket_issuer;
