//! Daemons whose tasks panic.

use crate::{
    end_to_end::{Fleet, request, send_request},
    stand_ins::config,
};
use parking_lot::Mutex;
use skylarkstream::{
    controller::task_supervisor::TaskSupervisor,
    decision::{
        clock::{Clock, ManualClock},
        restart_schedule::RestartSchedule,
    },
    mesh::task_names,
};
use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task, time::timeout};

/// Time after which a test fails because a daemon does not recover.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which tasks panic.
const PANIC_TIME: Duration = Duration::from_millis(1_500);

/// Clock that panics, while it is armed, when a task reads it for the first time.
#[derive(Default)]
struct PanickingClock {
    /// Tasks that panicked; `None` while the clock is not armed.
    panicked: Mutex<Option<HashSet<task::Id>>>,
}

impl Clock for PanickingClock {
    fn now(&self) -> Instant {
        let mut panicked = self.panicked.lock();
        let is_first = match (panicked.as_mut(), task::try_id()) {
            (Some(tasks), Some(id)) => tasks.insert(id),
            _ => false,
        };
        drop(panicked);
        assert!(!is_first, "injected");
        Instant::now()
    }
}

/// Guards against a daemon that is up and ready, and does not follow the store or serve its peers any
/// more, since one of its tasks ended with a panic.
#[tokio::test]
async fn daemons_recover_from_a_panic_in_each_task() {
    let clock = Arc::new(PanickingClock::default());
    let fleet = Fleet::start_with_clock(clock.clone()).await;
    *clock.panicked.lock() = Some(HashSet::new());
    let begin = Instant::now();
    while begin.elapsed() < PANIC_TIME {
        for address in &fleet.outbound {
            let _ = send_request(*address, &request("/safe/x", "t")).await;
        }
    }
    *clock.panicked.lock() = None;
    let recovering = async {
        fleet.put_config(&config(2).replace("/safe/", "/new/"));
        for address in &fleet.outbound {
            while !send_request(*address, &request("/new/x", "u"))
                .await
                .starts_with("HTTP/1.1 200")
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        fleet.wait_until_ready().await;
    };
    timeout(TEST_TIMEOUT, recovering).await.expect("recovery");
    let metrics = send_request(fleet.metrics[0], "GET / HTTP/1.1\r\n\r\n").await;
    for task in [
        task_names::STORE_READER,
        task_names::READER_ELECTION,
        task_names::CALLER_LISTENER,
        task_names::HOUSEKEEPING,
        task_names::LOAD_SENDER,
        task_names::PEER_CONNECTION,
        task_names::PEER_LINK,
    ] {
        let line = format!("skylark_task_panics_total{{task=\"{}\"}}", task.name);
        assert!(
            metrics.contains(&line),
            "no panic of {}: {metrics}",
            task.name
        );
    }
}

/// Guards against a daemon that counts as ready although one of its tasks cannot do its work.
#[tokio::test(start_paused = true)]
async fn essential_task_that_panics_repeatedly_is_reported_until_it_works() {
    let clock = Arc::new(ManualClock::new());
    let supervisor = Arc::new(TaskSupervisor::new(clock.clone()));
    for (name, expected) in [
        (task_names::SETTINGS_RELOAD, None),
        (
            task_names::STORE_READER,
            Some(task_names::STORE_READER.name),
        ),
    ] {
        let starts = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&starts);
        let supervised = Arc::clone(&supervisor).supervise(name, move || {
            let start = counted.fetch_add(1, Ordering::Relaxed);
            async move { assert!(start >= 3, "injected") }
        });
        timeout(TEST_TIMEOUT, supervised).await.expect("an end");
        assert_eq!(starts.load(Ordering::Relaxed), 4);
        assert_eq!(supervisor.failing_task(), expected);
    }
    clock.advance(Duration::from_secs(10));
    assert_eq!(supervisor.failing_task(), None);
    assert_eq!(supervisor.panic_count(), 6);
}

/// Guards against restarts in quick succession of a task that panics at once.
#[test]
fn delay_before_a_restart_grows_until_the_task_is_calm() {
    let clock = ManualClock::new();
    let mut schedule = RestartSchedule::default();
    let delays: Vec<u128> = (0..8)
        .map(|_| schedule.record_panic(clock.now()).as_millis())
        .collect();
    assert_eq!(delays, [50, 100, 200, 400, 800, 1_600, 2_000, 2_000]);
    clock.advance(Duration::from_secs(10));
    assert_eq!(schedule.record_panic(clock.now()).as_millis(), 50);
    assert!(!schedule.is_failing(clock.now()));
}
