//! Share of calls that spill: go to other data centres, because no local upstream admits them.

use crate::common::*;
use std::collections::VecDeque;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(10);

/// Length of one bucket of the window.
const BUCKET: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Bucket {
    start: Instant,
    calls: u64,
    spilled: u64,
}

/// Counts calls and spilled calls in a sliding window.
#[derive(Debug, Default)]
pub struct SpillWindow {
    buckets: VecDeque<Bucket>,
}

impl SpillWindow {
    /// Returns whether one more call may spill.
    pub fn allows(&mut self, max_percent: u64, now: Instant) -> bool {
        self.remove_expired(now);
        let calls: u64 = self.buckets.iter().map(|bucket| bucket.calls).sum();
        let spilled: u64 = self.buckets.iter().map(|bucket| bucket.spilled).sum();
        (spilled + 1) * 100 <= (calls + 1) * max_percent
    }

    /// Records a call.
    pub fn record(&mut self, is_spilled: bool, now: Instant) {
        self.remove_expired(now);
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) < BUCKET);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                calls: 0,
                spilled: 0,
            });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.calls += 1;
            bucket.spilled += u64::from(is_spilled);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) >= WINDOW)
        {
            self.buckets.pop_front();
        }
    }
}
