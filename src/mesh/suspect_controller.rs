//! Suspected requests of one daemon, shared by its entry and its executor.

use crate::{
    common::*,
    decision::{
        clock::Clock,
        mesh::{
            crash_id::CrashId,
            crash_suspects::{SuspectRecord, SuspectTable, SuspectVerdict},
            request_fingerprint::RequestFingerprint,
        },
    },
};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Requests that are suspected of crashing backend servers.
pub struct SuspectController {
    table: Mutex<SuspectTable>,
    clock: Arc<dyn Clock>,
    /// Notified when the peers have to know a change.
    changed: Notify,
    refused_count: AtomicU64,
}

/// Isolated run of a suspect, which ends when this is dropped.
pub struct IsolatedRun {
    controller: Arc<SuspectController>,
    request: RequestFingerprint,
}

impl Drop for IsolatedRun {
    fn drop(&mut self) {
        self.controller.table.lock().end_isolated(self.request);
    }
}

impl SuspectController {
    /// Creates a controller without suspects.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            table: Mutex::default(),
            clock,
            changed: Notify::new(),
            refused_count: AtomicU64::new(0),
        }
    }

    /// Sets the requests that the operator has released.
    pub fn set_released(&self, released: Vec<RequestFingerprint>) {
        self.table.lock().set_released(released);
    }

    /// Returns how a request is treated. The fingerprint of a request is computed only while there
    /// are suspects.
    pub fn verdict(&self, head: &[u8], body: &[u8]) -> SuspectVerdict {
        if self.table.lock().is_empty() {
            return SuspectVerdict::Free;
        }
        let request = RequestFingerprint::new(head, body);
        let verdict = self.table.lock().verdict(request, self.clock.now());
        if verdict == SuspectVerdict::Refused {
            self.refused_count.fetch_add(1, Ordering::Relaxed);
        }
        verdict
    }

    /// Starts an isolated run of a suspect; returns `None` if it cannot start now.
    pub fn start_isolated(self: &Arc<Self>, head: &[u8], body: &[u8]) -> Option<IsolatedRun> {
        let request = RequestFingerprint::new(head, body);
        let now = self.clock.now();
        let is_started = self.table.lock().start_isolated(request, now);
        self.changed.notify_one();
        is_started.then(|| IsolatedRun {
            controller: Arc::clone(self),
            request,
        })
    }

    /// Records a crash of the local backend server that ended a run, and lets the peers know it.
    pub fn report_crash(&self, request: RequestFingerprint, crash: CrashId) {
        self.record_crash(request, crash);
        self.table.lock().announce(request);
        self.changed.notify_one();
    }

    /// Records a crash that ended an attempt; returns whether the request may be sent to a further
    /// server.
    pub fn record_crash(&self, request: RequestFingerprint, crash: CrashId) -> bool {
        let mut table = self.table.lock();
        if table.record_crash(request, crash, self.clock.now()) {
            log_refusal(request);
        }
        table.may_retry(request)
    }

    /// Records that a run got a response of the local backend server.
    pub fn record_response(&self, head: &[u8], body: &[u8]) {
        if self.table.lock().is_empty() {
            return;
        }
        let request = RequestFingerprint::new(head, body);
        if self.table.lock().record_response(request) {
            self.changed.notify_one();
        }
    }

    /// Merges the records that a peer sent.
    pub fn merge(&self, records: &[SuspectRecord]) {
        let now = self.clock.now();
        let mut table = self.table.lock();
        for record in records {
            if table.merge(record, now) {
                log_refusal(record.request);
            }
        }
    }

    /// Waits for changes that the peers have to know, and returns them.
    pub async fn changes(&self) -> Vec<SuspectRecord> {
        self.changed.notified().await;
        self.table.lock().take_changes()
    }

    /// Returns the records of suspects for a peer that may not know them.
    pub fn known_suspects(&self) -> Vec<SuspectRecord> {
        self.table.lock().known_suspects(self.clock.now())
    }

    /// Drops the requests that did not come again for a long time.
    pub fn forget_old(&self) {
        self.table.lock().forget_old(self.clock.now());
    }

    /// Returns the numbers of requests that run isolated and that are refused.
    pub fn counts(&self) -> (usize, usize) {
        self.table.lock().counts(self.clock.now())
    }

    /// Returns how often a refused request came.
    pub fn refused_count(&self) -> u64 {
        self.refused_count.load(Ordering::Relaxed)
    }
}

fn log_refusal(request: RequestFingerprint) {
    log::warn!(
        request:% = request;
        "suspects: The request ended several backend servers and is refused."
    );
}
