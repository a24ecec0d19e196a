//! Drill in which the store goes away and comes back from a copy that is some seconds old.

use crate::{fleet::Fleet, history::FaultSpan, store::EndpointMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// How a drill goes, generated from the seed of a round.
#[derive(Clone, Copy, Debug)]
pub struct StoreDrill {
    /// Age of the copy.
    pub copy_age: Duration,
    /// Whether watches stay open meanwhile.
    pub keeps_watches: bool,
    /// Longest time until a writer writes again what was lost.
    pub max_write_delay: Duration,
    /// Seed of the order of the writers.
    pub seed: u64,
}

impl StoreDrill {
    /// Generates a drill.
    pub fn generate(rng: &mut Pcg64Mcg) -> Self {
        Self {
            copy_age: Duration::from_millis(rng.random_range(1_000..10_000)),
            keeps_watches: rng.random_bool(0.5),
            max_write_delay: Duration::from_millis([0, 300, 1_500][rng.random_range(0..3)]),
            seed: rng.random(),
        }
    }

    /// Takes the store away for `duration`, brings it back, and lets the writers write again.
    pub async fn play(self, fleet: &Fleet, duration: Duration) {
        let begin = Instant::now();
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let store = &fleet.store;
        if !self.keeps_watches {
            store.set_endpoint_mode(None, EndpointMode::Reset);
        }
        tokio::time::sleep(duration).await;
        let (revision, mut lost) = store.restore(self.copy_age);
        store.set_endpoint_mode(None, EndpointMode::Serve);
        let mean_delay = self.max_write_delay / (lost.len().max(1) as u32);
        while !lost.is_empty() {
            tokio::time::sleep(mean_delay).await;
            let (key, value) = lost.swap_remove(rng.random_range(0..lost.len()));
            let value = value.map(|text| fleet.with_new_sequence(&text));
            store.put_again(&key, value, revision);
        }
        fleet.history.record_fault_span(FaultSpan {
            machine: None,
            is_kill: false,
            begin,
            end: Instant::now(),
        });
    }
}
