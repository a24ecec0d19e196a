//! Open ledger of a call.

use crate::{
    common::*,
    decision::request_context::{CallId, RequestContext, RequestId},
    filter::refusal::RefusalError,
    shell::daemon::DaemonState,
};

/// Closes the ledger when the call ends, also when the caller cancels it.
pub struct LedgerGuard {
    daemon: Arc<DaemonState>,
    request: RequestId,
    call: CallId,
}

impl LedgerGuard {
    /// Opens the ledger of a call.
    pub fn open(daemon: &Arc<DaemonState>, context: &RequestContext) -> Result<Self, RefusalError> {
        if !daemon.ledgers.open(context, daemon.clock.now()) {
            return Err(RefusalError::LedgersFull);
        }
        Ok(Self {
            daemon: Arc::clone(daemon),
            request: context.request,
            call: context.call,
        })
    }

    /// Closes the ledger and returns the unused rest.
    pub fn close(&self) -> u16 {
        let ledgers = &self.daemon.ledgers;
        let unused = ledgers.with(self.request, self.call, |ledger| ledger.close());
        unused.unwrap_or(0)
    }
}

impl Drop for LedgerGuard {
    fn drop(&mut self) {
        self.close();
    }
}
