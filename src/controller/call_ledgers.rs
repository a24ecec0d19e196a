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

/// Most calls of one shard; 65,536 in all.
const MAX_SHARD_CALLS: usize = 4_096;

/// Calls of a shard below which ended calls are not swept.
const MIN_SWEEP: usize = 64;

#[derive(Debug, Default)]
struct LedgerShard {
    requests: IndexMap<RequestId, IndexMap<CallId, CallEntry>>,
    calls: usize,
    next_sweep: usize,
}

/// Context and ledger of one call.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// Context of the call.
    pub context: RequestContext,
    /// Extra attempts of the call.
    pub ledger: AttemptLedger,
}

/// Table of the calls that the own backend server works on.
///
/// A call whose response was sent stays in the table, closed, until its deadline: the backend server
/// may still make calls for it, and these must not count as new root requests with a new allowance.
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

    /// Opens the ledger of a call; returns false when the table is full.
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

    /// Finds the context of a call. Without a known call id the newest call of the request counts,
    /// since tracing libraries of backend servers replace the span id; calls in flight go first.
    pub fn find(&self, request: RequestId, call: Option<CallId>) -> Option<RequestContext> {
        let shard = self.shard(request).lock();
        let calls = shard.requests.get(&request)?;
        let entry = call
            .and_then(|call| calls.get(&call))
            .or_else(|| calls.values().rfind(|entry| entry.ledger.is_open()))
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
        let entry = shard.requests.get_mut(&request)?.get_mut(&call)?;
        Some(change(&mut entry.ledger))
    }

    /// Returns the calls in the table.
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
    /// Removes ended calls whose deadline passed, each time the shard has doubled.
    fn sweep(&mut self, now: Instant) {
        if self.calls < self.next_sweep.clamp(MIN_SWEEP, MAX_SHARD_CALLS) {
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
