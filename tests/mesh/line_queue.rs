//! Bounded queue of log lines.

use parking_lot::Mutex;
use skylarkstream::shell::line_queue::LineQueue;
use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
};

/// Output that blocks until the test releases it.
struct BlockedOutput {
    release: mpsc::Receiver<()>,
    text: Arc<Mutex<String>>,
    done: mpsc::Sender<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.text.lock().push_str(&String::from_utf8_lossy(bytes));
        let _ = self.done.send(());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a daemon that is blocked by its log output, and against dropped lines that are
/// not counted.
#[test]
fn blocked_output_does_not_block_the_writer() {
    let (release, released) = mpsc::channel();
    let (done, written) = mpsc::channel();
    let text = Arc::new(Mutex::new(String::new()));
    let output = BlockedOutput {
        release: released,
        text: Arc::clone(&text),
        done,
    };
    let mut queue = LineQueue::start(output).expect("a thread");
    for number in 0..6_000 {
        write!(queue, "line {number}").expect("a write");
        writeln!(queue).expect("a write");
    }
    drop(release);
    // The first line and the report of the dropped ones.
    for _ in 0..2 {
        written.recv().expect("a written line");
    }
    let text = text.lock().clone();
    assert!(text.starts_with("line 0\n"), "{text}");
    assert!(text.contains("Lines dropped."), "{text}");
}
