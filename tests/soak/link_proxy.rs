//! TCP proxy between a group of daemons and one daemon of another group.

use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// What a proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards them.
    Forward,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Holds back the bytes of both directions.
    Stall,
    /// Holds back the bytes sent to the target.
    StallToTarget,
    /// Holds back the bytes sent by the target.
    StallFromTarget,
    /// Closes all connections.
    Reset,
}

/// TCP proxy between a group of daemons and one daemon of another group.
pub struct LinkProxy {
    mode: watch::Sender<LinkMode>,
}

impl LinkProxy {
    /// Listens at `listen` and forwards connections to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .expect("failed to bind the address of the proxy");
        let (mode, modes) = watch::channel(LinkMode::Forward);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward_connection(stream, target, modes.clone()));
            }
        });
        Arc::new(Self { mode })
    }

    /// Sets the mode of all current and future connections.
    pub fn set_mode(&self, mode: LinkMode) {
        let _ = self.mode.send(mode);
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<LinkMode>,
) {
    if *modes.borrow() == LinkMode::Reset {
        return;
    }
    let is_stalled = |mode: &LinkMode| matches!(mode, LinkMode::Stall | LinkMode::StallToTarget);
    if modes.wait_for(|mode| !is_stalled(mode)).await.is_err() {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let to_target = forward_bytes(
        client_read,
        target_write,
        modes.clone(),
        LinkMode::StallToTarget,
    );
    let from_target = forward_bytes(
        target_read,
        client_write,
        modes.clone(),
        LinkMode::StallFromTarget,
    );
    tokio::select! {
        () = async { tokio::join!(to_target, from_target); } => {}
        _ = modes.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<LinkMode>,
    stall_mode: LinkMode,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(count) = from.read(&mut buffer).await {
        let mode = *modes.borrow();
        if let LinkMode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        let is_forwarded = |mode: &LinkMode| *mode != LinkMode::Stall && *mode != stall_mode;
        if modes.wait_for(is_forwarded).await.is_err() || count == 0 {
            break;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
