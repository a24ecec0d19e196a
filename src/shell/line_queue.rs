//! Bounded queue of log lines in front of an output that may block.

use crate::common::*;
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
};

/// Lines that wait for the output.
const QUEUE_LINES: usize = 4_096;

/// Lines that are taken in one second. At the size to design for, a daemon takes part in about 140
/// calls a second and writes up to two lines for each.
const LINES_PER_SECOND: u32 = 1_000;

/// Writer that never blocks: lines beyond its bounds are dropped and counted.
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    partial: Vec<u8>,
    second: Instant,
    taken: u32,
}

impl LineQueue {
    /// Starts a thread that writes the lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = mpsc::sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &counter, output))?;
        Ok(Self {
            lines,
            dropped,
            partial: Vec::new(),
            second: Instant::now(),
            taken: 0,
        })
    }
}

impl LineQueue {
    fn queue(&mut self, line: Vec<u8>) {
        let now = Instant::now();
        if now >= self.second + Duration::from_secs(1) {
            (self.second, self.taken) = (now, 0);
        }
        self.taken += 1;
        let is_taken = self.taken <= LINES_PER_SECOND && self.lines.try_send(line).is_ok();
        if !is_taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        if self.partial.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial);
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
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 && result.is_ok() {
            let note =
                format!("{{\"part\":\"log\",\"message\":\"Lines dropped.\",\"lines\":{lost}}}\n");
            result = output.write_all(note.as_bytes());
        }
        if result.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
