//! Tasks that run as long as the daemon.

use crate::{
    common::*,
    controller::task_supervisor::{TaskName, TaskSupervisor},
    shell::daemon::DaemonState,
};
use std::future::Future;
use tokio::task::JoinSet;

/// Tasks of a daemon, which are started again after a panic. Dropping this ends them.
pub struct BackgroundTasks {
    daemon: Arc<DaemonState>,
    supervisor: Arc<TaskSupervisor>,
    tasks: JoinSet<()>,
}

impl BackgroundTasks {
    /// Creates an empty set of tasks.
    pub fn new(daemon: &Arc<DaemonState>) -> Self {
        Self {
            daemon: Arc::clone(daemon),
            supervisor: Arc::new(TaskSupervisor::new(Arc::clone(&daemon.clock))),
            tasks: JoinSet::new(),
        }
    }

    /// Spawns a task that `start` creates, also after each panic.
    pub fn spawn<F>(
        &mut self,
        name: &'static str,
        start: impl Fn(Arc<DaemonState>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let daemon = Arc::clone(&self.daemon);
        let task = TaskName::essential(name);
        let supervised =
            Arc::clone(&self.supervisor).supervise(task, move || start(Arc::clone(&daemon)));
        self.tasks.spawn(supervised);
    }
}
