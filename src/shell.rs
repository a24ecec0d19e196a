//! Sockets, settings, logs, metrics, traces and signals.

pub mod admin_server;
pub mod control;
pub mod control_client;
pub mod control_driver;
pub mod control_server;
pub mod control_traffic;
pub mod daemon;
mod daemon_lifecycle;
pub mod explain_codec;
pub mod header_names;
pub mod http_client;
pub mod http_server;
mod lifecycle_routes;
pub mod logging;
pub mod metrics;
pub mod metrics_attempts;
pub mod metrics_requests;
mod peer_probe;
pub mod platform_client;
pub mod profiles_report;
pub mod span_encoding;
mod span_exporter;
pub mod span_recorder;
pub mod status_report;
