//! Stand-ins (test doubles) for the platform and backend servers, used by the demo and the tests.

pub mod backend_server;
pub mod baseline_router;
pub mod daemon_process;
pub mod loopback_address;
pub mod platform_service;
pub mod polling;
pub mod service_chain;
