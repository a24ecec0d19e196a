//! Configuration store with one endpoint for each daemon, so that it can fail for some of them.

use crate::http_text::read_message;
use base64::{Engine, engine::general_purpose::STANDARD};
use parking_lot::Mutex;
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncWriteExt, BufStream},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, timeout_at},
};

/// How an endpoint treats calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointMode {
    /// Responds as expected.
    Serve,
    /// Responds with this status and an empty body.
    ErrorStatus(u16),
    /// Responds after a delay.
    Slow(Duration),
    /// Drops the response and leaves the connection open.
    DropResponse,
    /// Closes connections without a response.
    Reset,
}

#[derive(Clone, PartialEq)]
struct StoredItem {
    revision: u64,
    /// `None` for a deleted item.
    value: Option<String>,
}

#[derive(Clone, Default)]
struct StoreContent {
    items: BTreeMap<String, StoredItem>,
    revision: u64,
    /// Watches that need older changes than this revision get status 410.
    oldest_revision: u64,
    /// Counts how often the store came back from a copy.
    era: u64,
}

/// Time for which copies of the content are kept.
const COPY_LIFETIME: Duration = Duration::from_secs(12);

/// Configuration store with one endpoint for each daemon.
pub struct Store {
    content: Mutex<StoreContent>,
    /// Content before each write, with the time of the write.
    copies: Mutex<VecDeque<(Instant, StoreContent)>>,
    changes: watch::Sender<u64>,
    endpoint_modes: Mutex<Vec<EndpointMode>>,
    /// Counts how often the open connections went silent.
    silences: watch::Sender<u32>,
}

impl Store {
    /// Starts an endpoint at each address.
    pub async fn start(addresses: &[SocketAddr]) -> Arc<Self> {
        let store = Arc::new(Self {
            content: Mutex::default(),
            copies: Mutex::default(),
            changes: watch::Sender::new(0),
            silences: watch::Sender::new(0),
            endpoint_modes: Mutex::new(vec![EndpointMode::Serve; addresses.len()]),
        });
        for (endpoint, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)
                .await
                .expect("failed to bind the address of the store");
            let server = Arc::clone(&store);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(Arc::clone(&server).serve(endpoint, stream));
                }
            });
        }
        store
    }

    /// Writes an item, or deletes it if there is no value.
    pub fn put(&self, key: &str, value: Option<String>) {
        let mut content = self.content.lock();
        let mut copies = self.copies.lock();
        let now = Instant::now();
        copies.retain(|(written, _)| *written + COPY_LIFETIME > now);
        copies.push_back((now, content.clone()));
        drop(copies);
        content.revision += 1;
        let revision = content.revision;
        content
            .items
            .insert(key.to_owned(), StoredItem { revision, value });
        drop(content);
        let _ = self.changes.send(revision);
    }

    /// Comes back from a copy; returns its revision and the values that were written since, which are
    /// lost.
    pub fn restore(&self, age: Duration) -> (u64, Vec<(String, Option<String>)>) {
        let mut content = self.content.lock();
        let mut copies = std::mem::take(&mut *self.copies.lock()).into_iter();
        let now = Instant::now();
        let copy = copies.find(|(written, _)| *written + age > now);
        let copy = copy.map_or_else(|| content.clone(), |(_, copy)| copy);
        let era = content.era + 1;
        let previous = std::mem::replace(&mut *content, StoreContent { era, ..copy });
        let _ = self.changes.send(content.revision);
        let lost = previous.items.into_iter();
        let lost = lost.filter(|(key, item)| content.items.get(key) != Some(item));
        let lost = lost.map(|(key, item)| (key, item.value)).collect();
        (content.revision, lost)
    }

    /// Writes a value again that was lost, unless it was written after `revision`.
    pub fn put_again(&self, key: &str, value: Option<String>, revision: u64) {
        let content = self.content.lock();
        let is_written = content
            .items
            .get(key)
            .is_some_and(|item| item.revision > revision);
        drop(content);
        if !is_written {
            self.put(key, value);
        }
    }

    /// Discards the old revisions; watches that need one of them get status 410.
    pub fn compact(&self) {
        let mut content = self.content.lock();
        content.oldest_revision = content.revision + 1;
        let _ = self.changes.send(content.revision);
    }

    /// Sends no more responses on the connections that are open. New ones work.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Sets the mode of one endpoint, or of all.
    pub fn set_endpoint_mode(&self, endpoint: Option<usize>, mode: EndpointMode) {
        let mut endpoint_modes = self.endpoint_modes.lock();
        for (number, current) in endpoint_modes.iter_mut().enumerate() {
            if endpoint.is_none_or(|endpoint| endpoint == number) {
                *current = mode;
            }
        }
    }

    async fn serve(self: Arc<Self>, endpoint: usize, stream: TcpStream) {
        let mut stream = BufStream::new(stream);
        let silence = *self.silences.borrow();
        while let Some(head) = read_message(&mut stream).await {
            let (status, body) = self.respond(&head).await;
            if *self.silences.borrow() != silence {
                // Ends when the daemon gives the connection up.
                while read_message(&mut stream).await.is_some() {}
                return;
            }
            // The mode is read after the wait of a watch, so that it also affects waiting calls.
            let mode = self.endpoint_modes.lock()[endpoint];
            let (status, body) = match mode {
                EndpointMode::Serve => (status, body),
                EndpointMode::ErrorStatus(status) => (status, String::new()),
                EndpointMode::Slow(delay) => {
                    tokio::time::sleep(delay).await;
                    (status, body)
                }
                EndpointMode::DropResponse => {
                    tokio::time::sleep(Duration::from_secs(60)).await;
                    return;
                }
                EndpointMode::Reset => return,
            };
            let length = body.len();
            let era = self.content.lock().era;
            let response = format!(
                "HTTP/1.1 {status} S\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            let is_sent = stream.write_all(response.as_bytes()).await.is_ok();
            if !is_sent || stream.flush().await.is_err() {
                return;
            }
        }
    }

    async fn respond(&self, head: &str) -> (u16, String) {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let (_, query) = target.split_once("prefix=").unwrap_or_default();
        let prefix = query.split('&').next().unwrap_or_default();
        let prefix = &prefix.replace("%2F", "/");
        if target.starts_with("/kv-range") {
            return (200, self.range(prefix));
        }
        let query_number = |name: &str| {
            let rest = target.split_once(name).map_or("", |(_, rest)| rest);
            let digits = rest.split('&').next().unwrap_or_default();
            digits.parse().unwrap_or(0)
        };
        let after = query_number("after=");
        let deadline = Instant::now() + Duration::from_millis(query_number("wait-ms="));
        let mut changes = self.changes.subscribe();
        if after > self.content.lock().revision {
            return (410, String::new());
        }
        loop {
            if after + 1 < self.content.lock().oldest_revision {
                return (410, String::new());
            }
            if let Some(body) = self.events(prefix, after) {
                return (200, body);
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                let revision = self.content.lock().revision;
                return (200, format!(r#"{{"events":[],"as-of":{revision}}}"#));
            }
        }
    }

    fn range(&self, prefix: &str) -> String {
        let content = self.content.lock();
        let items = content.items.iter();
        let items = items.filter(|(key, item)| key.starts_with(prefix) && item.value.is_some());
        let items: Vec<String> = items.map(|(key, item)| item.to_json(key)).collect();
        format!(
            r#"{{"items":[{}],"has-more":false,"as-of":{}}}"#,
            items.join(","),
            content.revision
        )
    }

    fn events(&self, prefix: &str, after: u64) -> Option<String> {
        let content = self.content.lock();
        let items = content.items.iter();
        let items = items.filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
        let events: Vec<String> = items.map(|(key, item)| item.to_json(key)).collect();
        (!events.is_empty()).then(|| {
            let events = events.join(",");
            format!(r#"{{"events":[{events}],"as-of":{}}}"#, content.revision)
        })
    }
}

impl StoredItem {
    fn to_json(&self, key: &str) -> String {
        let revision = self.revision;
        match &self.value {
            Some(value) => {
                let value = STANDARD.encode(value);
                format!(r#"{{"key":"{key}","value":"{value}","revision":{revision}}}"#)
            }
            None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
        }
    }
}
