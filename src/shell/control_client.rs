//! Client of other daemons' control listeners.

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

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends control requests. Each exchange uses a new connection: the peer differs each time, and
/// a connection that went silent cannot delay later exchanges.
#[derive(Clone, Debug)]
pub struct ControlClient {
    header: ControlHeader,
    traffic: Arc<ControlTraffic>,
}

impl ControlClient {
    /// Creates a client with the header of its messages.
    pub fn new(header: ControlHeader, traffic: Arc<ControlTraffic>) -> Self {
        Self { header, traffic }
    }

    /// Exchanges digests with a peer.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        digest: IndexDigest,
    ) -> Result<IndexDelta, ControlError> {
        let client = self.connect(peer).await?;
        client
            .exchange(call_context(), self.header.clone(), digest)
            .await
            .map_err(|_| ControlError::NoAnswer)?
    }

    /// Fetches a value in pieces and checks its digest.
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
                    call_context(),
                    self.header.clone(),
                    key.clone(),
                    stamp,
                    offset,
                )
                .await
                .map_err(|_| ControlError::NoAnswer)??;
            let value = assembler.add(&piece).map_err(|_| ControlError::Damaged)?;
            if let Some(value) = value {
                return Ok(value.into());
            }
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<ControlServiceClient, ControlError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| ControlError::NoAnswer)?
            .map_err(|_| ControlError::NoAnswer)?;
        Ok(ControlServiceClient::new(
            client::Config::default(),
            control::transport(stream, Arc::clone(&self.traffic)),
        )
        .spawn())
    }
}

fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
