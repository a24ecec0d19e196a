//! Clients of one machine.

use crate::{
    http::{read_head, read_message},
    record::Record,
};
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Answer to a request.
#[derive(Clone)]
pub struct Answer {
    /// Id of the client attempt.
    pub attempt: String,
    /// Status, or `None` if the connection ended without a complete answer.
    pub status: Option<u16>,
}

/// Sends requests at a steady rate, each on a connection of its own, until it is told to stop.
pub struct Sender {
    is_stopping: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    task: thread::JoinHandle<()>,
}

impl Sender {
    /// Starts to send unsafe requests.
    pub fn start(
        prefix: &'static str,
        address: SocketAddr,
        path: &'static str,
        deadline_ms: u64,
        interval: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let send = move |attempt: &str| post(address, path, attempt, deadline_ms);
        Self::start_with(prefix, send, interval, record)
    }

    /// Starts to send requests with a function that returns the status of the answer.
    pub fn start_with(
        prefix: &'static str,
        send: impl Fn(&str) -> io::Result<u16> + Clone + Send + 'static,
        interval: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let (stopping, collected, record) = (
            Arc::clone(&is_stopping),
            Arc::clone(&answers),
            Arc::clone(record),
        );
        let task = thread::spawn(move || {
            let mut requests = Vec::new();
            let mut next = Instant::now();
            let mut number = 0;
            while !stopping.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("{prefix}{number:05}");
                let (collected, record) = (Arc::clone(&collected), Arc::clone(&record));
                let send = send.clone();
                requests.push(thread::spawn(move || {
                    record.line(&format!("sent     {attempt}"));
                    let status = send(&attempt).ok();
                    record.line(&format!("answered {attempt} {status:?}"));
                    collected.lock().unwrap().push(Answer { attempt, status });
                }));
                next += interval;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            for request in requests {
                let _ = request.join();
            }
        });
        Self {
            is_stopping,
            answers,
            task,
        }
    }

    /// Stops, waits for all answers and returns them.
    pub fn finish(self) -> Vec<Answer> {
        self.is_stopping.store(true, Ordering::SeqCst);
        let _ = self.task.join();
        self.answers.lock().unwrap().clone()
    }
}

/// Sends one unsafe request and returns the status of its answer.
pub fn post(address: SocketAddr, path: &str, attempt: &str, deadline_ms: u64) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    let body = format!("order of {attempt}");
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let (answer, _) = read_message(&mut stream)?;
    Ok(answer.status())
}

/// Sends one request for a download, reads its answer at once and returns the status.
pub fn get(address: SocketAddr, path: &str, attempt: &str, deadline_ms: u64) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\n\r\n"
    )?;
    let (answer, _) = read_message(&mut stream)?;
    Ok(answer.status())
}

/// Progress of a download that is read slowly.
pub struct Download {
    /// Status of the answer.
    pub status: u16,
    /// Length of the body as the head states it.
    pub length: usize,
    /// Bytes of the body that arrived.
    pub read: usize,
}

/// Reads a download at `bytes_per_s`.
pub fn download_slowly(
    address: SocketAddr,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    bytes_per_s: usize,
) -> io::Result<Download> {
    const STEPS_PER_S: usize = 50;
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\n\r\n"
    )?;
    let head = read_head(&mut stream)?;
    let mut download = Download {
        status: head.status(),
        length: head.body_length(),
        read: 0,
    };
    let mut buffer = vec![0; bytes_per_s / STEPS_PER_S];
    let mut next = Instant::now();
    while download.read < download.length {
        let limit = buffer.len().min(download.length - download.read);
        let mut filled = 0;
        while filled < limit {
            match stream.read(&mut buffer[filled..limit]) {
                Ok(0) | Err(_) => {
                    download.read += filled;
                    return Ok(download);
                }
                Ok(count) => filled += count,
            }
        }
        download.read += filled;
        next += Duration::from_secs(1) / STEPS_PER_S as u32;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    Ok(download)
}
