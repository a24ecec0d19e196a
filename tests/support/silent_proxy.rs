//! TCP proxy whose first connections go silent: they stay open but deliver no data.

use super::listener;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::TcpStream,
    sync::Notify,
};

/// Data that a silent connection drops.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum LostTraffic {
    /// Responses; requests are forwarded.
    Responses,
    /// Responses, and requests until [`SilentProxy::deliver`] forwards one.
    Requests,
}

/// Proxy in front of a daemon.
pub struct SilentProxy {
    pub address: SocketAddr,
    /// Notified to forward the held request of one connection.
    deliver: Arc<Notify>,
    delivered: Arc<AtomicUsize>,
}

impl SilentProxy {
    /// Starts a proxy whose first `silent_connections` connections drop data.
    pub async fn start(
        target: SocketAddr,
        silent_connections: usize,
        lost_traffic: LostTraffic,
    ) -> Self {
        let listener = listener().await;
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            deliver: Arc::default(),
            delivered: Arc::default(),
        };
        let (deliver, delivered) = (Arc::clone(&proxy.deliver), Arc::clone(&proxy.delivered));
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((mut stream, _)) = listener.accept().await {
                number += 1;
                let is_silent = number <= silent_connections;
                let (deliver, delivered) = (Arc::clone(&deliver), Arc::clone(&delivered));
                tokio::spawn(async move {
                    if is_silent {
                        drop_traffic(stream, target, lost_traffic, &deliver, &delivered).await;
                    } else if let Ok(mut server) = TcpStream::connect(target).await {
                        let _ = copy_bidirectional(&mut stream, &mut server).await;
                    }
                });
            }
        });
        proxy
    }

    /// Forwards the held request of a silent connection.
    pub fn deliver(&self) {
        self.deliver.notify_one();
    }

    /// Returns the number of silent connections whose request got a response from the daemon.
    pub fn delivered(&self) -> usize {
        self.delivered.load(Ordering::SeqCst)
    }
}

async fn drop_traffic(
    mut client: TcpStream,
    target: SocketAddr,
    lost_traffic: LostTraffic,
    deliver: &Notify,
    delivered: &AtomicUsize,
) {
    let mut bytes = vec![0; 64 * 1024];
    let length = client.read(&mut bytes).await.unwrap();
    if lost_traffic == LostTraffic::Requests {
        deliver.notified().await;
    }
    let mut server = TcpStream::connect(target).await.unwrap();
    server.write_all(&bytes[..length]).await.unwrap();
    let _ = server.read(&mut bytes).await;
    delivered.fetch_add(1, Ordering::SeqCst);
    // Both connections stay open, so neither side sees them close.
    std::future::pending::<()>().await;
}
