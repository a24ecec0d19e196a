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

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    /// Closes all connections, and holds back new ones.
    Hold,
}

/// TCP proxy between a group of daemons and one daemon of another group.
pub struct LinkProxy {
    mode: watch::Sender<LinkMode>,
    /// Counts how often the open connections went silent.
    silences: watch::Sender<u32>,
}

impl LinkProxy {
    /// Listens at `listen` and forwards connections to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .expect("failed to bind the address of the proxy");
        let (mode, modes) = watch::channel(LinkMode::Forward);
        let silences = watch::Sender::new(0);
        let silence_signal = silences.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let silence = silence_signal.subscribe();
                        tokio::spawn(forward_connection(stream, target, modes.clone(), silence));
                    }
                    Err(error) => {
                        eprintln!("HARNESS: A proxy cannot accept a connection: {error}.");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Arc::new(Self { mode, silences })
    }

    /// Delivers nothing any more on the connections that are open. New ones work.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
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
    mut silence: watch::Receiver<u32>,
) {
    if *modes.borrow() == LinkMode::Reset {
        return;
    }
    let is_stalled = |mode: &LinkMode| {
        matches!(
            mode,
            LinkMode::Stall | LinkMode::StallToTarget | LinkMode::Hold
        )
    };
    if modes.wait_for(|mode| !is_stalled(mode)).await.is_err() {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let (mut client_read, mut client_write) = client.into_split();
    let (mut target_read, mut target_write) = target_stream.into_split();
    let to_target = forward_bytes(
        &mut client_read,
        &mut target_write,
        modes.clone(),
        LinkMode::StallToTarget,
    );
    let from_target = forward_bytes(
        &mut target_read,
        &mut client_write,
        modes.clone(),
        LinkMode::StallFromTarget,
    );
    let is_silent = tokio::select! {
        () = async { tokio::join!(to_target, from_target); } => false,
        _ = modes.wait_for(|mode| matches!(mode, LinkMode::Reset | LinkMode::Hold)) => false,
        changed = silence.changed() => changed.is_ok(),
    };
    if is_silent {
        // Both connections stay open until the client gives its one up.
        let mut buffer = vec![0; 16_384];
        while matches!(client_read.read(&mut buffer).await, Ok(1..)) {}
    }
}

async fn forward_bytes(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
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
