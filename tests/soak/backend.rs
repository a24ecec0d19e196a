//! Backend server that records the requests that reach it and can be made to misbehave.

use crate::{
    announcements::CRASH_PATH,
    fleet::Fleet,
    history::{Arrival, ObservedResult, SentRequest},
    http_text::{field, read_message},
};
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncWriteExt, BufStream},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};

/// Requests that a backend server runs concurrently, as `slots` of its store entry states.
const CONCURRENT_REQUESTS: usize = 24;

/// How a backend server treats one in three requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendMode {
    /// Responds as expected.
    Normal,
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Responds with 503 without running the request.
    Refuse,
    /// Runs the request and responds with 500.
    ServerError,
    /// Processes the request slowly.
    Slow,
    /// Processes the request for most of the time that its caller waits.
    Long,
    /// Responds with the `Attempt-Id` of another request.
    WrongAttemptId,
    /// Closes the connection in the middle of the response body.
    TruncatedBody,
    /// Responds without `Server-Signature`.
    MissingSignature,
    /// Sends the response twice.
    ExtraResponse,
    /// Closes each connection that is idle for 30 ms.
    CloseIdle,
}

/// Backend server beside one daemon. It makes its nested calls through that daemon.
pub struct Backend {
    pub service: String,
    address: SocketAddr,
    outbound: SocketAddr,
    machine: usize,
    pub id: Mutex<String>,
    mode: Mutex<BackendMode>,
    /// Limit that all responses name, in requests per second.
    limit: Mutex<Option<u32>>,
    /// Held while the server names limits.
    pub limit_turn: tokio::sync::Mutex<()>,
    /// Whether all responses announce that the server leaves.
    is_leaving: AtomicBool,
    /// When a request crashed the server, until it is started again.
    crashed_at: Mutex<Option<Instant>>,
    start_count: AtomicUsize,
    in_flight: AtomicUsize,
    request_count: AtomicUsize,
    listener_tasks: Mutex<Option<JoinSet<()>>>,
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
            mode: Mutex::new(BackendMode::Normal),
            limit: Mutex::default(),
            limit_turn: tokio::sync::Mutex::default(),
            is_leaving: AtomicBool::new(false),
            crashed_at: Mutex::default(),
            start_count: AtomicUsize::new(1),
            in_flight: AtomicUsize::new(0),
            request_count: AtomicUsize::new(0),
            listener_tasks: Mutex::default(),
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the value of `born` in the store entry. A counter stands in for the start time, as
    /// daemons only check whether it has changed and which entry has the greatest value.
    pub fn start_count(&self) -> usize {
        self.start_count.load(Ordering::Relaxed)
    }

    /// Assigns a new instance id.
    pub fn assign_new_id(&self) {
        let start_count = self.start_count.fetch_add(1, Ordering::Relaxed) + 1;
        *self.id.lock() = format!("i-{}-{start_count}", self.machine);
    }

    /// Starts accepting connections.
    pub async fn start(self: &Arc<Self>, fleet: &Arc<Fleet>) {
        let listener = TcpListener::bind(self.address)
            .await
            .expect("failed to bind the address of the backend server");
        let (server, fleet) = (Arc::clone(self), Arc::clone(fleet));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(Arc::clone(&server).serve(stream, Arc::clone(&fleet)));
                while connections.try_join_next().is_some() {}
            }
        });
        self.start_count.fetch_add(1, Ordering::Relaxed);
        *self.listener_tasks.lock() = Some(tasks);
    }

    /// Returns whether a request crashed the server at least `downtime` ago. The next call returns
    /// false.
    pub fn take_crash(&self, downtime: Duration) -> bool {
        let mut crashed_at = self.crashed_at.lock();
        let is_due = crashed_at.is_some_and(|at| at.elapsed() >= downtime);
        if is_due {
            *crashed_at = None;
        }
        is_due
    }

    /// Closes all connections and aborts all requests; returns whether the server was running.
    pub fn crash(&self) -> bool {
        self.in_flight.store(0, Ordering::Relaxed);
        self.listener_tasks.lock().take().is_some()
    }

    /// Sets the limit that all responses name.
    pub fn set_limit(&self, limit: Option<u32>) {
        *self.limit.lock() = limit;
    }

    /// Sets whether all responses announce that the server leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Returns the header lines with which a response announces the state of the server.
    fn announcement_lines(&self) -> String {
        let limit = *self.limit.lock();
        let mut lines = limit.map_or_else(String::new, |rate| format!("Server-Limit: {rate}\r\n"));
        if self.is_leaving.load(Ordering::Relaxed) {
            lines.push_str("Server-Leaving: 1\r\n");
        }
        lines
    }

    /// Sets how requests are treated from now on.
    pub fn set_mode(&self, mode: BackendMode) {
        *self.mode.lock() = mode;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, fleet: Arc<Fleet>) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufStream::new(stream);
        loop {
            let idle_timeout = match *self.mode.lock() {
                BackendMode::CloseIdle => Duration::from_millis(30),
                _ => Duration::from_secs(30),
            };
            let Ok(Some(head)) = timeout(idle_timeout, read_message(&mut stream)).await else {
                return;
            };
            let Some((response, closes_connection)) = self.respond(&head, &fleet).await else {
                return;
            };
            let is_sent = stream.write_all(response.as_bytes()).await.is_ok();
            if !is_sent || stream.flush().await.is_err() || closes_connection {
                return;
            }
        }
    }

    /// Returns the response and whether the connection is closed after it, or `None` to close the
    /// connection without a response.
    async fn respond(&self, head: &str, fleet: &Arc<Fleet>) -> Option<(String, bool)> {
        let attempt_id = field(head, "attempt-id").unwrap_or_default();
        let id = self.id.lock().clone();
        let mut arrival = Arrival {
            instance: id.clone(),
            service: self.service.clone(),
            arrived_at: Instant::now(),
            is_run: false,
            response: None,
        };
        if field(head, "expect-instance").is_some_and(|expected| expected != id) {
            let response =
                format!("HTTP/1.1 421 M\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return Some((response, false));
        }
        if head.contains(CRASH_PATH) {
            arrival.is_run = true;
            fleet.history.record_arrival(&attempt_id, head, arrival);
            *self.crashed_at.lock() = Some(Instant::now());
            self.crash();
            return None;
        }
        let announcements = self.announcement_lines();
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        let mode = *self.mode.lock();
        let mode = if count.is_multiple_of(3) {
            mode
        } else {
            BackendMode::Normal
        };
        let is_full = self.in_flight.load(Ordering::Relaxed) >= CONCURRENT_REQUESTS;
        if mode == BackendMode::Refuse || is_full {
            fleet.history.record_arrival(&attempt_id, head, arrival);
            let response = format!(
                "HTTP/1.1 503 F\r\nAttempt-Id: {attempt_id}\r\nNot-Executed: 1\r\n{announcements}\
                 Content-Length: 0\r\n\r\n"
            );
            return Some((response, false));
        }
        arrival.is_run = true;
        let arrival_index = fleet.history.record_arrival(&attempt_id, head, arrival);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let is_successful = self.process(head, mode, arrival_index > 0, fleet).await;
        let in_flight = &self.in_flight;
        // The counter may be zero, since a crash resets it.
        let _ = in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
        let status = if is_successful && mode != BackendMode::ServerError {
            "200"
        } else {
            "500"
        };
        let body = format!("{id} {attempt_id} {}", "x".repeat(count % 700));
        let signature = format!("{id}.{count}");
        let render = |attempt_id: &str, signature: &str| {
            format!(
                "HTTP/1.1 {status} R\r\nAttempt-Id: {attempt_id}\r\n{signature}{announcements}\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let signature_line = format!("Server-Signature: {signature}\r\n");
        match mode {
            BackendMode::DropResponse => return None,
            BackendMode::WrongAttemptId => return Some((render("other", &signature_line), false)),
            BackendMode::MissingSignature if status == "200" => {
                return Some((render(&attempt_id, ""), false));
            }
            BackendMode::TruncatedBody => {
                let response = render(&attempt_id, &signature_line);
                let sent_bytes = response.len() - body.len() / 2 - 1;
                return Some((response[..sent_bytes].to_owned(), true));
            }
            _ => {}
        }
        if self.is_leaving.load(Ordering::Relaxed) && announcements.contains("Leaving") {
            fleet.history.record_leaving(&id);
        }
        let complete = (status.to_owned(), signature, body.clone());
        fleet
            .history
            .record_response(&attempt_id, arrival_index, complete);
        let response = render(&attempt_id, &signature_line);
        match mode {
            BackendMode::ExtraResponse => Some((response.repeat(2), false)),
            _ => Some((response, false)),
        }
    }

    /// Processes a request; one under `/nest/` also makes a nested call. Returns whether it
    /// succeeded.
    async fn process(&self, head: &str, mode: BackendMode, is_retry: bool, fleet: &Fleet) -> bool {
        let work_ms = match mode {
            BackendMode::Slow => 600,
            BackendMode::Long => 2_400,
            _ => 10 + (head.len() as u64 * 7) % 60,
        };
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        if !head.contains(" /nest/") {
            return true;
        }
        let remaining_ms = field(head, "deadline-ms").and_then(|text| text.parse().ok());
        let remaining_ms: u64 = remaining_ms.unwrap_or(1_000);
        let attempt_id = fleet.next_attempt_id();
        let method_and_path = "GET /leaf/x".to_owned();
        let call = SentRequest {
            caller_service: self.service.clone(),
            machine: self.machine,
            method_and_path: method_and_path.clone(),
            body: String::new(),
            is_at_most_once: false,
            allowed_services: fleet.services_of_route("leaf"),
            is_call_of_retry: is_retry,
            sent_at: Instant::now(),
        };
        let request = format!(
            "{method_and_path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt_id}\r\nDeadline-Ms: \
             {remaining_ms}\r\n\r\n"
        );
        let Ok(mut stream) = TcpStream::connect(self.outbound).await else {
            return false;
        };
        fleet.history.record_sent(&attempt_id, call);
        if stream.write_all(request.as_bytes()).await.is_err() {
            fleet
                .history
                .record_result(&attempt_id, ObservedResult::Abandoned);
            return false;
        }
        let mut stream = BufStream::new(stream);
        let max_wait = Duration::from_millis(remaining_ms) + crate::caller::RESPONSE_MARGIN;
        let response = timeout(max_wait, read_message(&mut stream)).await;
        let result = crate::caller::observed_result(response.as_ref().map(|text| text.as_deref()));
        let is_successful =
            matches!(&result, ObservedResult::Response { status, .. } if status == "200");
        fleet.history.record_result(&attempt_id, result);
        is_successful
    }
}
