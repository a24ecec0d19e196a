//! Store with one door for each daemon, so that it can misbehave towards some of them.

use crate::http_text::read_message;
use base64::{Engine, engine::general_purpose::STANDARD};
use parking_lot::Mutex;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncWriteExt, BufStream},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, timeout_at},
};

/// What a door does with calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DoorMode {
    /// Answers.
    Serve,
    /// Answers with a status and does nothing.
    Refuse(u16),
    /// Answers later.
    Slow(Duration),
    /// Loses the answer; the connection returns nothing further.
    LoseAnswer,
    /// Closes connections.
    Reset,
}

#[derive(Clone)]
struct StoredItem {
    revision: u64,
    /// None for a deleted item.
    value: Option<String>,
}

#[derive(Default)]
struct StoreContent {
    items: BTreeMap<String, StoredItem>,
    revision: u64,
    /// Watches from before this revision are answered with 410.
    first_revision: u64,
}

/// Store with one door for each daemon.
pub struct Store {
    content: Mutex<StoreContent>,
    changes: watch::Sender<u64>,
    doors: Mutex<Vec<DoorMode>>,
}

impl Store {
    /// Opens a door at each address.
    pub async fn start(addresses: &[SocketAddr]) -> Arc<Self> {
        let store = Arc::new(Self {
            content: Mutex::default(),
            changes: watch::Sender::new(0),
            doors: Mutex::new(vec![DoorMode::Serve; addresses.len()]),
        });
        for (door, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address).await.expect("the address");
            let serving = Arc::clone(&store);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(Arc::clone(&serving).serve(door, stream));
                }
            });
        }
        store
    }

    /// Writes an item, or deletes it.
    pub fn put(&self, key: &str, value: Option<String>) {
        let mut content = self.content.lock();
        content.revision += 1;
        let revision = content.revision;
        content
            .items
            .insert(key.to_owned(), StoredItem { revision, value });
        drop(content);
        let _ = self.changes.send(revision);
    }

    /// Drops the history.
    pub fn compact(&self) {
        let mut content = self.content.lock();
        content.first_revision = content.revision + 1;
        let _ = self.changes.send(content.revision);
    }

    /// Changes what a door does, or all doors.
    pub fn set_door(&self, door: Option<usize>, mode: DoorMode) {
        let mut doors = self.doors.lock();
        for (number, known) in doors.iter_mut().enumerate() {
            if door.is_none_or(|door| door == number) {
                *known = mode;
            }
        }
    }

    async fn serve(self: Arc<Self>, door: usize, stream: TcpStream) {
        let mut stream = BufStream::new(stream);
        while let Some(head) = read_message(&mut stream).await {
            let (status, body) = self.answer(&head).await;
            // The mode is read after the wait of a watch, so that it also meets waiting calls.
            let mode = self.doors.lock()[door];
            let (status, body) = match mode {
                DoorMode::Serve => (status, body),
                DoorMode::Refuse(status) => (status, String::new()),
                DoorMode::Slow(time) => {
                    tokio::time::sleep(time).await;
                    (status, body)
                }
                DoorMode::LoseAnswer => {
                    tokio::time::sleep(Duration::from_secs(60)).await;
                    return;
                }
                DoorMode::Reset => return,
            };
            let length = body.len();
            let answer = format!("HTTP/1.1 {status} S\r\nContent-Length: {length}\r\n\r\n{body}");
            let is_sent = stream.write_all(answer.as_bytes()).await.is_ok();
            if !is_sent || stream.flush().await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, head: &str) -> (u16, String) {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let prefix = if target.contains("op%2F") {
            "op/"
        } else {
            "servers/"
        };
        if target.starts_with("/kv-range") {
            return (200, self.range(prefix));
        }
        let number = |name: &str| {
            let rest = target.split_once(name).map_or("", |(_, rest)| rest);
            let digits = rest.split('&').next().unwrap_or_default();
            digits.parse().unwrap_or(0)
        };
        let after = number("after=");
        let limit = Instant::now() + Duration::from_millis(number("wait-ms="));
        let mut changes = self.changes.subscribe();
        loop {
            if after + 1 < self.content.lock().first_revision {
                return (410, String::new());
            }
            if let Some(body) = self.events(prefix, after) {
                return (200, body);
            }
            if timeout_at(limit, changes.changed()).await.is_err() {
                let revision = self.content.lock().revision;
                return (200, format!(r#"{{"events":[],"as-of":{revision}}}"#));
            }
        }
    }

    fn range(&self, prefix: &str) -> String {
        let content = self.content.lock();
        let items = content.items.iter();
        let items = items.filter(|(key, item)| key.starts_with(prefix) && item.value.is_some());
        let items: Vec<String> = items.map(|(key, item)| item.document(key)).collect();
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
        let events: Vec<String> = items.map(|(key, item)| item.document(key)).collect();
        (!events.is_empty()).then(|| {
            let events = events.join(",");
            format!(r#"{{"events":[{events}],"as-of":{}}}"#, content.revision)
        })
    }
}

impl StoredItem {
    fn document(&self, key: &str) -> String {
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
