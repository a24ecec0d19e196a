//! Overload control layer for service call graphs.
//!
//! One daemon runs beside each backend server instance. [`decision`] contains the decision logic
//! without I/O, [`filter`] the request filter chain, [`controller`] the state that requests share,
//! and [`shell`] the sockets, metrics, traces and signal handling. [`mesh`] is the daemon of a
//! fleet whose routes come from a store, and [`platform`] translates the platform's names and
//! formats for it.

pub mod controller;
pub mod decision;
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
