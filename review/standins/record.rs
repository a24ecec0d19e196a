//! Record of what was sent, answered and run.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Record of one execution of a case.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    runs: Mutex<BTreeMap<String, Vec<Run>>>,
}

/// Run of a request at an upstream.
#[derive(Clone)]
pub struct Run {
    /// Id of the upstream.
    pub instance: String,
    /// Time since the start of the case.
    pub at: Duration,
}

impl Record {
    /// Creates the record file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            runs: Mutex::default(),
        })
    }

    /// Returns the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
        let _ = file.flush();
    }

    /// Records that an upstream began to work on a request.
    pub fn run(&self, attempt: &str, instance: &str) {
        self.line(&format!("run      {attempt} at {instance}"));
        let run = Run {
            instance: instance.to_owned(),
            at: self.elapsed(),
        };
        let mut runs = self.runs.lock().unwrap();
        runs.entry(attempt.to_owned()).or_default().push(run);
    }

    /// Returns the runs of a request.
    pub fn runs_of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.get(attempt).cloned().unwrap_or_default()
    }

    /// Returns all runs by request.
    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        self.runs.lock().unwrap().clone()
    }
}
