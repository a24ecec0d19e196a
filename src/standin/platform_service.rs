//! Stand-in for the platform's configuration service.

use crate::{
    common::*,
    shell::platform_client::{IndexChange, KeyVersion},
};
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderValue, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use sha2::{Digest, Sha256};
use std::{panic::RefUnwindSafe, pin::Pin};
use tokio::sync::watch;

#[derive(Clone, Debug)]
struct PublishedValue {
    version: u64,
    /// Revision of the catalogue at which the value was published.
    changed_at_revision: u64,
    digest: SmolStr,
    text: String,
}

#[derive(Clone, Debug, Default)]
struct PlatformState {
    revision: u64,
    values: IndexMap<SmolStr, PublishedValue>,
    received_calls: u64,
    is_down: bool,
}

/// Copy of the catalogue at one point in time.
#[derive(Clone, Debug)]
pub struct PlatformSnapshot {
    revision: u64,
    values: IndexMap<SmolStr, PublishedValue>,
}

/// Stand-in service with its catalogue. Clones share the catalogue.
#[derive(Clone, Debug)]
pub struct PlatformService {
    state: Arc<Mutex<PlatformState>>,
    revision: watch::Sender<u64>,
}

impl RefUnwindSafe for PlatformService {}

impl PlatformService {
    /// Creates an empty catalogue.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            revision: watch::Sender::new(0),
        }
    }

    /// Publishes a value under the next version of its key and returns the version.
    pub fn publish(&self, key: &str, text: impl Into<String>) -> u64 {
        let text = text.into();
        let mut state = self.state.lock();
        state.revision += 1;
        let changed_at_revision = state.revision;
        let version = state.values.get(key).map_or(1, |value| value.version + 1);
        let value = PublishedValue {
            version,
            changed_at_revision,
            digest: hex_digest(text.as_bytes()),
            text,
        };
        state.values.insert(key.into(), value);
        self.revision.send_replace(changed_at_revision);
        version
    }

    /// Sets whether the service responds to all calls with status 503.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().is_down = is_down;
    }

    /// Returns a copy of the catalogue.
    pub fn snapshot(&self) -> PlatformSnapshot {
        let state = self.state.lock();
        PlatformSnapshot {
            revision: state.revision,
            values: state.values.clone(),
        }
    }

    /// Replaces the catalogue by an older copy, as after a restore from a backup.
    pub fn restore(&self, snapshot: PlatformSnapshot) {
        let mut state = self.state.lock();
        state.revision = snapshot.revision;
        state.values = snapshot.values;
        self.revision.send_replace(state.revision);
    }

    /// Returns the version and the text of a value.
    pub fn read(&self, key: &str) -> Option<(u64, String)> {
        let state = self.state.lock();
        let value = state.values.get(key)?;
        Some((value.version, value.text.clone()))
    }

    /// Returns the number of calls received so far, including watches that still wait.
    pub fn received_calls(&self) -> u64 {
        self.state.lock().received_calls
    }

    /// Returns the keys that changed after a revision.
    pub fn changes_since(&self, revision: u64) -> IndexChange {
        let state = self.state.lock();
        let keys = state
            .values
            .iter()
            .filter(|(_, value)| value.changed_at_revision > revision)
            .map(|(key, value)| KeyVersion {
                key: key.clone(),
                version: value.version,
                digest: value.digest.clone(),
            })
            .collect();
        IndexChange {
            revision: state.revision,
            keys,
        }
    }

    async fn watch(&self, query: &str) -> Response<Body> {
        let after = query_number(query, "after");
        let wait = Duration::from_millis(query_number(query, "wait_ms"));
        let mut receiver = self.revision.subscribe();
        let _ = tokio::time::timeout(wait, receiver.wait_for(|latest| *latest > after)).await;
        if self.state.lock().is_down {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        json_response(&self.changes_since(after))
    }

    fn value(&self, key: &str) -> Response<Body> {
        let Some((version, text)) = self.read(key) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let mut response = Response::new(full_body(text));
        response
            .headers_mut()
            .insert("x-version", HeaderValue::from(version));
        response
    }

    async fn respond(&self, uri: &Uri) -> Response<Body> {
        {
            let mut state = self.state.lock();
            state.received_calls += 1;
            if state.is_down {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        let path = uri.path();
        if let Some(key) = path.strip_prefix("/v1/values/") {
            return self.value(key);
        }
        match path {
            "/v1/index" => json_response(&self.changes_since(0)),
            "/v1/watch" => self.watch(uri.query().unwrap_or_default()).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Default for PlatformService {
    fn default() -> Self {
        Self::new()
    }
}

impl NewHandler for PlatformService {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for PlatformService {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let uri = Uri::borrow_from(&state).clone();
            let response = self.respond(&uri).await;
            Ok((state, response))
        }
        .boxed()
    }
}

fn hex_digest(bytes: &[u8]) -> SmolStr {
    let digest = Sha256::digest(bytes);
    digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        .into()
}

fn query_number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}

fn full_body(text: impl Into<bytes::Bytes>) -> Body {
    Body::new(Full::new(text.into()).map_err(|never| match never {}))
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    Response::new(full_body(serde_json::to_vec(value).unwrap_or_default()))
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
