//! Guard that closes the ledger of a call.

use crate::{
    common::*,
    decision::request_context::{CallId, RequestContext, RequestId},
    filter::request_error::RequestError,
    shell::daemon::DaemonState,
};

/// Open ledger of a call. Dropping the guard closes it, so that the ledgers of cancelled calls are
/// closed, too.
pub struct LedgerGuard {
    daemon: Arc<DaemonState>,
    request: RequestId,
    call: CallId,
}

impl LedgerGuard {
    /// Opens the ledger of a call.
    pub fn open(daemon: &Arc<DaemonState>, context: &RequestContext) -> Result<Self, RequestError> {
        if !daemon.ledgers.open(context, daemon.clock.now()) {
            return Err(RequestError::LedgersFull);
        }
        Ok(Self {
            daemon: Arc::clone(daemon),
            request: context.request,
            call: context.call,
        })
    }

    /// Closes the ledger and returns its unused allowance.
    pub fn close(&self) -> u16 {
        let ledgers = &self.daemon.ledgers;
        let unused = ledgers.with_ledger(self.request, self.call, |ledger| ledger.close());
        unused.unwrap_or(0)
    }
}

impl Drop for LedgerGuard {
    fn drop(&mut self) {
        self.close();
    }
}
