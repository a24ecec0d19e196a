//! Control listener, which other daemons connect to.

use super::control::{self, ControlError, ControlHeader, ControlService};
use crate::{
    common::*,
    controller::gossip_controller::GossipController,
    decision::catalogue::{
        catalogue_message::{IndexDelta, IndexDigest},
        piece_assembler::ValuePiece,
        version_stamp::VersionStamp,
    },
};
use futures_util::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinSet};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 256;

/// Maximum lifetime of a connection. A client uses a connection for one exchange or one value.
const MAX_CONNECTION_LIFETIME: Duration = Duration::from_secs(60);

/// Wait after a failed accept, which can be due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct ControlServer {
    header: ControlHeader,
    gossip: Arc<GossipController>,
}

impl ControlService for ControlServer {
    async fn exchange(
        self,
        _: Context,
        header: ControlHeader,
        digest: IndexDigest,
    ) -> Result<IndexDelta, ControlError> {
        header.check(&self.header)?;
        Ok(self.gossip.on_exchange(&digest))
    }

    async fn pieces(
        self,
        _: Context,
        header: ControlHeader,
        key: SmolStr,
        stamp: VersionStamp,
        offset: u32,
    ) -> Result<ValuePiece, ControlError> {
        header.check(&self.header)?;
        self.gossip
            .piece(&key, stamp, offset)
            .ok_or(ControlError::NotFound)
    }
}

/// Serves the control listener until the future is dropped.
pub async fn serve(
    listener: Arc<TcpListener>,
    header: ControlHeader,
    gossip: Arc<GossipController>,
) {
    let server = ControlServer { header, gossip };
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("control: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let channel = BaseChannel::with_defaults(control::transport(
            stream,
            Arc::clone(&server.gossip.traffic),
        ));
        let requests = channel.execute(server.clone().serve());
        connections.spawn(async move {
            let responses = requests.for_each(|response| response);
            let _ = tokio::time::timeout(MAX_CONNECTION_LIFETIME, responses).await;
            drop(permit);
        });
    }
}
