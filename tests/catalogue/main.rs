//! Spread of the catalogue in fleets under virtual time, with fixed seeds.

mod fleet;
mod fleet_checks;
mod message_decoders;
mod platform_bound;
mod spread;
