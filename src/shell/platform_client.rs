//! HTTP client of the platform's configuration service.

use crate::{common::*, shell::http_client::HttpClient};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Limited};

pub use crate::decision::catalogue::catalogue_value::MAX_VALUE_BYTES;

/// Maximum time of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time of a watch, in addition to its wait time. Its response is small.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Key of the configuration catalogue with its current version.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct KeyVersion {
    /// Catalogue key, such as `profiles/dispatch`.
    pub key: SmolStr,
    /// Version, which increases with each publication of the key.
    pub version: u64,
    /// SHA-256 digest of the value, in hexadecimal.
    pub digest: SmolStr,
}

/// Index entries that changed, as the platform's configuration service lists them.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Eq, PartialEq)]
pub struct IndexChange {
    /// Revision of the whole catalogue.
    pub revision: u64,
    /// Keys that changed.
    pub keys: Vec<KeyVersion>,
}

/// Reason why a request to the platform's configuration service failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The service cannot be reached.
    #[error("The platform cannot be reached.")]
    Unreachable,
    /// The key does not exist.
    #[error("The platform has no key `{0}`.")]
    KeyNotFound(SmolStr),
    /// The service did not respond in time.
    #[error("The platform did not respond in time.")]
    TimedOut,
    /// The service responded with a status other than 200.
    #[error("The platform responded with status {0}.")]
    Status(StatusCode),
    /// The response cannot be parsed or is too large.
    #[error("The response of the platform is not valid or too large.")]
    InvalidResponse,
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

    /// Returns the whole index.
    pub async fn index(&self) -> Result<IndexChange, PlatformError> {
        let (_, bytes) = self.get("/v1/index", READ_TIMEOUT).await?;
        serde_json::from_slice(&bytes).map_err(|_| PlatformError::InvalidResponse)
    }

    /// Waits for changes after `revision`; returns no keys if there are none within `wait`.
    pub async fn watch(&self, revision: u64, wait: Duration) -> Result<IndexChange, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?after={revision}&wait_ms={wait_ms}");
        let (_, bytes) = self.get(&path, wait + WATCH_RESPONSE_TIMEOUT).await?;
        serde_json::from_slice(&bytes).map_err(|_| PlatformError::InvalidResponse)
    }

    /// Returns the version and the bytes of a value.
    pub async fn value(&self, key: &str) -> Result<(u64, Bytes), PlatformError> {
        let path = format!("/v1/values/{key}");
        match self.get(&path, READ_TIMEOUT).await {
            Err(PlatformError::Status(StatusCode::NOT_FOUND)) => {
                Err(PlatformError::KeyNotFound(key.into()))
            }
            result => result,
        }
    }

    async fn get(&self, path: &str, limit: Duration) -> Result<(u64, Bytes), PlatformError> {
        tokio::time::timeout(limit, self.read(path))
            .await
            .map_err(|_| PlatformError::TimedOut)?
    }

    async fn read(&self, path: &str) -> Result<(u64, Bytes), PlatformError> {
        let request = Request::get(format!("http://{}{path}", self.address))
            .header(HOST, self.address.to_string())
            .body(Body::new(Empty::new().map_err(|never| match never {})))
            .map_err(|_| PlatformError::InvalidResponse)?;
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
            .map_err(|_| PlatformError::InvalidResponse)?;
        Ok((version, body.to_bytes()))
    }
}
