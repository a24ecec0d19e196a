//! Readers of the store whose connections fail without being closed.

use crate::stand_ins::{StoreStandIn, config, free_port, loopback};
use skylarkstream::{
    decision::clock::Clock,
    mesh::{
        fleet_state::FleetState, mesh_settings::MeshSettings, peer_links::PeerLinks,
        store_reader::StoreReader,
    },
    platform::{context_names::context_headers, store_format::PlatformStore},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, task::JoinSet};

/// Time after which a version must be in force although all open connections went silent before it
/// was published.
const SILENCE_BOUND: Duration = Duration::from_secs(3);

/// Step in which the tests wait in virtual time.
const STEP: Duration = Duration::from_millis(10);

/// Clock of the runtime, which tests pause.
struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }
}

/// Daemon that only reads the store.
struct Scenario {
    state: Arc<FleetState>,
    store: Arc<StoreStandIn>,
    _is_reader: watch::Sender<bool>,
    _readers: JoinSet<()>,
}

impl Scenario {
    async fn start() -> Self {
        let store_address = loopback(1, free_port());
        let store = StoreStandIn::start(store_address).await;
        store.put("op/config", &config(1));
        let text = format!(
            "instance = \"i\"\ndata_centre = \"a\"\nservice = \"s\"\n\
             backend = \"127.0.0.1:1\"\noutbound = \"127.0.0.1:2\"\npeer = \"127.0.0.1:3\"\n\
             readiness = \"127.0.0.1:4\"\nstore = \"{store_address}\"\ngrace_s = 1.0\n"
        );
        let settings = MeshSettings::from_bytes(text.as_bytes()).expect("settings");
        let state = Arc::new(FleetState::new(
            settings,
            context_headers(),
            Arc::new(PlatformStore),
            Arc::new(RuntimeClock),
        ));
        let links = PeerLinks::new(Arc::clone(&state));
        let (is_reader_sender, is_reader) = watch::channel(true);
        let mut readers = JoinSet::new();
        readers.spawn(StoreReader::new(Arc::clone(&state), links, is_reader).run());
        let scenario = Self {
            state,
            store,
            _is_reader: is_reader_sender,
            _readers: readers,
        };
        scenario.time_to_version(1).await;
        scenario
    }

    /// Waits until a version is in force; returns how long it took.
    async fn time_to_version(&self, version: u64) -> Duration {
        let begin = tokio::time::Instant::now();
        while self
            .state
            .routes()
            .is_none_or(|routes| routes.version().0 < version)
        {
            tokio::time::sleep(STEP).await;
        }
        begin.elapsed()
    }
}

/// Guards against daemons that do not read the store because of a reader whose connections are
/// silent and that still reports that it reads.
#[tokio::test(start_paused = true)]
async fn reader_without_responses_does_not_count() {
    let scenario = Scenario::start().await;
    assert!(scenario.state.store_status().is_reading);
    scenario.store.stop_responding();
    tokio::time::sleep(SILENCE_BOUND).await;
    assert!(!scenario.state.store_status().is_reading);
}

/// Guards against a store that responds slowly and whose connections are given up again and again.
#[tokio::test(start_paused = true)]
async fn slow_store_is_not_taken_for_a_silent_one() {
    let scenario = Scenario::start().await;
    scenario.store.delay_responses(Duration::from_millis(1_000));
    // The first slow response is overdue; the limit follows the response times after that.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let connections = scenario.store.connection_count();
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(scenario.store.connection_count(), connections);
    scenario.store.put("op/config", &config(2));
    let time = scenario.time_to_version(2).await;
    assert!(time <= SILENCE_BOUND, "{time:?}");
}

/// Guards against routes that stay in force after a later version was published, because the
/// connection to the store is silent and the reader takes it for a store without changes.
#[tokio::test(start_paused = true)]
async fn version_behind_a_silent_connection_is_in_force_in_time() {
    let scenario = Scenario::start().await;
    scenario.store.silence_connections();
    scenario.store.put("op/config", &config(2));
    let time = scenario.time_to_version(2).await;
    assert!(time <= SILENCE_BOUND, "{time:?}");
}

/// Guards against a reader that goes on from a revision that a restored store has given out again, and
/// against one that loses what is in force because of an era that cannot be read.
#[tokio::test(start_paused = true)]
async fn restored_store_is_read_from_the_start() {
    let scenario = Scenario::start().await;
    let position = || scenario.state.store_status().position;
    let before = position();
    for invalid in [
        "-1",
        "+1",
        "one",
        "18446744073709551616",
        "1\r\nStore-Era: 2",
    ] {
        scenario.store.restore(invalid, before.revision + 5);
        tokio::time::sleep(SILENCE_BOUND).await;
        assert_eq!(position(), before, "{invalid}");
        assert!(scenario.state.routes().is_some());
    }
    scenario.store.restore("3", before.revision - 5);
    scenario.store.set_status(503);
    tokio::time::sleep(SILENCE_BOUND).await;
    scenario.store.set_status(200);
    scenario.store.put("op/config", &config(2));
    let time = scenario.time_to_version(2).await;
    assert!(time <= SILENCE_BOUND, "{time:?}");
    assert_eq!(position().era, 3);
    assert!(position().revision < before.revision);
    // A late response of an earlier era changes nothing.
    scenario.store.restore("2", before.revision + 50);
    tokio::time::sleep(SILENCE_BOUND).await;
    assert_eq!(position().era, 3);
}
