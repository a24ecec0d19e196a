//! Ledgers of extra attempts for the calls that the backend server works on.

use crate::{
    common::*,
    decision::{
        request_context::{CallId, RequestContext, RequestId},
        retry::attempt_ledger::AttemptLedger,
    },
};

/// Number of shards of the table, each under its own lock to reduce contention.
const SHARDS: usize = 16;

/// Maximum number of calls in one shard; 65,536 in all shards.
const MAX_SHARD_CALLS: usize = 4_096;

/// Number of calls in a shard below which it is not swept.
const MIN_SWEEP_CALLS: usize = 64;

#[derive(Debug, Default)]
struct LedgerShard {
    requests: IndexMap<RequestId, IndexMap<CallId, CallEntry>>,
    calls: usize,
    next_sweep: usize,
}

/// Context and ledger of a call.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// Context of the call.
    pub context: RequestContext,
    /// Ledger of the extra attempts that the call may still make.
    pub ledger: AttemptLedger,
}

/// Table of the calls that the backend server works on.
///
/// After the response of a call was sent, its ledger is closed but stays in the table until the
/// deadline: the backend server may still make nested calls for it, and these must not count as new
/// root requests with an allowance of their own.
#[derive(Debug)]
pub struct CallLedgers {
    shards: Vec<Mutex<LedgerShard>>,
}

impl CallLedgers {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Opens a ledger with the allowance of a call; returns false when the table is full.
    pub fn open(&self, context: &RequestContext, now: Instant) -> bool {
        let entry = CallEntry {
            ledger: AttemptLedger::new(context.allowance),
            context: context.clone(),
        };
        let mut shard = self.shard(context.request).lock();
        shard.sweep(now);
        if shard.calls >= MAX_SHARD_CALLS {
            return false;
        }
        let calls = shard.requests.entry(context.request).or_default();
        if calls.insert(context.call, entry).is_none() {
            shard.calls += 1;
        }
        true
    }

    /// Finds the context of a call. If the call id is missing or not in the table, since tracing
    /// libraries of backend servers replace the span id, returns the latest call of the request,
    /// preferably one in flight.
    pub fn find(&self, request: RequestId, call: Option<CallId>) -> Option<RequestContext> {
        let shard = self.shard(request).lock();
        let calls = shard.requests.get(&request)?;
        let entry = call
            .and_then(|call| calls.get(&call))
            .or_else(|| calls.values().rfind(|entry| entry.ledger.is_open()))
            .or_else(|| calls.values().next_back())?;
        Some(entry.context.clone())
    }

    /// Calls `change` with the ledger of a call; returns `None` if the table does not contain it.
    pub fn with_ledger<T>(
        &self,
        request: RequestId,
        call: CallId,
        change: impl FnOnce(&mut AttemptLedger) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(request).lock();
        let entry = shard.requests.get_mut(&request)?.get_mut(&call)?;
        Some(change(&mut entry.ledger))
    }

    /// Returns the number of calls in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().calls).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, request: RequestId) -> &Mutex<LedgerShard> {
        &self.shards[request.0 as usize % SHARDS]
    }
}

impl LedgerShard {
    /// Removes closed calls whose deadline has passed. Does nothing until the shard has doubled
    /// since the last sweep, so that the amortised cost per call is constant.
    fn sweep(&mut self, now: Instant) {
        if self.calls < self.next_sweep.clamp(MIN_SWEEP_CALLS, MAX_SHARD_CALLS) {
            return;
        }
        self.requests.retain(|_, calls| {
            calls.retain(|_, entry| entry.ledger.is_open() || now < entry.context.deadline);
            !calls.is_empty()
        });
        self.calls = self.requests.values().map(IndexMap::len).sum();
        self.next_sweep = self.calls * 2;
    }
}

impl Default for CallLedgers {
    fn default() -> Self {
        Self::new()
    }
}
