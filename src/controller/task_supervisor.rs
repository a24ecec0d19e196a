//! Recovery of tasks that panic.

use crate::{
    common::*,
    decision::{clock::Clock, restart_schedule::RestartSchedule},
};
use futures_util::FutureExt;
use std::{future::Future, panic::AssertUnwindSafe};

/// Task of a daemon, or kind of task, as named in logs and metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TaskName {
    /// Name.
    pub name: &'static str,
    /// Whether a daemon without this task does not serve its callers as it should.
    pub is_essential: bool,
}

impl TaskName {
    /// Names a task whose repeated failure makes the daemon unready.
    pub const fn essential(name: &'static str) -> Self {
        Self {
            name,
            is_essential: true,
        }
    }

    /// Names a task that the daemon can do without for a while.
    pub const fn auxiliary(name: &'static str) -> Self {
        Self {
            name,
            is_essential: false,
        }
    }
}

#[derive(Debug, Default)]
struct TaskRecord {
    panics: u64,
    restarts: RestartSchedule,
}

/// Starts tasks again that panicked, and counts the panics.
///
/// The rest of the process goes on meanwhile: requests in progress at other tasks are not affected.
pub struct TaskSupervisor {
    clock: Arc<dyn Clock>,
    records: Mutex<IndexMap<TaskName, TaskRecord>>,
}

impl TaskSupervisor {
    /// Creates a supervisor.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            records: Mutex::default(),
        }
    }

    /// Runs a task until it returns. After a panic, `start` creates it anew.
    pub async fn supervise<F: Future<Output = ()>>(
        self: Arc<Self>,
        task: TaskName,
        mut start: impl FnMut() -> F,
    ) {
        // The task is also created within the guard, since its creation may panic as well.
        while self.guard(task, async { start().await }).await.is_none() {
            let now = self.clock.now();
            let delay = {
                let mut records = self.records.lock();
                let record = records.entry(task).or_default();
                record.restarts.record_panic(now)
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Runs work that serves one connection or request; returns `None` if it panicked.
    pub async fn guard<T>(&self, task: TaskName, work: impl Future<Output = T>) -> Option<T> {
        let result = AssertUnwindSafe(work).catch_unwind().await;
        if result.is_err() {
            log::error!(task = task.name; "tasks: The task panicked.");
            self.records.lock().entry(task).or_default().panics += 1;
        }
        result.ok()
    }

    /// Returns an essential task that panics again and again.
    pub fn failing_task(&self) -> Option<&'static str> {
        let now = self.clock.now();
        let records = self.records.lock();
        let mut tasks = records.iter();
        let failing =
            tasks.find(|(task, record)| task.is_essential && record.restarts.is_failing(now));
        failing.map(|(task, _)| task.name)
    }

    /// Returns the numbers of panics since the start of the process, by task.
    pub fn panic_counts(&self) -> Vec<(&'static str, u64)> {
        let records = self.records.lock();
        let counts = records.iter();
        counts
            .map(|(task, record)| (task.name, record.panics))
            .collect()
    }

    /// Returns the number of panics of all tasks since the start of the process.
    pub fn panic_count(&self) -> u64 {
        let records = self.records.lock();
        records.values().map(|record| record.panics).sum()
    }
}
