//! Backend server that records what it runs and can misbehave.

use crate::{
    fleet::Fleet,
    http_text::{field, read_message},
    ledger::{Arrival, SeenEnd, SentRequest},
};
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncWriteExt, BufStream},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};

/// Requests that run side by side.
const SLOTS: usize = 24;

/// What a backend server does with one in three requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendMode {
    /// Answers.
    Sound,
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Refuses without running the request.
    Refuse,
    /// Runs the request and answers with 500.
    Fail,
    /// Works longer.
    Slow,
    /// Answers with the identifier of another request.
    WrongAttempt,
    /// Closes the connection within the body.
    ShortBody,
    /// Answers without its signature.
    NoSignature,
    /// Sends a second answer behind the first.
    ExtraAnswer,
    /// Closes each connection that is idle for 30 ms.
    ForgetIdle,
}

/// Backend server beside one daemon.
pub struct Backend {
    pub service: String,
    address: SocketAddr,
    outbound: SocketAddr,
    machine: usize,
    pub id: Mutex<String>,
    mode: Mutex<BackendMode>,
    born: AtomicUsize,
    working: AtomicUsize,
    counter: AtomicUsize,
    listening: Mutex<Option<JoinSet<()>>>,
}

impl Backend {
    /// Creates a backend server that does not listen yet.
    pub fn new(
        machine: usize,
        service: &str,
        address: SocketAddr,
        outbound: SocketAddr,
    ) -> Arc<Self> {
        Arc::new(Self {
            service: service.to_owned(),
            address,
            outbound,
            machine,
            id: Mutex::new(format!("i-{machine}-0")),
            mode: Mutex::new(BackendMode::Sound),
            born: AtomicUsize::new(1),
            working: AtomicUsize::new(0),
            counter: AtomicUsize::new(0),
            listening: Mutex::default(),
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time of the last start in milliseconds.
    pub fn born_ms(&self) -> usize {
        self.born.load(Ordering::Relaxed)
    }

    /// Takes a new id.
    pub fn rename(&self) {
        let born = self.born.fetch_add(1, Ordering::Relaxed) + 1;
        *self.id.lock() = format!("i-{}-{born}", self.machine);
    }

    /// Starts to listen.
    pub async fn start(self: &Arc<Self>, fleet: &Arc<Fleet>) {
        let listener = TcpListener::bind(self.address).await.expect("the address");
        let (server, fleet) = (Arc::clone(self), Arc::clone(fleet));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(Arc::clone(&server).serve(stream, Arc::clone(&fleet)));
                while connections.try_join_next().is_some() {}
            }
        });
        self.born.fetch_add(1, Ordering::Relaxed);
        *self.listening.lock() = Some(tasks);
    }

    /// Ends all connections and all work at once; returns whether the server was up.
    pub fn crash(&self) -> bool {
        self.working.store(0, Ordering::Relaxed);
        self.listening.lock().take().is_some()
    }

    /// Changes what the server does.
    pub fn set(&self, mode: BackendMode) {
        *self.mode.lock() = mode;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, fleet: Arc<Fleet>) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufStream::new(stream);
        loop {
            let idle = match *self.mode.lock() {
                BackendMode::ForgetIdle => Duration::from_millis(30),
                _ => Duration::from_secs(30),
            };
            let Ok(Some(head)) = timeout(idle, read_message(&mut stream)).await else {
                return;
            };
            let Some((answer, closes)) = self.answer(&head, &fleet).await else {
                return;
            };
            let is_sent = stream.write_all(answer.as_bytes()).await.is_ok();
            if !is_sent || stream.flush().await.is_err() || closes {
                return;
            }
        }
    }

    /// Returns the bytes of the answer and whether the connection ends behind them, or `None` if it
    /// ends without an answer.
    async fn answer(&self, head: &str, fleet: &Arc<Fleet>) -> Option<(String, bool)> {
        let attempt = field(head, "attempt-id").unwrap_or_default();
        let id = self.id.lock().clone();
        let mut arrival = Arrival {
            instance: id.clone(),
            service: self.service.clone(),
            at: Instant::now(),
            is_run: false,
            answer: None,
        };
        if field(head, "expect-instance").is_some_and(|expected| expected != id) {
            let answer =
                format!("HTTP/1.1 421 M\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return Some((answer, false));
        }
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        let mode = *self.mode.lock();
        let mode = if count.is_multiple_of(3) {
            mode
        } else {
            BackendMode::Sound
        };
        let is_full = self.working.load(Ordering::Relaxed) >= SLOTS;
        if mode == BackendMode::Refuse || is_full {
            fleet.ledger.on_arrival(&attempt, head, arrival);
            let answer = format!(
                "HTTP/1.1 503 F\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return Some((answer, false));
        }
        arrival.is_run = true;
        let number = fleet.ledger.on_arrival(&attempt, head, arrival);
        self.working.fetch_add(1, Ordering::Relaxed);
        let is_done = self.work(head, mode, number > 0, fleet).await;
        let working = &self.working;
        let _ = working.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
        let status = if is_done && mode != BackendMode::Fail {
            "200"
        } else {
            "500"
        };
        let body = format!("{id} {attempt} {}", "x".repeat(count % 700));
        let signature = format!("{id}.{count}");
        let full = |attempt: &str, signature: &str| {
            format!(
                "HTTP/1.1 {status} R\r\nAttempt-Id: {attempt}\r\n{signature}\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let line = format!("Server-Signature: {signature}\r\n");
        match mode {
            BackendMode::LoseAnswer => return None,
            BackendMode::WrongAttempt => return Some((full("other", &line), false)),
            BackendMode::NoSignature if status == "200" => {
                return Some((full(&attempt, ""), false));
            }
            BackendMode::ShortBody => {
                let answer = full(&attempt, &line);
                let sent = answer.len() - body.len() / 2 - 1;
                return Some((answer[..sent].to_owned(), true));
            }
            _ => {}
        }
        let made = (status.to_owned(), signature, body.clone());
        fleet.ledger.on_answer(&attempt, number, made);
        let answer = full(&attempt, &line);
        match mode {
            BackendMode::ExtraAnswer => Some((answer.repeat(2), false)),
            _ => Some((answer, false)),
        }
    }

    /// Works on a request; returns whether the call that it needs was answered.
    async fn work(&self, head: &str, mode: BackendMode, is_repeat: bool, fleet: &Fleet) -> bool {
        let work = match mode {
            BackendMode::Slow => 600,
            _ => 10 + (head.len() as u64 * 7) % 60,
        };
        tokio::time::sleep(Duration::from_millis(work)).await;
        if !head.contains(" /nest/") {
            return true;
        }
        let left = field(head, "deadline-ms").and_then(|text| text.parse().ok());
        let left: u64 = left.unwrap_or(1_000);
        let attempt = fleet.next_attempt();
        let line = "GET /leaf/x".to_owned();
        let call = SentRequest {
            origin: self.service.clone(),
            machine: self.machine,
            line: line.clone(),
            body: String::new(),
            is_once: false,
            services: fleet.services_of("leaf"),
            is_call_of_repeat: is_repeat,
            sent: Instant::now(),
        };
        let text = format!(
            "{line} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {left}\r\n\r\n"
        );
        let Ok(mut stream) = TcpStream::connect(self.outbound).await else {
            return false;
        };
        fleet.ledger.on_sent(&attempt, call);
        if stream.write_all(text.as_bytes()).await.is_err() {
            fleet.ledger.on_end(&attempt, SeenEnd::Left);
            return false;
        }
        let mut stream = BufStream::new(stream);
        let limit = Duration::from_millis(left) + crate::caller::SILENCE_TIME;
        let answer = timeout(limit, read_message(&mut stream)).await;
        let end = crate::caller::seen_end(answer.as_ref().map(|text| text.as_deref()));
        let is_done = matches!(&end, SeenEnd::Answer { status, .. } if status == "200");
        fleet.ledger.on_end(&attempt, end);
        is_done
    }
}
