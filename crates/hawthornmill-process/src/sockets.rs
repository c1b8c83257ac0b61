//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A new socket for `address`'s family.
///
/// # Errors
/// When the process has no descriptor left.
pub fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

/// Listens at `address`.
///
/// Connections inherit `TCP_NODELAY` from the listener. Without it the head of an answer and its
/// first chunk, which are two writes, show 40 ms apart: the second waits until the peer's delayed
/// acknowledgement of the first.
///
/// # Errors
/// When the address is in use or can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
