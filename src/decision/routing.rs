//! Choice of the upstream for a call.

pub mod upstream_set;
