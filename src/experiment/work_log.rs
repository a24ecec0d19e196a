//! Records the service time that backend servers spend on each request.

use crate::{common::*, decision::request_context::RequestId};

/// Service time by root request. Clones share the log.
#[derive(Clone, Debug, Default)]
pub struct WorkLog {
    entries: Arc<Mutex<IndexMap<RequestId, WorkEntry>>>,
}

/// Work of all backend servers on one root request.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkEntry {
    /// Total service time.
    pub service_time: Duration,
    /// Number of runs.
    pub runs: u32,
}

impl WorkLog {
    /// Adds one run of a root request and its service time.
    pub fn add(&self, request: RequestId, service_time: Duration) {
        let mut entries = self.entries.lock();
        let entry = entries.entry(request).or_default();
        entry.service_time += service_time;
        entry.runs += 1;
    }

    /// Returns the recorded work on a root request.
    pub fn entry(&self, request: RequestId) -> WorkEntry {
        self.entries
            .lock()
            .get(&request)
            .copied()
            .unwrap_or_default()
    }
}
