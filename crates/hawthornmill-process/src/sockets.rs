//! TCP sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Creates a socket of the address family of `address`.
///
/// # Errors
/// If the process has no file descriptor left.
pub fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

/// Listens on `address`.
///
/// Accepted connections inherit `TCP_NODELAY` from the listener. Without it, the first chunk of a
/// response arrives 40 ms after the head: they are two writes, and the second waits for the peer's
/// delayed acknowledgement of the first.
///
/// # Errors
/// If the address is in use or can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
