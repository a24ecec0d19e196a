//! Property tests with the same inputs in every run.

use arbtest::arbitrary::{Result, Unstructured};

/// Inputs of one property.
const ROUNDS: u64 = 500;
/// Bytes that each input has more than the one before.
const GROWTH_BYTES: u64 = 8;
/// Odd factor that gives each round another non-zero random part.
const SPREAD: u64 = 0x9e37_79b9;

/// Runs a property on inputs of growing size. A seed holds a random part and the input size.
pub fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for round in 1..=ROUNDS {
        let random_part = (round * SPREAD) & u64::from(u32::MAX);
        let seed = (random_part << u32::BITS) | (round * GROWTH_BYTES);
        arbtest::arbtest(&mut property).seed(seed).run();
    }
}
