//! TCP proxy whose first connections go silent.

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

/// What a silent connection loses.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Loss {
    /// The responses.
    Responses,
    /// Everything, until the proxy is told to deliver the requests.
    Requests,
}

/// Proxy in front of a daemon.
pub struct SilentProxy {
    pub address: SocketAddr,
    deliver: Arc<Notify>,
    delivered: Arc<AtomicUsize>,
}

impl SilentProxy {
    /// Starts a proxy whose first `silent` connections lose bytes.
    pub async fn start(target: SocketAddr, silent: usize, loss: Loss) -> Self {
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
                let is_silent = number <= silent;
                let (deliver, delivered) = (Arc::clone(&deliver), Arc::clone(&delivered));
                tokio::spawn(async move {
                    if is_silent {
                        lose(stream, target, loss, &deliver, &delivered).await;
                    } else if let Ok(mut server) = TcpStream::connect(target).await {
                        let _ = copy_bidirectional(&mut stream, &mut server).await;
                    }
                });
            }
        });
        proxy
    }

    /// Delivers the held requests of the silent connection.
    pub fn deliver(&self) {
        self.deliver.notify_one();
    }

    /// Number of silent connections whose late request got a response.
    pub fn delivered(&self) -> usize {
        self.delivered.load(Ordering::SeqCst)
    }
}

async fn lose(
    mut client: TcpStream,
    target: SocketAddr,
    loss: Loss,
    deliver: &Notify,
    delivered: &AtomicUsize,
) {
    let mut bytes = vec![0; 64 * 1024];
    let length = client.read(&mut bytes).await.unwrap();
    if loss == Loss::Requests {
        deliver.notified().await;
    }
    let mut server = TcpStream::connect(target).await.unwrap();
    server.write_all(&bytes[..length]).await.unwrap();
    let _ = server.read(&mut bytes).await;
    delivered.fetch_add(1, Ordering::SeqCst);
    // Neither side sees an end.
    std::future::pending::<()>().await;
}
