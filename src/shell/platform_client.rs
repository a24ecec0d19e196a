//! Client of the platform's configuration service.

use crate::{common::*, shell::http_client::HttpClient};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Limited};

pub use crate::decision::catalogue::catalogue_value::MAX_VALUE_BYTES;

/// Longest time for an answer, beyond the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Key of the catalogue with its version.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct KeyVersion {
    /// Catalogue key, such as `profiles/dispatch`.
    pub key: SmolStr,
    /// Version; grows with each publication of the key.
    pub version: u64,
    /// SHA-256 of the value, in hex.
    pub digest: SmolStr,
}

/// Part of the index of the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexChange {
    /// Revision of the whole catalogue.
    pub revision: u64,
    /// Keys that changed.
    pub keys: Vec<KeyVersion>,
}

/// The platform's service gave no usable answer.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The service did not answer.
    #[error("The platform did not answer.")]
    Unreachable,
    /// The key does not exist.
    #[error("The platform has no key `{0}`.")]
    NoKey(SmolStr),
    /// The service did not answer in time.
    #[error("The platform did not answer in time.")]
    TimedOut,
    /// The service answered with an error status.
    #[error("The platform answered with status {0}.")]
    Status(StatusCode),
    /// The answer cannot be read or is too large.
    #[error("The answer of the platform cannot be read.")]
    Malformed,
}

/// Reads and watches the platform's configuration service.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    client: HttpClient,
}

impl PlatformClient {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }

    /// Reads the whole index.
    pub async fn index(&self) -> Result<IndexChange, PlatformError> {
        let (_, bytes) = self.get("/v1/index", Duration::ZERO).await?;
        serde_json::from_slice(&bytes).map_err(|_| PlatformError::Malformed)
    }

    /// Waits for changes after `revision`; the answer is empty when none came in time.
    pub async fn watch(&self, revision: u64, wait: Duration) -> Result<IndexChange, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?after={revision}&wait_ms={wait_ms}");
        let (_, bytes) = self.get(&path, wait).await?;
        serde_json::from_slice(&bytes).map_err(|_| PlatformError::Malformed)
    }

    /// Reads a value and its version.
    pub async fn value(&self, key: &str) -> Result<(u64, Bytes), PlatformError> {
        let path = format!("/v1/values/{key}");
        match self.get(&path, Duration::ZERO).await {
            Err(PlatformError::Status(StatusCode::NOT_FOUND)) => {
                Err(PlatformError::NoKey(key.into()))
            }
            answer => answer,
        }
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<(u64, Bytes), PlatformError> {
        tokio::time::timeout(wait + CALL_TIMEOUT, self.read(path))
            .await
            .map_err(|_| PlatformError::TimedOut)?
    }

    async fn read(&self, path: &str) -> Result<(u64, Bytes), PlatformError> {
        let request = Request::get(format!("http://{}{path}", self.address))
            .header(HOST, self.address.to_string())
            .body(Body::new(Empty::new().map_err(|never| match never {})))
            .map_err(|_| PlatformError::Malformed)?;
        let response = self
            .client
            .send(self.address, request)
            .await
            .map_err(|_| PlatformError::Unreachable)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(PlatformError::Status(status));
        }
        let version = response
            .headers()
            .get("x-version")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or_default();
        let body = Limited::new(response.into_body(), MAX_VALUE_BYTES)
            .collect()
            .await
            .map_err(|_| PlatformError::Malformed)?;
        Ok((version, body.to_bytes()))
    }
}
