//! Sockets, settings, logs, metrics, traces and signals.

pub mod admin_server;
pub mod connection_pool;
pub mod daemon;
pub mod header_names;
pub mod http_client;
pub mod http_server;
pub mod platform_client;
pub mod pooled_body;
pub mod progress_stream;
pub mod span_recorder;
