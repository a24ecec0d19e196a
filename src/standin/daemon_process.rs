//! Daemon that runs in a separate process.

use crate::{common::*, settings::DaemonSettings};
use std::{
    io::{self, BufRead, BufReader, Write},
    path::Path,
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
};

/// Time between two checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Process of the `skylarkstream` binary. Dropping the value kills the process.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl DaemonProcess {
    /// Starts the binary, which reads the settings from its standard input.
    pub fn start(binary: &Path, settings: &DaemonSettings) -> io::Result<Self> {
        let text = toml::to_string(settings).map_err(io::Error::other)?;
        let mut child = Command::new(binary)
            .args(["run", "--settings", "/dev/stdin"])
            .stdin(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let lines = Arc::clone(&log);
            std::thread::spawn(move || collect_lines(stderr, &lines));
        }
        // Dropping the pipe ends the input of the process.
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(text.as_bytes())?;
        }
        Ok(Self { child, log })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether any log line contains a text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().iter().any(|line| line.contains(text))
    }

    /// Waits until the process exits.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect_lines(stderr: ChildStderr, lines: &Mutex<Vec<String>>) {
    let received = BufReader::new(stderr).lines().map_while(Result::ok);
    received.for_each(|line| lines.lock().push(line));
}
