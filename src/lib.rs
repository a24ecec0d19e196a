//! Overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server instance. [`decision`] contains the decision logic
//! without I/O, [`filter`] the request filter chain, [`controller`] the state that requests share,
//! and [`shell`] the sockets, metrics, traces and signal handling of the daemon that reads profiles
//! from the configuration service (subcommand `run`). [`mesh`] is the daemon that reads routes and
//! instances from the platform's store (subcommand `sidecar`), and [`platform`] translates the
//! platform's names and formats for it. [`emulator`] plays load and faults against the decisions in
//! virtual time. [`standin`] and [`experiment`] serve the demo and tests.

pub mod controller;
pub mod decision;
pub mod emulator;
pub mod experiment;
pub mod filter;
pub mod http1;
pub mod mesh;
pub mod platform;
pub mod settings;
pub mod shell;
pub mod standin;
pub mod subcommand;
pub mod toml_location;

mod common;

pub use subcommand::run;
