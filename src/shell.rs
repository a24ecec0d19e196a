//! Sockets, settings, logs, metrics, traces and signals.

pub mod admin_server;
pub mod daemon;
mod daemon_lifecycle;
pub mod header_names;
pub mod http_client;
pub mod http_server;
mod lifecycle_routes;
mod peer_probe;
pub mod platform_client;
pub mod span_recorder;
