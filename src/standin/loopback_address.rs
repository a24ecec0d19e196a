//! Reserved loopback addresses for listeners.

use crate::common::*;
use std::{io, net::Ipv4Addr};
use tokio::net::TcpSocket;

static RESERVED: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());

/// Reserves an address until this process exits.
///
/// A socket stays bound to the address without listening, so the port is not assigned to another
/// process or an outgoing connection. A listener can still bind to it with `SO_REUSEADDR`, which
/// tokio sets.
pub fn reserve() -> io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let address = socket.local_addr()?;
    RESERVED.lock().push(socket);
    Ok(address)
}
