//! Stand-in for the platform's metadata store.

use crate::http::{read_message, write_response};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    revision: u64,
    /// `None` after the removal.
    value: Option<String>,
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    revision: u64,
}

#[derive(Default)]
struct State {
    content: Content,
    copy: Content,
    /// Counts how often the store came back from a copy.
    era: u64,
    is_away: bool,
}

/// Store that loses nothing, except that it can come back from a copy.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address)?;
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it; returns the revision.
    pub fn put(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        let content = &mut state.content;
        content.revision += 1;
        let revision = content.revision;
        let item = Item { revision, value };
        content.items.insert(key.to_owned(), item);
        self.changed.notify_all();
        revision
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().content.revision
    }

    /// Makes a copy of the content.
    pub fn make_copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = state.content.clone();
    }

    /// Takes the store away: its connections are reset.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Brings the store back, with its content or from the copy.
    pub fn come_back(&self, from_copy: bool) {
        let mut state = self.state.lock().unwrap();
        if from_copy {
            state.content = state.copy.clone();
            state.era += 1;
        }
        state.is_away = false;
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok((request, _)) = read_message(&mut stream) {
            let Some((status, body)) = self.respond(request.target()) else {
                return;
            };
            let era = self.state.lock().unwrap().era;
            let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if write_response(&mut stream, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body, or `None` while the store is away.
    fn respond(&self, target: &str) -> Option<(u16, String)> {
        let number = |name: &str| {
            let (_, rest) = target.split_once(name)?;
            rest.split('&').next()?.parse::<u64>().ok()
        };
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        if target.starts_with("/kv-range") {
            let items = state.content.items.iter();
            let items = items.filter(|(_, item)| item.value.is_some());
            let items: Vec<String> = items.map(|(key, item)| item.to_json(key)).collect();
            return Some((
                200,
                format!(
                    r#"{{"items":[{}],"has-more":false,"as-of":{}}}"#,
                    items.join(","),
                    state.content.revision
                ),
            ));
        }
        let after = number("after=")?;
        let deadline = Instant::now() + Duration::from_millis(number("wait-ms=").unwrap_or(0));
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let content = &state.content;
            if after > content.revision {
                return Some((410, String::new()));
            }
            let items = content.items.iter();
            let events: Vec<String> = items
                .filter(|(_, item)| item.revision > after)
                .map(|(key, item)| item.to_json(key))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, revision) = (events.join(","), content.revision);
                return Some((
                    200,
                    format!(r#"{{"events":[{events}],"as-of":{revision}}}"#),
                ));
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

impl Item {
    fn to_json(&self, key: &str) -> String {
        let revision = self.revision;
        match &self.value {
            Some(value) => {
                let value = base64(value.as_bytes());
                format!(
                    r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
                )
            }
            None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
