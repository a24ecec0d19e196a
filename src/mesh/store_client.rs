//! Client of the store.

use crate::{
    common::*,
    http1::{
        client_connection::{ClientConnection, ExchangeError},
        message_head::ResponseHead,
    },
    mesh::store_interface::{StoreFormat, StoreFormatError, StorePage, StorePrefix, StoreWatch},
};
use bytes::Bytes;
use std::io;
use tokio::time::timeout;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a read. The store answers in milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest answer, in bytes: a page of about 1 MB in base64 text.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// The store gave no usable answer.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer came in time.
    #[error("The store did not answer in time.")]
    Timeout,
    /// The connection failed.
    #[error("The store cannot be reached: {0}.")]
    Connect(#[from] io::Error),
    /// No complete answer was read.
    #[error("The store gave no answer. {0}")]
    Exchange(#[from] ExchangeError),
    /// The store refused the call.
    #[error("The store answered with status {0}.")]
    Status(u16),
    /// The answer cannot be read.
    #[error("The answer of the store cannot be read. {0}")]
    Format(#[from] StoreFormatError),
}

/// Client of the store with one connection.
pub struct StoreClient {
    address: SocketAddr,
    format: Arc<dyn StoreFormat>,
    connection: Option<ClientConnection>,
}

impl StoreClient {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr, format: Arc<dyn StoreFormat>) -> Self {
        Self {
            address,
            format,
            connection: None,
        }
    }

    /// Reads one page of the items under a prefix.
    pub async fn page(
        &mut self,
        prefix: StorePrefix,
        after: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        let target = self.format.range_target(prefix, after);
        let body = self.get(&target, READ_TIMEOUT).await?;
        Ok(self.format.decode_page(&body)?)
    }

    /// Waits for changes after a revision.
    pub async fn watch(
        &mut self,
        prefix: StorePrefix,
        after: u64,
        wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let target = self.format.watch_target(prefix, after, wait);
        let body = self.get(&target, wait + READ_TIMEOUT).await?;
        Ok(self.format.decode_watch(&body)?)
    }

    async fn get(&mut self, target: &str, limit: Duration) -> Result<Bytes, StoreError> {
        // A connection whose call failed or was dropped is not used again.
        let idle = self.connection.take().filter(ClientConnection::is_idle);
        let mut connection = match idle {
            Some(connection) => connection,
            None => timeout(CONNECT_TIMEOUT, ClientConnection::open(self.address))
                .await
                .map_err(|_| StoreError::Timeout)??,
        };
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let is_own = |_: &ResponseHead| true;
        let exchange = connection.exchange(request.as_bytes(), false, MAX_ANSWER_BYTES, is_own);
        let response = timeout(limit, exchange)
            .await
            .map_err(|_| StoreError::Timeout)??;
        if response.is_reusable {
            self.connection = Some(connection);
        }
        if response.head.status != 200 {
            return Err(StoreError::Status(response.head.status));
        }
        Ok(response.body)
    }
}
