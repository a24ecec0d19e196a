//! Load generator, load plan and results of experiments on a call chain on loopback.

pub mod load_generator;
pub mod surge_plan;
pub mod surge_report;
pub mod work_log;
