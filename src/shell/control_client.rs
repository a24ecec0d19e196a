//! Client for the control listeners of other daemons.

use super::{
    control::{self, ControlError, ControlHeader, ControlServiceClient},
    control_traffic::ControlTraffic,
};
use crate::{
    common::*,
    decision::catalogue::{
        catalogue_message::{IndexDelta, IndexDigest},
        piece_assembler::PieceAssembler,
        version_stamp::VersionStamp,
    },
};
use bytes::Bytes;
use tarpc::{client, context};
use tokio::net::TcpStream;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time to the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends control requests. Each exchange uses a new connection: consecutive exchanges are usually
/// with different peers, and a stalled connection cannot delay later ones.
#[derive(Clone, Debug)]
pub struct ControlClient {
    header: ControlHeader,
    traffic: Arc<ControlTraffic>,
}

impl ControlClient {
    /// Creates a client that sends `header` with each request.
    pub fn new(header: ControlHeader, traffic: Arc<ControlTraffic>) -> Self {
        Self { header, traffic }
    }

    /// Sends the digest of the catalogue to a peer and returns the changes that the peer has.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        digest: IndexDigest,
    ) -> Result<IndexDelta, ControlError> {
        let client = self.connect(peer).await?;
        client
            .exchange(request_context(), self.header.clone(), digest)
            .await
            .map_err(|_| ControlError::NoResponse)?
    }

    /// Fetches a value in pieces and verifies its digest.
    pub async fn fetch(
        &self,
        peer: SocketAddr,
        key: &SmolStr,
        stamp: VersionStamp,
    ) -> Result<Bytes, ControlError> {
        let client = self.connect(peer).await?;
        let mut assembler = PieceAssembler::new(stamp);
        loop {
            let offset = assembler.next_offset();
            let piece = client
                .pieces(
                    request_context(),
                    self.header.clone(),
                    key.clone(),
                    stamp,
                    offset,
                )
                .await
                .map_err(|_| ControlError::NoResponse)??;
            let value = assembler.add(&piece).map_err(|_| ControlError::Corrupted)?;
            if let Some(value) = value {
                return Ok(value.into());
            }
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<ControlServiceClient, ControlError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| ControlError::NoResponse)?
            .map_err(|_| ControlError::NoResponse)?;
        Ok(ControlServiceClient::new(
            client::Config::default(),
            control::transport(stream, Arc::clone(&self.traffic)),
        )
        .spawn())
    }
}

fn request_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + REQUEST_TIMEOUT;
    context
}
