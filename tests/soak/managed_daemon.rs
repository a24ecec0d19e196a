//! Daemon process that the test starts, signals and restarts.

use crate::{
    fleet::SHUTDOWN_GRACE,
    history::{FaultSpan, History},
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    fs::OpenOptions,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};
use tokio::sync::Mutex;

/// Interval between checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemon process that can be signalled and restarted; dropping it kills the process.
pub struct ManagedDaemon {
    machine: usize,
    settings_path: PathBuf,
    settings: String,
    log_path: PathBuf,
    /// Locked while the process is being stopped and restarted.
    child: Mutex<Option<Child>>,
    pid: parking_lot::Mutex<Option<Pid>>,
    is_restarting: AtomicBool,
    /// End of the last pause; in the future while the process is paused.
    last_pause_end: parking_lot::Mutex<Option<Instant>>,
}

impl ManagedDaemon {
    /// Writes the settings of a daemon that is not started yet.
    pub fn new(machine: usize, folder: &Path, settings: String) -> Self {
        let settings_path = folder.join(format!("d-{machine}.toml"));
        std::fs::write(&settings_path, &settings).expect("failed to write the settings file");
        Self {
            machine,
            settings_path,
            settings,
            log_path: folder.join(format!("d-{machine}.log")),
            child: Mutex::default(),
            pid: parking_lot::Mutex::default(),
            is_restarting: AtomicBool::new(false),
            last_pause_end: parking_lot::Mutex::default(),
        }
    }

    /// Starts the process.
    pub async fn start(&self) {
        let mut child = self.child.lock().await;
        *child = Some(self.spawn());
    }

    /// Stops the process with SIGSTOP and resumes it after `duration`.
    pub async fn pause(&self, duration: Duration) {
        *self.last_pause_end.lock() = Some(Instant::now() + duration);
        self.send_signal(Signal::SIGSTOP);
        tokio::time::sleep(duration).await;
        self.send_signal(Signal::SIGCONT);
    }

    /// Kills the process and restarts it after `downtime`. Does nothing if it is being restarted.
    pub async fn kill(&self, downtime: Duration, history: &History) {
        let Ok(mut child) = self.child.try_lock() else {
            return;
        };
        self.is_restarting.store(true, Ordering::Relaxed);
        self.report_unexpected_exit(&mut child, history);
        let begin = Instant::now();
        self.force_kill(&mut child);
        tokio::time::sleep(downtime).await;
        *child = Some(self.spawn());
        self.is_restarting.store(false, Ordering::Relaxed);
        self.record_kill(begin, history);
    }

    /// Sends SIGTERM and then `signals` further signals, and restarts the process after its exit.
    /// Does nothing if it is being restarted.
    pub async fn terminate(&self, signals: u8, history: &History) {
        let Ok(mut child) = self.child.try_lock() else {
            return;
        };
        self.is_restarting.store(true, Ordering::Relaxed);
        self.report_unexpected_exit(&mut child, history);
        self.stop_process(&mut child, signals, history).await;
        *child = Some(self.spawn());
        self.is_restarting.store(false, Ordering::Relaxed);
    }

    /// Makes the settings file invalid for `duration` and then restores it. The daemon gets SIGHUP
    /// after each change. Does nothing if it is being restarted.
    pub async fn reload(&self, duration: Duration) {
        if self.is_restarting.load(Ordering::Relaxed) {
            return;
        }
        let Ok(_child) = self.child.try_lock() else {
            return;
        };
        std::fs::write(&self.settings_path, "instance = [")
            .expect("failed to write the settings file");
        self.send_signal(Signal::SIGHUP);
        tokio::time::sleep(duration).await;
        std::fs::write(&self.settings_path, &self.settings)
            .expect("failed to write the settings file");
        self.send_signal(Signal::SIGHUP);
    }

    /// Stops the process at the end of the round.
    pub async fn shut_down(&self, history: &History) {
        let mut child = self.child.lock().await;
        self.report_unexpected_exit(&mut child, history);
        self.stop_process(&mut child, 0, history).await;
    }

    async fn stop_process(&self, child: &mut Option<Child>, signals: u8, history: &History) {
        let begin = Instant::now();
        self.send_signal(Signal::SIGTERM);
        for number in 0..signals {
            tokio::time::sleep(Duration::from_millis(40)).await;
            let further_signal = [Signal::SIGHUP, Signal::SIGTERM][usize::from(number % 2)];
            self.send_signal(further_signal);
        }
        while begin.elapsed() < SHUTDOWN_GRACE {
            let exited = child.as_mut().and_then(|child| child.try_wait().ok());
            if let Some(Some(status)) = exited {
                *self.pid.lock() = None;
                if !status.success() {
                    let machine = self.machine;
                    history.record_violation(format!(
                        "END: daemon {machine} exited with {status} after SIGTERM"
                    ));
                }
                *child = None;
                return;
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        let was_paused = self.last_pause_end.lock().is_some_and(|at| at >= begin);
        if !was_paused {
            let machine = self.machine;
            history.record_violation(format!(
                "END: daemon {machine} did not exit within its grace period"
            ));
        }
        let kill_begin = Instant::now();
        self.force_kill(child);
        self.record_kill(kill_begin, history);
    }

    /// Records a violation if the process has exited without a signal from the test.
    fn report_unexpected_exit(&self, child: &mut Option<Child>, history: &History) {
        let exited = child.as_mut().and_then(|child| child.try_wait().ok());
        if let Some(Some(status)) = exited {
            let machine = self.machine;
            history.record_violation(format!(
                "END: daemon {machine} exited unexpectedly with {status}"
            ));
        }
    }

    fn force_kill(&self, child: &mut Option<Child>) {
        *self.pid.lock() = None;
        if let Some(mut child) = child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn record_kill(&self, begin: Instant, history: &History) {
        history.record_fault_span(FaultSpan {
            machine: Some(self.machine),
            is_kill: true,
            begin,
            end: Instant::now(),
        });
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(pid) = *self.pid.lock() {
            let _ = kill(pid, signal);
        }
    }

    fn spawn(&self) -> Child {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .expect("failed to open the log file");
        let stderr = log
            .try_clone()
            .expect("failed to duplicate the log file handle");
        let child = Command::new(env!("CARGO_BIN_EXE_skylarkstream"))
            .arg("sidecar")
            .env("SKYLARKSTREAM_CONFIG", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(stderr))
            .spawn()
            .expect("failed to start the daemon");
        *self.pid.lock() = Some(Pid::from_raw(child.id() as i32));
        child
    }
}

impl Drop for ManagedDaemon {
    fn drop(&mut self) {
        let mut child = self.child.get_mut().take();
        self.force_kill(&mut child);
    }
}
