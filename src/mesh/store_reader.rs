//! Reads the store and watches it for changes.

use crate::{
    common::*,
    decision::mesh::{
        response_limit::{ResponseLimit, WATCH_TIMEOUT},
        store_position::StorePosition,
    },
    mesh::{
        fleet_state::FleetState,
        peer_links::PeerLinks,
        store_client::{StoreClient, StoreError},
        store_contact::UpdateSource,
        store_interface::StoreItem,
    },
};
use tokio::sync::watch;

/// Delay before the next watch after changes. Deployments write several entries within a second,
/// and each call to the store is billed.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Delay after the first failed call; it doubles with each further consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest delay after failed calls, before the jitter, of a daemon with at most `RETRYING_DAEMONS`
/// peers in its data centre.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Number of daemons of a data centre that retry an unreachable store within `MAX_BACKOFF`. The
/// first one that succeeds sends the changes to the others.
const RETRYING_DAEMONS: usize = 6;

/// Longest delay after failed calls, before the jitter, of a daemon in a large data centre.
const MAX_SHARED_BACKOFF: Duration = Duration::from_secs(4);

/// Status code of the store if it no longer has the changes after the requested revision.
const STATUS_GONE: u16 = 410;

/// Reads and watches the store.
pub struct StoreReader {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
    client: StoreClient,
    response_limit: ResponseLimit,
    is_reader: watch::Receiver<bool>,
}

impl StoreReader {
    /// Creates a reader.
    pub fn new(
        state: Arc<FleetState>,
        links: Arc<PeerLinks>,
        is_reader: watch::Receiver<bool>,
    ) -> Self {
        let client = StoreClient::new(state.settings.store, Arc::clone(&state.format));
        Self {
            state,
            links,
            client,
            response_limit: ResponseLimit::default(),
            is_reader,
        }
    }

    /// Reads and watches the store while this daemon is a reader, until the task is dropped.
    pub async fn run(mut self) {
        let mut is_reader = self.is_reader.clone();
        while is_reader.wait_for(|is_reader| *is_reader).await.is_ok() {
            log::info!(
                readers = self.state.reader_election.lock().other_readers() as u64;
                "store: Started reading."
            );
            tokio::select! {
                () = self.read_and_watch() => {}
                _ = is_reader.wait_for(|is_reader| !*is_reader) => {}
            }
            self.state.stop_reading();
            log::info!(
                readers = self.state.reader_election.lock().other_readers() as u64;
                "store: Stopped reading; other daemons read it."
            );
        }
    }

    async fn read_and_watch(&mut self) {
        let mut failures = 0;
        let mut position = None;
        loop {
            let result = match position {
                None => self.read_all().await,
                Some(position) => self.watch(position).await,
            };
            self.enter_era();
            match result {
                Ok(next) => {
                    if failures > 0 {
                        log::info!("store: Reading succeeded again.");
                    }
                    failures = 0;
                    position = Some(next);
                    self.state.record_store_response();
                }
                Err(error) => {
                    let is_watch = position.is_some();
                    // Only a complete list shows which entries expired during an outage, and what a
                    // store has that came back from a copy.
                    position = None;
                    match list_delay(&error, is_watch) {
                        Some(delay) => {
                            log::info!("store: Reading all items again. {error}");
                            tokio::time::sleep(delay).await;
                        }
                        None => {
                            if failures == 0 {
                                log::info!("store: Cannot read. {error}");
                            }
                            self.state.record_store_failure();
                            tokio::time::sleep(self.backoff(failures)).await;
                            failures += 1;
                        }
                    }
                }
            }
        }
    }

    /// Applies the era of the last response.
    fn enter_era(&self) {
        if let Some(era) = self.client.era() {
            self.state.enter_store_era(era);
        }
    }

    async fn read_all(&mut self) -> Result<StorePosition, StoreError> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut position = None;
        let mut after: Option<SmolStr> = None;
        loop {
            let sent_at = self.state.clock.now();
            let page = self.client.read_page(after.as_deref()).await?;
            self.record_response_time(sent_at);
            self.enter_era();
            // The following watch returns the changes that were made after the first page was read.
            let position = *position.get_or_insert(page.position);
            if page.position.era != position.era {
                return Err(StoreError::Era {
                    era: page.position.era,
                    expected: position.era,
                });
            }
            items.extend(page.items);
            if page.has_more && page.last_key.is_some() {
                after = page.last_key;
                continue;
            }
            // The first values are sent only to the peers that requested them, once the start is
            // complete: the others have values already, or request them from another daemon.
            let is_first = !self.state.has_entries();
            let update = self.state.apply_store_list(&items, position);
            if !is_first {
                self.links.broadcast_update(update);
            }
            return Ok(position);
        }
    }

    async fn watch(&mut self, position: StorePosition) -> Result<StorePosition, StoreError> {
        let sent_at = self.state.clock.now();
        let limit = self.response_limit.limit();
        let changes = self.client.watch(position, WATCH_TIMEOUT, limit).await?;
        if changes.items.is_empty() {
            self.record_response_time(sent_at + WATCH_TIMEOUT);
            return Ok(changes.position);
        }
        let update = self
            .state
            .apply_store_changes(UpdateSource::Watch, &changes.items);
        self.links.broadcast_update(update);
        // The next watch returns further changes together.
        tokio::time::sleep(BATCH_DELAY).await;
        Ok(changes.position)
    }

    /// Records the time of a response that the store could send from `due_at` on.
    fn record_response_time(&mut self, due_at: Instant) {
        let now = self.state.clock.now();
        self.response_limit
            .record(now.saturating_duration_since(due_at));
    }

    /// Returns the delay before the next call. It grows with the number of peers, so that the
    /// retries of all daemons together stay limited. The jitter is a random factor from 0.5 to 1.5.
    fn backoff(&self, failures: u32) -> Duration {
        let peers = self.state.reader_election.lock().live_peers();
        let factor = (peers as f64 / RETRYING_DAEMONS as f64).max(1.0);
        let max_backoff = MAX_BACKOFF.mul_f64(factor).min(MAX_SHARED_BACKOFF);
        let backoff = (INITIAL_BACKOFF * 2u32.pow(failures.min(8))).min(max_backoff);
        backoff.mul_f64(0.5 + rand::random::<f64>())
    }
}

/// Returns the delay before all items are read again after an error that does not show that the store
/// is unreachable.
fn list_delay(error: &StoreError, is_watch: bool) -> Option<Duration> {
    match error {
        StoreError::Status(STATUS_GONE) => Some(Duration::ZERO),
        // Whether the store or only the connection is silent shows on a new one.
        StoreError::Timeout if is_watch => Some(Duration::ZERO),
        // A response of an earlier era is late and changes nothing.
        StoreError::Era { era, expected } if era < expected => Some(INITIAL_BACKOFF),
        StoreError::Era { .. } => Some(Duration::ZERO),
        _ => None,
    }
}
