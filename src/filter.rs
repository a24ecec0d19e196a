//! Filters that requests pass through, and handlers that forward them.
//!
//! Requests to the backend server pass through [`metrics_filter`], [`lifecycle_filter`],
//! [`context_filter`], [`attempt_filter`], [`classify_filter`], [`ticket_filter`],
//! [`accept_filter`], [`ledger_filter`] and [`admission_filter`] before [`backend_handler`] sends
//! them. Calls of the backend server to other services are sent by [`outbound_handler`].

pub mod accept_filter;
pub mod admission_filter;
pub mod at_most_once_headers;
pub mod attempt_filter;
pub mod backend_handler;
pub mod classify_filter;
pub mod context_filter;
pub mod inbound_chain;
pub mod ledger_filter;
pub mod ledger_guard;
pub mod lifecycle_filter;
pub mod metrics_filter;
pub mod outbound_handler;
pub mod outgoing_call;
pub mod peer_attempt;
pub mod recorded_run;
pub mod request_error;
pub mod request_headers;
pub mod response_body;
pub mod ticket_filter;
pub mod ticket_forward;
pub mod upstream_guard;
