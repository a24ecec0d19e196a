//! Choice among the upstreams of a service.

pub mod cold_ramp;
pub mod latency_average;
pub mod load_hint;
pub mod outlier_ejector;
pub mod routing_config;
pub mod spill_window;
pub mod upstream_set;
mod upstream_state;
