//! Request filter chain.
//!
//! Requests to the own backend server pass [`lifecycle_filter`], [`identify_filter`],
//! [`classify_filter`], [`accept_filter`], [`ledger_filter`] and [`admission_filter`] before [`backend_handler`] sends them. Calls of the
//! own backend server to other services go through [`outbound_handler`].

pub mod accept_filter;
pub mod admission_filter;
pub mod backend_handler;
pub mod classify_filter;
pub mod identify_filter;
pub mod inbound_chain;
pub mod ledger_filter;
pub mod lifecycle_filter;
pub mod metrics_filter;
pub mod outbound_handler;
pub mod refusal;
pub mod request_headers;
pub mod response_body;
