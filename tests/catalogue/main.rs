//! Tests of the catalogue in simulated fleets, with virtual time and fixed seeds.

mod fleet;
mod fleet_checks;
mod message_decoders;
mod platform_call_rate;
mod propagation;
mod silent_platform;
