//! Proxy on the way from some daemons to another.

use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// What a proxy does with the bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Passes them on.
    Pass,
    /// Passes them on later.
    Delay(Duration),
    /// Holds the bytes of both directions.
    Silent,
    /// Holds the bytes towards the daemon that listens.
    SilentThere,
    /// Holds the bytes back.
    SilentBack,
    /// Closes all connections.
    Reset,
}

/// Proxy on the way from some daemons to another.
pub struct LinkProxy {
    mode: watch::Sender<LinkMode>,
}

impl LinkProxy {
    /// Listens at an address and passes connections on to another.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(listen).await.expect("the address");
        let (mode, modes) = watch::channel(LinkMode::Pass);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass_connection(stream, target, modes.clone()));
            }
        });
        Arc::new(Self { mode })
    }

    /// Changes what the proxy does.
    pub fn set(&self, mode: LinkMode) {
        let _ = self.mode.send(mode);
    }
}

async fn pass_connection(
    near: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<LinkMode>,
) {
    if *modes.borrow() == LinkMode::Reset {
        return;
    }
    let held = |mode: &LinkMode| matches!(mode, LinkMode::Silent | LinkMode::SilentThere);
    if modes.wait_for(|mode| !held(mode)).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = pass_bytes(near_in, far_out, modes.clone(), LinkMode::SilentThere);
    let back = pass_bytes(far_in, near_out, modes.clone(), LinkMode::SilentBack);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        _ = modes.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn pass_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<LinkMode>,
    silence: LinkMode,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(count) = from.read(&mut buffer).await {
        let mode = *modes.borrow();
        if let LinkMode::Delay(time) = mode {
            tokio::time::sleep(time).await;
        }
        let passes = |mode: &LinkMode| *mode != LinkMode::Silent && *mode != silence;
        if modes.wait_for(passes).await.is_err() || count == 0 {
            break;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
