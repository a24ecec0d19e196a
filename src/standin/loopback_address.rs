//! Loopback addresses that no other process takes.

use crate::common::*;
use std::{io, net::Ipv4Addr};
use tokio::net::TcpSocket;

static RESERVED: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());

/// Reserves an address until the end of this process.
///
/// The address stays bound, without listening, so that neither another process nor an outgoing
/// connection gets its port. A listener with `SO_REUSEADDR`, as tokio sets it, can still open it.
pub fn reserve() -> io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let address = socket.local_addr()?;
    RESERVED.lock().push(socket);
    Ok(address)
}
