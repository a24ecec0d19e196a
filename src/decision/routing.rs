//! Load balancing over the upstreams of a service: its instances as recorded by one calling daemon.

pub mod latency_average;
pub mod load_hint;
pub mod outlier_ejector;
pub mod routing_config;
pub mod spill_window;
pub mod upstream_set;
mod upstream_state;
pub mod warm_up_ramp;
