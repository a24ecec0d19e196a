//! Service time that backend servers spent on each request.

use crate::{common::*, decision::request_context::RequestId};

/// Collects service time by root request; clones share the log.
#[derive(Clone, Debug, Default)]
pub struct WorkLog {
    entries: Arc<Mutex<IndexMap<RequestId, WorkEntry>>>,
}

/// Work of all backend servers on one root request.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkEntry {
    /// Service time spent.
    pub service_time: Duration,
    /// Times that a backend server started to work.
    pub runs: u32,
}

impl WorkLog {
    /// Adds the work of one run.
    pub fn add(&self, request: RequestId, service_time: Duration) {
        let mut entries = self.entries.lock();
        let entry = entries.entry(request).or_default();
        entry.service_time += service_time;
        entry.runs += 1;
    }

    /// Returns the work on a request.
    pub fn entry(&self, request: RequestId) -> WorkEntry {
        self.entries
            .lock()
            .get(&request)
            .copied()
            .unwrap_or_default()
    }
}
