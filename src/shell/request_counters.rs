//! Counters of finished requests.

use crate::{common::*, decision::request_priority::LOWEST_CLASS};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::ConstCounter},
};
use std::sync::{
    OnceLock,
    atomic::{AtomicU64, Ordering},
};

/// Outcomes that are counted separately; the first one also covers outcomes that are not listed.
const OUTCOMES: [&str; 3] = ["unknown", "ran", "not-run"];

/// Reason label of a request that was not refused.
pub const NO_REASON: &str = "none";
/// Reason label of a request whose caller closed the connection.
pub const CANCELLED_REASON: &str = "cancelled";

/// Reason label of all reasons beyond [`MAX_REASONS`].
const OTHER_REASON: &str = "other";

/// Maximum number of reasons that are counted separately.
const MAX_REASONS: usize = 48;

/// Number of class levels, and one more for requests whose class was not determined.
const CLASS_COUNT: usize = LOWEST_CLASS as usize + 2;
const NO_CLASS: usize = CLASS_COUNT - 1;

/// Number of listed reasons, and one more for [`OTHER_REASON`].
const REASON_COUNT: usize = MAX_REASONS + 1;

/// Counters of finished requests by outcome, reason and class.
///
/// All counters are in one array, so that counting is one atomic addition. A reason is assigned the
/// first free cell when it first occurs and keeps it, so that finding it again takes no lock. Only
/// counters above zero are exported, since most combinations never occur.
#[derive(Debug)]
pub struct RequestCounters {
    reasons: [OnceLock<SmolStr>; MAX_REASONS],
    counts: Vec<AtomicU64>,
}

impl RequestCounters {
    /// Counts a finished request. Without a `class`, its class was not determined.
    pub fn count(&self, outcome: &str, reason: &str, class: Option<u8>) {
        let listed = OUTCOMES.iter().position(|listed| *listed == outcome);
        let outcome = listed.unwrap_or_default();
        let cells = self.reasons.iter();
        let reason = cells
            .map(|cell| cell.get_or_init(|| reason.into()))
            .position(|assigned| assigned == reason)
            .unwrap_or(MAX_REASONS);
        let class = class.map_or(NO_CLASS, |class| class.min(LOWEST_CLASS).into());
        let index = (outcome * REASON_COUNT + reason) * CLASS_COUNT + class;
        self.counts[index].fetch_add(1, Ordering::Relaxed);
    }

    fn reason(&self, index: usize) -> &str {
        let cell = self.reasons.get(index).and_then(OnceLock::get);
        cell.map_or(OTHER_REASON, SmolStr::as_str)
    }
}

impl Default for RequestCounters {
    fn default() -> Self {
        let length = OUTCOMES.len() * REASON_COUNT * CLASS_COUNT;
        Self {
            reasons: [const { OnceLock::new() }; MAX_REASONS],
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
            let class = match index % CLASS_COUNT {
                NO_CLASS => "none".to_owned(),
                class => class.to_string(),
            };
            let outcome_and_reason = index / CLASS_COUNT;
            let labels = [
                ("outcome", OUTCOMES[outcome_and_reason / REASON_COUNT]),
                ("reason", self.reason(outcome_and_reason % REASON_COUNT)),
                ("class", class.as_str()),
            ];
            ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
