//! Property tests with the same inputs in every run.

use arbtest::arbitrary::{Result, Unstructured};

/// Number of inputs for each property.
const ROUNDS: u64 = 500;
/// Bytes by which each input is larger than the previous one.
const SIZE_STEP_BYTES: u64 = 8;
/// Odd multiplier that gives each round a different, non-zero random part.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9;

/// Checks a property on inputs of increasing size. A seed consists of a random part in its high 32
/// bits and the input size in its low 32 bits.
pub fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for round in 1..=ROUNDS {
        let random_part = (round * SEED_MULTIPLIER) & u64::from(u32::MAX);
        let seed = (random_part << u32::BITS) | (round * SIZE_STEP_BYTES);
        arbtest::arbtest(&mut property).seed(seed).run();
    }
}
