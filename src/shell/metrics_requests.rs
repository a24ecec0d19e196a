//! Counters of finished requests.

use crate::decision::request_priority::LOWEST_CLASS;
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::ConstCounter},
};
use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

/// Outcomes; the first takes those that are not listed.
const OUTCOMES: [&str; 3] = ["unknown", "ran", "not-run"];

/// Reason of a request that was not refused.
pub const NO_REASON: &str = "none";
/// Reason of a request whose caller went away.
pub const CANCELLED: &str = "cancelled";

/// Reasons; the first takes those that are not listed.
const REASONS: [&str; 15] = [
    "other",
    NO_REASON,
    CANCELLED,
    "bad-header",
    "wrong-cluster",
    "too-deep",
    "no-profile",
    "unknown-service",
    "deadline",
    "queue-full",
    "queue-wait",
    "threshold",
    "no-upstream",
    "broken",
    "ticket-required",
];

/// Class levels, and one place for requests that were not identified.
const CLASSES: usize = LOWEST_CLASS as usize + 2;
const UNIDENTIFIED: usize = CLASSES - 1;

/// Counters of finished requests by outcome, reason and class.
///
/// They lie in one array, so that counting is one atomic addition. Only those above zero are
/// exported, since most combinations never occur.
#[derive(Debug)]
pub struct RequestCounters {
    counts: Vec<AtomicU64>,
}

impl RequestCounters {
    /// Counts a finished request.
    pub fn count(&self, outcome: &str, reason: &str, class: Option<u8>) {
        let outcome = position(&OUTCOMES, outcome);
        let reason = position(&REASONS, reason);
        let class = class.map_or(UNIDENTIFIED, |class| class.min(LOWEST_CLASS).into());
        let index = (outcome * REASONS.len() + reason) * CLASSES + class;
        self.counts[index].fetch_add(1, Ordering::Relaxed);
    }
}

impl Default for RequestCounters {
    fn default() -> Self {
        let length = OUTCOMES.len() * REASONS.len() * CLASSES;
        Self {
            counts: (0..length).map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl Collector for RequestCounters {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let help = "Requests finished";
        let mut family = encoder.encode_descriptor("requests", help, None, MetricType::Counter)?;
        for (index, count) in self.counts.iter().enumerate() {
            let count = count.load(Ordering::Relaxed);
            if count == 0 {
                continue;
            }
            let class = match index % CLASSES {
                UNIDENTIFIED => "none".to_owned(),
                class => class.to_string(),
            };
            let pair = index / CLASSES;
            let labels = [
                ("outcome", OUTCOMES[pair / REASONS.len()]),
                ("reason", REASONS[pair % REASONS.len()]),
                ("class", class.as_str()),
            ];
            ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}

fn position(names: &[&str], name: &str) -> usize {
    names
        .iter()
        .position(|known| *known == name)
        .unwrap_or_default()
}
