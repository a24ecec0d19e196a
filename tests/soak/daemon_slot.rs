//! Place of one daemon, whose process is started, signalled and started again.

use crate::{
    fleet::GRACE,
    ledger::{Ledger, TroubleSpan},
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

/// Interval of the checks whether a process has ended.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Place of one daemon; dropping it kills the process.
pub struct DaemonSlot {
    machine: usize,
    settings_path: PathBuf,
    settings: String,
    log_path: PathBuf,
    /// Locked while the process is ended and started again.
    child: Mutex<Option<Child>>,
    pid: parking_lot::Mutex<Option<Pid>>,
    is_restarting: AtomicBool,
    /// End of the last pause.
    paused: parking_lot::Mutex<Option<Instant>>,
}

impl DaemonSlot {
    /// Creates the place of a daemon and writes its settings.
    pub fn new(machine: usize, folder: &Path, settings: String) -> Self {
        let settings_path = folder.join(format!("d-{machine}.toml"));
        std::fs::write(&settings_path, &settings).expect("the settings file");
        Self {
            machine,
            settings_path,
            settings,
            log_path: folder.join(format!("d-{machine}.log")),
            child: Mutex::default(),
            pid: parking_lot::Mutex::default(),
            is_restarting: AtomicBool::new(false),
            paused: parking_lot::Mutex::default(),
        }
    }

    /// Starts the process.
    pub async fn start(&self) {
        let mut child = self.child.lock().await;
        *child = Some(self.spawn());
    }

    /// Stops the process for a while.
    pub async fn pause(&self, lasts: Duration) {
        *self.paused.lock() = Some(Instant::now() + lasts);
        self.signal(Signal::SIGSTOP);
        tokio::time::sleep(lasts).await;
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process and starts it again after a while.
    pub async fn kill(&self, away: Duration, ledger: &Ledger) {
        let Ok(mut child) = self.child.try_lock() else {
            return;
        };
        self.is_restarting.store(true, Ordering::Relaxed);
        self.note_exit(&mut child, ledger);
        let begin = Instant::now();
        self.end_by_force(&mut child);
        tokio::time::sleep(away).await;
        *child = Some(self.spawn());
        self.is_restarting.store(false, Ordering::Relaxed);
        self.add_kill(begin, ledger);
    }

    /// Asks the process to end, sends further signals at once, and starts it again.
    pub async fn terminate(&self, signals: u8, ledger: &Ledger) {
        let Ok(mut child) = self.child.try_lock() else {
            return;
        };
        self.is_restarting.store(true, Ordering::Relaxed);
        self.note_exit(&mut child, ledger);
        self.stop(&mut child, signals, ledger).await;
        *child = Some(self.spawn());
        self.is_restarting.store(false, Ordering::Relaxed);
    }

    /// Makes the settings unreadable for a while, and has them read again before and after.
    pub async fn reload(&self, lasts: Duration) {
        if self.is_restarting.load(Ordering::Relaxed) {
            return;
        }
        let Ok(_child) = self.child.try_lock() else {
            return;
        };
        std::fs::write(&self.settings_path, "instance = [").expect("the settings file");
        self.signal(Signal::SIGHUP);
        tokio::time::sleep(lasts).await;
        std::fs::write(&self.settings_path, &self.settings).expect("the settings file");
        self.signal(Signal::SIGHUP);
    }

    /// Ends the process at the end of the day.
    pub async fn end(&self, ledger: &Ledger) {
        let mut child = self.child.lock().await;
        self.note_exit(&mut child, ledger);
        self.stop(&mut child, 0, ledger).await;
    }

    async fn stop(&self, child: &mut Option<Child>, signals: u8, ledger: &Ledger) {
        let begin = Instant::now();
        self.signal(Signal::SIGTERM);
        for number in 0..signals {
            tokio::time::sleep(Duration::from_millis(40)).await;
            let further = [Signal::SIGHUP, Signal::SIGTERM][usize::from(number % 2)];
            self.signal(further);
        }
        while begin.elapsed() < GRACE {
            let ended = child.as_mut().and_then(|child| child.try_wait().ok());
            if let Some(Some(status)) = ended {
                *self.pid.lock() = None;
                if !status.success() {
                    let machine = self.machine;
                    ledger.fail(format!("END: machine {machine} ended with {status}"));
                }
                *child = None;
                return;
            }
            tokio::time::sleep(EXIT_POLL).await;
        }
        let since_pause = self.paused.lock().is_some_and(|at| at >= begin);
        if !since_pause {
            let machine = self.machine;
            ledger.fail(format!("END: machine {machine} outlives its grace"));
        }
        let killed = Instant::now();
        self.end_by_force(child);
        self.add_kill(killed, ledger);
    }

    /// Notes a process that has ended by itself.
    fn note_exit(&self, child: &mut Option<Child>, ledger: &Ledger) {
        let ended = child.as_mut().and_then(|child| child.try_wait().ok());
        if let Some(Some(status)) = ended {
            let machine = self.machine;
            ledger.fail(format!(
                "END: machine {machine} ended by itself with {status}"
            ));
        }
    }

    fn end_by_force(&self, child: &mut Option<Child>) {
        *self.pid.lock() = None;
        if let Some(mut child) = child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn add_kill(&self, begin: Instant, ledger: &Ledger) {
        ledger.on_trouble(TroubleSpan {
            machine: Some(self.machine),
            is_kill: true,
            begin,
            end: Instant::now(),
        });
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = *self.pid.lock() {
            let _ = kill(pid, signal);
        }
    }

    fn spawn(&self) -> Child {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .expect("the log file");
        let errors = log.try_clone().expect("the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_skylarkstream"))
            .arg("sidecar")
            .env("SKYLARKSTREAM_CONFIG", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("the daemon");
        *self.pid.lock() = Some(Pid::from_raw(child.id() as i32));
        child
    }
}

impl Drop for DaemonSlot {
    fn drop(&mut self) {
        let mut child = self.child.get_mut().take();
        self.end_by_force(&mut child);
    }
}
