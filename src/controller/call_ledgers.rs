//! Ledgers of the calls that run behind this daemon.

use crate::{
    common::*,
    decision::{
        request_context::{CallId, RequestContext, RequestId},
        retry::attempt_ledger::AttemptLedger,
    },
};

/// Shards of the table; requests of different shards do not contend.
const SHARDS: usize = 16;

type Shard = IndexMap<RequestId, IndexMap<CallId, CallEntry>>;

/// Context and ledger of one call.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// Context of the call.
    pub context: RequestContext,
    /// Extra attempts of the call.
    pub ledger: AttemptLedger,
}

/// Table of the calls that the own backend server works on.
#[derive(Debug)]
pub struct CallLedgers {
    shards: Vec<Mutex<Shard>>,
}

impl CallLedgers {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Opens the ledger of a call.
    pub fn open(&self, context: &RequestContext) {
        let entry = CallEntry {
            ledger: AttemptLedger::new(context.allowance),
            context: context.clone(),
        };
        self.shard(context.request)
            .lock()
            .entry(context.request)
            .or_default()
            .insert(context.call, entry);
    }

    /// Finds the context of a call. Without a known call id the newest call of the request counts,
    /// since tracing libraries of backend servers replace the span id.
    pub fn find(&self, request: RequestId, call: Option<CallId>) -> Option<RequestContext> {
        let shard = self.shard(request).lock();
        let calls = shard.get(&request)?;
        let entry = call
            .and_then(|call| calls.get(&call))
            .or_else(|| calls.values().next_back())?;
        Some(entry.context.clone())
    }

    /// Changes the ledger of a call; returns `None` when the call is over.
    pub fn with<T>(
        &self,
        request: RequestId,
        call: CallId,
        change: impl FnOnce(&mut AttemptLedger) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(request).lock();
        let entry = shard.get_mut(&request)?.get_mut(&call)?;
        Some(change(&mut entry.ledger))
    }

    /// Forgets a call.
    pub fn remove(&self, request: RequestId, call: CallId) {
        let mut shard = self.shard(request).lock();
        let Some(calls) = shard.get_mut(&request) else {
            return;
        };
        calls.shift_remove(&call);
        if calls.is_empty() {
            shard.swap_remove(&request);
        }
    }

    fn shard(&self, request: RequestId) -> &Mutex<Shard> {
        &self.shards[request.0 as usize % SHARDS]
    }
}

impl Default for CallLedgers {
    fn default() -> Self {
        Self::new()
    }
}
