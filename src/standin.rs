//! Stand-ins for the platform and for backend servers, used by the demo and the tests.

pub mod backend_server;
pub mod daemon_process;
pub mod loopback_address;
pub mod plain_router;
pub mod platform_service;
pub mod service_chain;
