//! What the local backend server says of itself in its responses.

use crate::{
    common::*,
    decision::mesh::{
        named_limit::{LimitPacer, NamedLimit, usable_slots},
        server_notes::ServerNotes,
    },
    http1::header_list::HeaderList,
    mesh::context_headers::ContextHeaders,
};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::Notify;

/// Value of the header with which a backend server announces that it leaves.
const LEAVING_VALUE: &str = "1";

/// Identity, limit and leaving of the local backend server.
#[derive(Debug, Default)]
pub struct ServerState {
    identity: Mutex<BackendIdentity>,
    limit_pacer: Mutex<LimitPacer>,
    /// Mean time of recent runs, from which the slots follow that a limit leaves.
    mean_run_time: Mutex<Duration>,
    limited_count: AtomicU64,
    /// Whether the last response with a limit had one that cannot be used.
    has_invalid_limit: AtomicBool,
    is_leaving: AtomicBool,
    leaving_notice: Notify,
}

impl ServerState {
    /// Applies the published id and start time. Another server has said nothing of itself yet.
    pub fn set_published(&self, id: &SmolStr, started_ms: Option<u64>) {
        if self.identity.lock().set_published(id, started_ms) {
            self.reset();
        }
    }

    /// Applies the id that the server reported.
    pub fn set_reported(&self, id: &str) {
        if self.identity.lock().set_reported(id) {
            self.reset();
        }
    }

    /// Returns the identity as far as it is known.
    pub fn identity(&self) -> BackendIdentity {
        self.identity.lock().clone()
    }

    /// Returns the id to expect; `requested` is the id in the request.
    pub fn expected_id(&self, requested: &SmolStr) -> SmolStr {
        self.identity.lock().expected(requested)
    }

    /// Returns what the server says of itself, for the peers.
    pub fn notes(&self) -> ServerNotes {
        let instance = self.identity.lock().current.clone();
        ServerNotes {
            instance: instance.unwrap_or_default(),
            named_rate: self.named_rate(),
            is_leaving: self.is_leaving(),
            crash: None,
        }
    }

    /// Applies what a peer knew of the server before this daemon was restarted.
    pub fn adopt_notes(&self, notes: &ServerNotes) {
        if notes.is_empty() || !self.identity.lock().adopt(&notes.instance) {
            return;
        }
        if notes.is_leaving {
            self.record_leaving("peer");
        }
        let rate = notes.named_rate.filter(|rate| *rate >= 0.0);
        if let Some(rate) = rate
            && self.limit_pacer.lock().adopt(NamedLimit { rate })
        {
            log::info!(rate = rate; "executor: A peer knows a limit of the backend server.");
        }
    }

    /// Applies the headers of the response to a request that was sent at `sent_at`. `names` are those
    /// of the platform. Only a signed response without a limit withdraws it.
    pub fn observe(
        &self,
        headers: &HeaderList,
        names: &ContextHeaders,
        is_signed: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        if headers.text(names.leaving) == Some(LEAVING_VALUE) {
            self.record_leaving("response");
        }
        match NamedLimit::decode(headers.all(names.rate_limit)) {
            Ok(None) if !is_signed => {}
            Ok(limit) => self.observe_limit(limit, sent_at, now),
            Err(error) => {
                if !self.has_invalid_limit.swap(true, Ordering::Relaxed) {
                    log::warn!("executor: Ignored the limit in a response. {error}");
                }
            }
        }
    }

    fn observe_limit(&self, limit: Option<NamedLimit>, sent_at: Instant, now: Instant) {
        self.has_invalid_limit.store(false, Ordering::Relaxed);
        let mut pacer = self.limit_pacer.lock();
        let previous = pacer.limit();
        if !pacer.observe(limit, sent_at, now) {
            return;
        }
        drop(pacer);
        match limit {
            Some(limit) => log::info!(
                rate = limit.rate,
                previous = previous.map(|previous| previous.rate);
                "executor: The backend server names a limit."
            ),
            None => log::info!("executor: The backend server withdraws its limit."),
        }
    }

    /// Returns the limit that the server names, in requests per second.
    pub fn named_rate(&self) -> Option<f64> {
        self.limit_pacer.lock().limit().map(|limit| limit.rate)
    }

    /// Reserves the start of a request within `max_wait`; returns `None` if the limit leaves none.
    pub fn reserve_start(&self, max_wait: Duration, now: Instant) -> Option<Instant> {
        let start = self.limit_pacer.lock().reserve(max_wait, now);
        if start.is_none() {
            self.limited_count.fetch_add(1, Ordering::Relaxed);
        }
        start
    }

    /// Returns the number of requests that were refused because of the limit.
    pub fn limited_count(&self) -> u64 {
        self.limited_count.load(Ordering::Relaxed)
    }

    /// Sets the mean time of recent runs.
    pub fn set_mean_run_time(&self, time: Duration) {
        *self.mean_run_time.lock() = time;
    }

    /// Returns how many of the slots requests can use at the limit.
    pub fn usable_slots(&self, slots: u32) -> u32 {
        let limit = self.limit_pacer.lock().limit();
        limit.map_or(slots, |limit| {
            usable_slots(limit, *self.mean_run_time.lock(), slots)
        })
    }

    /// Returns whether the server has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Waits until the server announces that it leaves; returns what it says of itself.
    pub async fn leaving(&self) -> ServerNotes {
        self.leaving_notice.notified().await;
        self.notes()
    }

    fn record_leaving(&self, source: &'static str) {
        if !self.is_leaving.swap(true, Ordering::Relaxed) {
            log::info!(source = source; "executor: The backend server leaves.");
            self.leaving_notice.notify_one();
        }
    }

    /// Forgets what the previous server at this address said of itself.
    fn reset(&self) {
        self.limit_pacer.lock().reset();
        self.is_leaving.store(false, Ordering::Relaxed);
    }
}

/// Id of the local backend server, as published and as reported by itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BackendIdentity {
    published: Option<SmolStr>,
    started_ms: Option<u64>,
    current: Option<SmolStr>,
}

impl BackendIdentity {
    /// Applies the published id and start time; returns whether another server runs now. An unchanged
    /// id does not replace the one that the server reported.
    fn set_published(&mut self, id: &SmolStr, started_ms: Option<u64>) -> bool {
        let is_published = self.published.as_ref() == Some(id);
        let previous_start = std::mem::replace(&mut self.started_ms, started_ms);
        let is_restarted = previous_start
            .is_some_and(|previous| started_ms.is_some_and(|started_ms| started_ms != previous));
        if is_published {
            return is_restarted;
        }
        self.published = Some(id.clone());
        let previous = self.current.replace(id.clone());
        previous.is_some_and(|previous| previous != *id)
    }

    /// Applies the id that the backend server reported; returns whether it is another one.
    fn set_reported(&mut self, id: &str) -> bool {
        let previous = self.current.replace(id.into());
        previous.is_some_and(|previous| previous != *id)
    }

    /// Returns whether `id` is that of the current server; without a current one, it is from now on.
    fn adopt(&mut self, id: &SmolStr) -> bool {
        self.current.get_or_insert_with(|| id.clone()) == id
    }

    /// Returns the id to expect; `requested` is the id in the request.
    fn expected(&self, requested: &SmolStr) -> SmolStr {
        self.current.as_ref().unwrap_or(requested).clone()
    }
}
