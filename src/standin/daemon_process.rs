//! Daemon that runs as a process of its own.

use crate::{common::*, settings::DaemonSettings};
use std::{
    io::{self, BufRead, BufReader, Write},
    path::Path,
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
};

/// Process of the `skylarkstream` binary; dropping it kills the process.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl DaemonProcess {
    /// Starts the binary with settings that it reads from its standard input.
    pub fn start(binary: &Path, settings: &DaemonSettings) -> io::Result<Self> {
        let text = toml::to_string(settings).map_err(io::Error::other)?;
        let mut child = Command::new(binary)
            .args(["run", "--settings", "/dev/stdin"])
            .stdin(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let sink = Arc::clone(&log);
            std::thread::spawn(move || collect_lines(stderr, &sink));
        }
        // The end of the input is reached when the pipe is dropped.
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(text.as_bytes())?;
        }
        Ok(Self { child, log })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether a line of the log contains a text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().iter().any(|line| line.contains(text))
    }

    /// Returns the exit status, unless the process still runs.
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

fn collect_lines(stderr: ChildStderr, sink: &Mutex<Vec<String>>) {
    let lines = BufReader::new(stderr).lines().map_while(Result::ok);
    lines.for_each(|line| sink.lock().push(line));
}
