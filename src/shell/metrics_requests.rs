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

/// Outcomes; the first takes those that are not listed.
const OUTCOMES: [&str; 3] = ["unknown", "ran", "not-run"];

/// Reason of a request that was not refused.
pub const NO_REASON: &str = "none";
/// Reason of a request whose caller went away.
pub const CANCELLED: &str = "cancelled";

/// Reason of the requests that found no place among [`MAX_REASONS`].
const OTHER: &str = "other";

/// Most reasons that are told apart.
const MAX_REASONS: usize = 48;

/// Class levels, and one place for requests that were not identified.
const CLASSES: usize = LOWEST_CLASS as usize + 2;
const UNIDENTIFIED: usize = CLASSES - 1;

/// Reasons and the place for further ones.
const REASONS: usize = MAX_REASONS + 1;

/// Counters of finished requests by outcome, reason and class.
///
/// They lie in one array, so that counting is one atomic addition. A reason takes the first free
/// place when it first occurs and keeps it, so that finding it again takes no lock. Only counters
/// above zero are exported, since most combinations never occur.
#[derive(Debug)]
pub struct RequestCounters {
    reasons: [OnceLock<SmolStr>; MAX_REASONS],
    counts: Vec<AtomicU64>,
}

impl RequestCounters {
    /// Counts a finished request.
    pub fn count(&self, outcome: &str, reason: &str, class: Option<u8>) {
        let known = OUTCOMES.iter().position(|known| *known == outcome);
        let outcome = known.unwrap_or_default();
        let places = self.reasons.iter();
        let reason = places
            .map(|place| place.get_or_init(|| reason.into()))
            .position(|known| known == reason)
            .unwrap_or(MAX_REASONS);
        let class = class.map_or(UNIDENTIFIED, |class| class.min(LOWEST_CLASS).into());
        let index = (outcome * REASONS + reason) * CLASSES + class;
        self.counts[index].fetch_add(1, Ordering::Relaxed);
    }

    fn reason(&self, index: usize) -> &str {
        let place = self.reasons.get(index).and_then(OnceLock::get);
        place.map_or(OTHER, SmolStr::as_str)
    }
}

impl Default for RequestCounters {
    fn default() -> Self {
        let length = OUTCOMES.len() * REASONS * CLASSES;
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
            let class = match index % CLASSES {
                UNIDENTIFIED => "none".to_owned(),
                class => class.to_string(),
            };
            let pair = index / CLASSES;
            let labels = [
                ("outcome", OUTCOMES[pair / REASONS]),
                ("reason", self.reason(pair % REASONS)),
                ("class", class.as_str()),
            ];
            ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
