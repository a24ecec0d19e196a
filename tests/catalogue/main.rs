//! Spread of the catalogue in fleets under virtual time, with fixed seeds.

mod fleet;
mod message_decoders;
mod platform_bound;
mod spread;
