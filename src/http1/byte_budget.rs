//! Bound on the memory of all bodies that are received at the same time.

use crate::common::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that the bodies of all current exchanges may use together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    used: AtomicU64,
    peak: AtomicU64,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: AtomicU64::new(0),
            peak: AtomicU64::new(0),
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that were in use at the same time.
    pub fn peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }
}

/// Part of a budget that one body uses. It is returned when the value is dropped.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl ReservedBytes {
    /// Reserves nothing yet.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Extends the reservation to `bytes` for the whole body; returns false if the budget does not
    /// allow it. One body gets at most half of what the others leave, so that an endless one does
    /// not use up the budget.
    pub fn extend_to(&mut self, bytes: u64) -> bool {
        let Some(added) = bytes.checked_sub(self.bytes).filter(|added| *added > 0) else {
            return true;
        };
        let budget = &self.budget;
        let reserved = self.bytes;
        let reserve = |used: u64| {
            let others = used - reserved;
            let available = budget.limit.saturating_sub(others) / 2;
            (bytes <= available).then_some(used + added)
        };
        let order = Ordering::Relaxed;
        let Ok(previous) = budget.used.fetch_update(order, order, reserve) else {
            return false;
        };
        budget.peak.fetch_max(previous + added, order);
        self.bytes = bytes;
        true
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
