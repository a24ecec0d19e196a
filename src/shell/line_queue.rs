//! Bounded queue of log lines for an output that may block.

use crate::common::*;
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
};

/// Maximum number of lines that wait for the output.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of lines in one second. At the largest supported load, a daemon handles about 140
/// calls a second and logs up to two lines for each.
const MAX_LINES_PER_SECOND: u32 = 1_000;

/// Writer that never blocks: lines that exceed its limits are dropped and counted.
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    partial_line: Vec<u8>,
    second_start: Instant,
    lines_in_second: u32,
}

impl LineQueue {
    /// Starts a thread that writes the lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &counter, output))?;
        Ok(Self {
            lines,
            dropped,
            partial_line: Vec::new(),
            second_start: Instant::now(),
            lines_in_second: 0,
        })
    }
}

impl LineQueue {
    fn queue(&mut self, line: Vec<u8>) {
        let now = Instant::now();
        if now >= self.second_start + Duration::from_secs(1) {
            (self.second_start, self.lines_in_second) = (now, 0);
        }
        self.lines_in_second += 1;
        let is_queued =
            self.lines_in_second <= MAX_LINES_PER_SECOND && self.lines.try_send(line).is_ok();
        if !is_queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial_line.extend_from_slice(bytes);
        if self.partial_line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial_line);
            self.queue(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        let mut result = output.write_all(&line);
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 && result.is_ok() {
            let notice = format!(
                "{{\"part\":\"log\",\"message\":\"Lines dropped.\",\"lines\":{dropped_lines}}}\n"
            );
            result = output.write_all(notice.as_bytes());
        }
        if result.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
