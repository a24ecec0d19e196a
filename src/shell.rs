//! Sockets, settings, logs, metrics, traces and signals.

pub mod admin_server;
pub mod control;
pub mod control_client;
pub mod control_driver;
pub mod control_server;
pub mod control_traffic;
pub mod daemon;
pub mod header_names;
pub mod http_client;
pub mod http_server;
pub mod platform_client;
pub mod span_recorder;
