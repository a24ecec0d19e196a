//! Client of the store.

use crate::{
    common::*,
    decision::mesh::{response_limit::MAX_RESPONSE_LIMIT, store_position::StorePosition},
    http1::{
        client_connection::{BodyLimits, ClientConnection, ExchangeError},
        message_head::ResponseHead,
    },
    mesh::store_interface::{StoreChanges, StoreFormat, StoreFormatError, StorePage},
};
use bytes::Bytes;
use std::io;
use tokio::time::timeout;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest response in bytes. A page has about 1 MB, encoded in base64.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// A call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No response arrived in time.
    #[error("The store did not respond in time.")]
    Timeout,
    /// The connection could not be opened.
    #[error("Cannot connect to the store: {0}.")]
    Connect(#[from] io::Error),
    /// No complete response was read.
    #[error("Cannot read the response of the store. {0}")]
    Exchange(#[from] ExchangeError),
    /// The status of the response is not 200.
    #[error("The store responded with status {0}.")]
    Status(u16),
    /// The body of the response could not be decoded.
    #[error("Cannot decode the response of the store. {0}")]
    Format(#[from] StoreFormatError),
    /// The response belongs to another era than the one before it.
    #[error("The store is in era {era} instead of {expected}.")]
    Era {
        /// Era that the response states.
        era: u64,
        /// Era of the position from which the store was read.
        expected: u64,
    },
}

/// Client of the store that keeps one connection open.
pub struct StoreClient {
    address: SocketAddr,
    format: Arc<dyn StoreFormat>,
    connection: Option<ClientConnection>,
    /// Era of the last response.
    era: Option<u64>,
}

impl StoreClient {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr, format: Arc<dyn StoreFormat>) -> Self {
        Self {
            address,
            format,
            connection: None,
            era: None,
        }
    }

    /// Returns the era that the last response of any status stated.
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Reads one page of all items.
    pub async fn read_page(&mut self, after: Option<&str>) -> Result<StorePage, StoreError> {
        let target = self.format.range_target(after);
        let (era, body) = self.get(&target, MAX_RESPONSE_LIMIT).await?;
        Ok(self.format.decode_page(era, &body)?)
    }

    /// Waits up to `wait` for changes after a position. The response may take `limit` longer.
    pub async fn watch(
        &mut self,
        after: StorePosition,
        wait: Duration,
        limit: Duration,
    ) -> Result<StoreChanges, StoreError> {
        let target = self.format.watch_target(after, wait);
        let (era, body) = self.get(&target, wait + limit).await?;
        if era != after.era {
            // Its changes follow a revision that may have been given out again.
            return Err(StoreError::Era {
                era,
                expected: after.era,
            });
        }
        Ok(self.format.decode_watch(era, &body)?)
    }

    /// Returns the era and the body of a successful response.
    async fn get(&mut self, target: &str, limit: Duration) -> Result<(u64, Bytes), StoreError> {
        // The connection is put back only after a complete response, so that one whose call failed
        // or was cancelled is not used again.
        let idle = self.connection.take().filter(ClientConnection::is_idle);
        let mut connection = match idle {
            Some(connection) => connection,
            None => timeout(CONNECT_TIMEOUT, ClientConnection::open(self.address))
                .await
                .map_err(|_| StoreError::Timeout)??,
        };
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let limits = BodyLimits::new(MAX_RESPONSE_BYTES);
        let accept_any = |_: &ResponseHead| true;
        let exchange = connection.exchange(request.as_bytes(), false, &limits, accept_any);
        let response = timeout(limit, exchange)
            .await
            .map_err(|_| StoreError::Timeout)??;
        if response.is_reusable {
            self.connection = Some(connection);
        }
        let era = self.format.decode_era(&response.head.headers)?;
        self.era = Some(era);
        if response.head.status != 200 {
            return Err(StoreError::Status(response.head.status));
        }
        Ok((era, response.body))
    }
}
