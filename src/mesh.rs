//! Daemon of a fleet whose routes and instances are published in a store.
//!
//! A request enters at the daemon on the machine where it originates ([`entry_proxy`]). That daemon
//! selects an instance and sends the request over a [`peer_link`] to the daemon beside the
//! instance, which admits it and runs it at its backend server ([`executor`]).

pub mod attempt_history;
pub mod attempt_runner;
pub mod backend_connection;
pub mod backend_exchange;
pub mod backend_pool;
pub mod caller_connection;
pub mod caller_response;
pub mod connection_end;
pub mod context_headers;
pub mod counted_run;
pub mod crash_monitor;
pub mod entry_proxy;
pub mod executor;
pub mod fleet_state;
pub mod forwarded_caller;
pub mod forwarded_head;
pub mod frame_additions;
pub mod mesh_daemon;
pub mod mesh_metrics;
pub mod mesh_settings;
pub mod monitoring_listener;
pub mod open_connections;
pub mod peer_frame;
pub mod peer_link;
pub mod peer_links;
pub mod peer_listener;
pub mod request_reader;
pub mod resolved_request;
pub mod sender_connections;
pub mod server_state;
pub mod start_sync;
pub mod store_client;
pub mod store_contact;
pub mod store_interface;
pub mod store_reader;
pub mod suspect_controller;
pub mod task_names;
