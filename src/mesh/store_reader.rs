//! Follows the store.

use crate::{
    common::*,
    mesh::{
        fleet_state::FleetState,
        peer_links::PeerLinks,
        store_client::{StoreClient, StoreError},
        store_interface::{StoreItem, StorePrefix},
    },
};
use tokio::sync::watch;

/// Time for which a watch waits for changes. Shorter waits find a silent connection earlier, longer
/// ones cost fewer calls.
const WATCH_TIME: Duration = Duration::from_millis(5_000);

/// Pause after changes. Releases write several entries within a second, and each call is paid for.
const GATHER_TIME: Duration = Duration::from_millis(150);

/// First pause after a failed call; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls of a daemon that reads alone.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Daemons of a data centre that try to read a lost store once in `MAX_PAUSE` together. The first of them
/// that is answered tells the others.
const TRYING_DAEMONS: usize = 6;

/// Longest pause after failed calls of a daemon in a large fleet.
const MAX_SHARED_PAUSE: Duration = Duration::from_secs(4);

/// Status code of a store that has dropped the history a watch asks for.
const STATUS_GONE: u16 = 410;

/// Follows one part of the store.
pub struct StoreReader {
    state: Arc<FleetState>,
    links: Arc<PeerLinks>,
    prefix: StorePrefix,
    client: StoreClient,
    is_chosen: watch::Receiver<bool>,
}

impl StoreReader {
    /// Creates a reader.
    pub fn new(
        state: Arc<FleetState>,
        links: Arc<PeerLinks>,
        prefix: StorePrefix,
        is_chosen: watch::Receiver<bool>,
    ) -> Self {
        let client = StoreClient::new(state.settings.store, Arc::clone(&state.format));
        Self {
            state,
            links,
            prefix,
            client,
            is_chosen,
        }
    }

    /// Follows the store until the task is dropped, while this daemon is one of those that read it.
    pub async fn run(mut self) {
        let mut is_chosen = self.is_chosen.clone();
        while is_chosen.wait_for(|is_chosen| *is_chosen).await.is_ok() {
            log::info!("store: {:?} is read from now on.", self.prefix);
            tokio::select! {
                () = self.follow() => {}
                _ = is_chosen.wait_for(|is_chosen| !*is_chosen) => {}
            }
            log::info!("store: {:?} is read by other daemons.", self.prefix);
        }
    }

    async fn follow(&mut self) {
        let mut failures = 0;
        let mut revision = None;
        loop {
            let result = match revision {
                None => self.read_all().await,
                Some(revision) => self.watch(revision).await,
            };
            match result {
                Ok(next) => {
                    if failures > 0 {
                        log::info!("store: {:?} is read again.", self.prefix);
                    }
                    failures = 0;
                    revision = Some(next);
                    self.state.mark_store_reachable();
                }
                Err(error) => {
                    if failures == 0 {
                        log::info!("store: {:?} cannot be read. {error}", self.prefix);
                    }
                    if matches!(error, StoreError::Status(STATUS_GONE)) {
                        revision = None;
                        continue;
                    }
                    self.state.mark_store_unreachable();
                    // After an outage only a complete list tells what lapsed.
                    revision = None;
                    tokio::time::sleep(self.pause(failures)).await;
                    failures += 1;
                }
            }
        }
    }

    async fn read_all(&mut self) -> Result<u64, StoreError> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut revision = None;
        let mut after: Option<SmolStr> = None;
        loop {
            let page = self.client.page(self.prefix, after.as_deref()).await?;
            // Changes after the first page was read are seen by the watch that follows.
            let revision = *revision.get_or_insert(page.revision);
            items.extend(page.items);
            if page.has_more && page.last_key.is_some() {
                after = page.last_key;
                continue;
            }
            // Daemons that start together read the same; telling it would take a message with all
            // entries for each pair of them.
            let is_first = !self.state.knows_entries();
            let news = match self.prefix {
                StorePrefix::Config => self.state.learn_changes(&items),
                StorePrefix::Entries => self.state.learn_entries(&items, revision),
            };
            if !is_first {
                self.links.tell(news);
            }
            return Ok(revision);
        }
    }

    async fn watch(&mut self, revision: u64) -> Result<u64, StoreError> {
        let watch = self.client.watch(self.prefix, revision, WATCH_TIME).await?;
        if watch.items.is_empty() {
            return Ok(watch.revision);
        }
        let news = self.state.learn_changes(&watch.items);
        self.links.tell(news);
        // Changes that follow at once are read together.
        tokio::time::sleep(GATHER_TIME).await;
        Ok(watch.revision)
    }

    fn pause(&self, failures: u32) -> Duration {
        let heard = self.state.rota.lock().live_peers();
        let share = (heard as f64 / TRYING_DAEMONS as f64).max(1.0);
        let longest = MAX_PAUSE.mul_f64(share).min(MAX_SHARED_PAUSE);
        let pause = (FIRST_PAUSE * 2u32.pow(failures.min(8))).min(longest);
        pause.mul_f64(0.5 + rand::random::<f64>())
    }
}
